// Tests of state/settings.h.
#include <dandelionstall/state/ini.h>
#include <dandelionstall/state/settings.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall::state;

namespace {

constexpr std::string_view Node = "[node]\ndata_centre = thika\nregion = ke-central\nlisten = 10.0.0.1:7400\ncallers = 10.0.0.1:7401\n";
constexpr std::string_view Platform = "[platform]\nconfig_service = 10.0.0.9:80\n";

absl::StatusOr<settings> parseWith(std::string_view more)
{
    return parseSettings(std::string(Node) + std::string(Platform) + std::string(more), "node.ini");
}

std::string reasonFor(std::string_view more)
{
    return std::string(reasonOf(parseWith(more).status()));
}

} // namespace

Test(settings, fills_absent_keys_with_defaults)
{
    const auto parsed = parseWith("");
    cr_assert(parsed.ok());
    cr_assert(parsed->name == "10.0.0.1:7400");
    cr_assert(parsed->advertiseAddress == parsed->listenAddress);
    cr_assert(parsed->vmList == parsed->configService);
    cr_assert(parsed->adminAddress.ip == "127.0.0.1");
}

Test(settings, reads_every_section)
{
    const auto parsed = parseWith("seeds = 10.0.0.2:7400, 10.0.0.3:7400\n[limits]\nmax_callers = 7\nheader_timeout = 2s\n[log]\nlevel = warn\n"
                                  "[worker.d-1]\npool = dressing-order\naddress = 127.0.0.1:9000\nhealth_path =\n");
    cr_assert(parsed.ok());
    cr_assert(parsed->seeds.size() == 2 && parsed->seeds[1].ip == "10.0.0.3");
    cr_assert(parsed->maxCallers == 7 && parsed->headerTimeout == std::chrono::seconds(2) && parsed->logLevel == "warn");
    cr_assert(parsed->workers.size() == 1 && parsed->workers[0].id == "d-1" && parsed->workers[0].healthPath.empty());
}

Test(settings, reports_line_and_reason_of_an_error)
{
    cr_assert(reasonFor("[limits]\nmax_caller = 7\n") == "node.ini:9: unknown key \"max_caller\" in [limits]; did you mean \"max_callers\"?");
    cr_assert(
        reasonFor("[limit]\n")
        == "node.ini:8: unknown section [limit], expected [node], [platform], [limits], [headers], [regions], [log], [discovered_worker] or [worker.<id>]; "
           "did you mean \"limits\"?");
    cr_assert(reasonFor("[limits]\nmax_callers = 0\n") == "node.ini:9: max_callers: expected a whole number from 1 to 100000, got \"0\"");
    cr_assert(reasonFor("[log]\nlevel = inf\n") == "node.ini:9: level: expected one of trace, debug, info, warn, error, got \"inf\"; did you mean \"info\"?");
    cr_assert(reasonFor("[worker.d-1]\naddress = localhost:1\n") == "node.ini:8: [worker.d-1] needs the key \"pool\"");
    cr_assert(reasonOf(parseSettings("[log]\nlevel = info\n", "n").status()) == "n:1: section [node] is missing");
}

Test(settings, refuses_wildcard_and_conflicting_addresses)
{
    cr_assert(not(parseSettings(std::string(Node) + "advertise = 0.0.0.0:1\n" + std::string(Platform), "n").ok()));
    cr_assert(not(parseSettings(std::string(Node) + "admin = 10.0.0.1:7401\n" + std::string(Platform), "n").ok()));
    constexpr std::string_view Worker = "]\npool = p\naddress = 127.0.0.1:9000\n";
    cr_assert(not(parseWith("[worker.a" + std::string(Worker) + "[worker.b" + std::string(Worker)).ok()));
}

// Guards against data centres of other regions being taken for near ones, and against a region for a data centre that has none.
Test(settings, reads_the_region_of_each_data_centre)
{
    const auto parsed = parseWith("contracts = base,pressure\n[regions]\nthika = ke-central\nruiru = ke-central\nkisumu = ke-west\n");
    cr_assert(parsed.ok());
    cr_assert(parsed->platformContracts == "base,pressure");
    cr_assert(regionOf(*parsed, "ruiru") == "ke-central" && regionOf(*parsed, "kisumu") == "ke-west" && regionOf(*parsed, "voi").empty());
    cr_assert(parseWith("contracts =\n").ok());
    cr_assert(countRegions(*parsed) == 2 && countRegions(*parseWith("")) == 0);
    cr_assert(reasonFor("[regions]\nthika =\n") == "node.ini:9: expected a data centre and its region, got \"thika = \"");
}

// Guards against a key that is logged, echoed or passed on since its header is also that of another feature.
Test(settings, the_header_of_keys_is_no_other_header)
{
    const auto parsed = parseWith("[headers]\napi_key = Api-Key\norganisation = Tenant-Id\n");
    cr_assert(parsed.ok() && parsed->headers.apiKey == "Api-Key" && parsed->headers.organisation == "Tenant-Id");
    cr_assert(parseWith("")->headers.apiKey.empty() && parseWith("")->headers.organisation.empty());
    for (const std::string_view other : {"request_id", "time_left", "origin_pool", "expected_worker", "organisation"}) {
        const std::string text = "[headers]\napi_key = Api-Key\n" + std::string(other) + " = api-key\n";
        cr_assert(reasonFor(text) == "node.ini:8: [headers] names \"api-key\" as \"api_key\" and as another header");
    }
}
