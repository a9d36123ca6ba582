// Tests of protocol/consul_api.h.
#include <dandelionstall/protocol/consul_api.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>
#include <xxhash.h>

using namespace dandelionstall;
using namespace dandelionstall::protocol;

Test(consul_api, the_first_query_does_not_block_and_later_ones_do)
{
    cr_assert(tableTarget("dandelionstall/routes", 0, std::chrono::seconds(20)) == "/v1/kv/dandelionstall/routes?raw");
    cr_assert(tableTarget("dandelionstall/routes", 7, std::chrono::seconds(20)) == "/v1/kv/dandelionstall/routes?raw&index=7&wait=20s");
    cr_assert(vmListTarget(0, std::chrono::seconds(20)) == "/v1/catalog/nodes");
    cr_assert(leavingVmsTarget(9, std::chrono::seconds(20)) == "/v1/catalog/nodes?filter=Meta.state%20%3D%3D%20%22leaving%22&index=9&wait=20s");
    cr_assert(vmListTarget(9, std::chrono::seconds(20)) == "/v1/catalog/nodes?index=9&wait=20s");
}

Test(consul_api, restarts_at_index_zero_when_the_index_decreases)
{
    cr_assert(nextIndex(7, 9) == 9);
    cr_assert(nextIndex(7, 3) == 0);
    cr_assert(nextIndex(0, 0) == 1);
}

Test(consul_api, reads_the_list_of_vms)
{
    const auto vms = parseVmList(R"([
        {"Node":"a","Address":"10.0.0.1","Datacenter":"thika","Meta":{"port":"7400","state":"live"}},
        {"Node":"b","Address":"fd00::2","Datacenter":"ruiru","Meta":{"port":"7400","state":"leaving"}},
        {"Node":"c","Address":"consul.internal","Datacenter":"ruiru","Meta":{"port":"7400"}},
        {"Node":"d","Address":"10.0.0.4","Datacenter":"ruiru","Meta":null}])");
    cr_assert(vms.ok());
    cr_assert(vms->size() == 2);
    const coordination::vm_record first{{"10.0.0.1", 7400}, "thika", false};
    const coordination::vm_record second{{"fd00::2", 7400}, "ruiru", true};
    cr_assert(vms->at(0) == first);
    cr_assert(vms->at(1) == second);
    cr_assert(not(parseVmList("{}").ok()));
    cr_assert(not(parseVmList("[").ok()));
}

Test(consul_api, reads_a_manifest_and_checks_its_parts)
{
    const std::string part = "[table]\nrevision = 7\n";
    const std::string digest = fmt::format("{:016x}", XXH3_64bits(part.data(), part.size()));
    const std::string text = "# split\n[manifest]\nrevision = 7\npart = d/routes.1 " + digest + "\npart = d/routes.2 ff\n";
    cr_assert(isManifest(text));
    cr_assert(not(isManifest(part)));
    const auto parsed = parseManifest(text);
    cr_assert(parsed.ok());
    cr_assert(parsed->revision == 7);
    cr_assert(parsed->parts.size() == 2);
    cr_assert(parsed->parts[1].key == "d/routes.2");
    cr_assert(checkPart(parsed->parts[0], part).ok());
    cr_assert(not(checkPart(parsed->parts[0], part + "\n").ok()));
}

Test(consul_api, refuses_an_invalid_manifest_and_reports_the_line)
{
    const auto parsed = parseManifest("[manifest]\nrevision = 7\npart = d/routes.1 xyz\n");
    cr_assert(not(parsed.ok()));
    cr_assert(parsed.status().message().find("manifest:3") != absl::string_view::npos);
    cr_assert(not(parseManifest("[manifest]\nrevision = 7\n").ok()));
    cr_assert(not(parseManifest("[manifest]\npart = d/routes.1 ff\n").ok()));
}
