// Tests of state/tables.h and state/tables_index.h.
#include <dandelionstall/state/ini.h>
#include <dandelionstall/state/tables.h>
#include <dandelionstall/state/tables_index.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <algorithm>
#include <tuple>

using namespace dandelionstall::state;

namespace {

using string_list = std::vector<std::string>;

constexpr std::string_view Revision = "[table]\nrevision = 3\n";

absl::StatusOr<route_table> routesWith(std::string_view text)
{
    return parseRouteTable(std::string(Revision) + std::string(text), "r.ini");
}

absl::StatusOr<pool_table> poolsWith(std::string_view text)
{
    return parsePoolTable(std::string(Revision) + std::string(text), "p.ini");
}

std::string reasonIn(const absl::Status &status)
{
    return std::string(reasonOf(status));
}

// Reference implementation of matchRoute(): among all matching rows, selects the one with the largest key.
const route *referenceMatch(const route_table &table, const std::string &host, const std::string &path, const std::string &method)
{
    using match_key = std::tuple<bool, std::size_t, std::ptrdiff_t>;
    const route *best = nullptr;
    match_key bestKey;
    for (std::size_t i = 0; i < table.routes.size(); i++) {
        const route &row = table.routes[i];
        const bool matchesHost = row.host.empty() || row.host == host;
        const bool matchesPath = row.pathPrefix == "/" ? path.starts_with("/") : (path + "/").starts_with(row.pathPrefix + "/");
        const bool matchesMethod = row.methods.empty() || std::count(row.methods.begin(), row.methods.end(), method) > 0;
        const match_key key{!row.host.empty(), row.pathPrefix.size(), -static_cast<std::ptrdiff_t>(i)};
        if (matchesHost && matchesPath && matchesMethod && (best == nullptr || key > bestKey)) {
            best = &row;
            bestKey = key;
        }
    }
    return best;
}

rc::Gen<std::string> genPath()
{
    const auto segment = rc::gen::element<std::string>("/", "/a", "/b", "/ab", "/a/b", "/tags");
    return rc::gen::map(rc::gen::container<std::vector<std::string>>(segment), [](const std::vector<std::string> &parts) {
        std::string path;
        for (const std::string &part : parts) {
            path += part;
        }
        return path.empty() ? "/" : path;
    });
}

std::string withoutFinalSlash(std::string path)
{
    path.resize(std::max<std::size_t>(path.find_last_not_of('/') + 1, 1));
    return path;
}

route genRoute()
{
    route row;
    row.host = *rc::gen::element<std::string>("", "x", "y");
    row.pathPrefix = withoutFinalSlash(*genPath());
    row.methods = *rc::gen::element(string_list{}, string_list{"GET"}, string_list{"POST", "PUT"});
    return row;
}

} // namespace

Test(tables, reads_routes_and_fills_defaults)
{
    const auto table = routesWith("[route.lookup]\nhost = Orders.Example\npath = /records/\nmethods = GET, HEAD\npool = dressing-order\nidempotent = yes\n"
                                  "worth = 2.5\ntimeout = 1500ms\ncost_hint = 40ms\norganisation_rate = 20\n[route.rest]\npool = catalogue\nidempotent = no\n");
    cr_assert(table.ok());
    const route &lookup = table->routes[0];
    cr_assert(table->revision == 3 && table->routes.size() == 2);
    cr_assert(lookup.host == "orders.example" && lookup.pathPrefix == "/records" && lookup.methods.size() == 2);
    cr_assert(lookup.idempotent && lookup.worth == 2.5 && lookup.timeout == std::chrono::milliseconds(1500) && lookup.line == 3);
    cr_assert(table->routes[1].host.empty() && table->routes[1].pathPrefix == "/");
}

Test(tables, refuses_invalid_routes_with_line_and_reason)
{
    const auto reasonFor = [](std::string_view text) {
        return reasonIn(routesWith(text).status());
    };
    constexpr std::string_view Row = "pool = p\nidempotent = no\n";
    const std::string row(Row);
    cr_assert(reasonFor("[route.a]\npool = p\n") == "r.ini:3: [route.a] needs the key \"idempotent\"");
    cr_assert(reasonFor("[route.a]\n" + row + "worth = 0\n") == "r.ini:6: worth: expected a number from 1e-06 to 1000000, got \"0\"");
    cr_assert(reasonFor("[route.a]\n" + row + "pth = /\n") == "r.ini:6: unknown key \"pth\" in [route.a]; did you mean \"path\"?");
    cr_assert(reasonFor("[rout.a]\n" + row)
              == "r.ini:3: unknown section [rout.a], expected [table], [callers], [route.<name>] or [organisation.<name>]; did you mean \"route.\"?");
    cr_assert(reasonFor("[route.a]\n" + row + "path = tags\n").starts_with("r.ini:6: path: expected a path that starts with \"/\""));
    cr_assert(reasonFor("[route.a]\n" + row + "host = a:80\n").starts_with("r.ini:6: host: expected a host name without port"));
    cr_assert(reasonFor("[route.a]\n" + row + "[route.b]\n" + row) == "r.ini:6: route \"b\" has the same host, path and methods as route \"a\" in line 3");
    cr_assert(reasonIn(parseRouteTable("[route.a]\npool = p\nidempotent = no\n", "r").status()).starts_with("r:1: section [table]"));
    cr_assert(reasonIn(parseRouteTable(std::string(MaxTableBytes + 1, '#'), "r").status()).starts_with("r:1: table of"));
}

Test(tables, reads_a_table_larger_than_one_value)
{
    constexpr int RouteCount = 12'000;
    std::string text;
    for (int i = 0; i < RouteCount; i++) {
        const std::string number = std::to_string(i);
        text += "[route.r-" + number + "]\nhost = service-" + number + ".example\npath = /v1/things\npool = p-" + number + "\nidempotent = yes\n";
    }
    cr_assert(text.size() > MaxValueBytes);
    const auto table = routesWith(text);
    cr_assert(table.ok() && table->routes.size() == RouteCount);
    cr_assert(matchRoute(*table, "service-11999.example", "/v1/things/7", "GET") == &table->routes.back());
}

Test(tables, reads_pools_and_workers)
{
    const auto table = poolsWith("[pool.p]\nslots = 3\nfloor = 0.6\nbalancer = random\nworker.w-1 = 10.0.0.1:7400 thika\nworker.w-2 = 10.0.0.2:7400 ruiru 5\n");
    cr_assert(table.ok());
    const pool &p = table->pools[0];
    cr_assert(p.slots == 3 && p.floor == 0.6 && p.balancer == "random" && p.ejector == "peer_outlier");
    cr_assert(p.workers.size() == 2 && p.workers[0].slots == 0 && p.workers[1].slots == 5 && p.workers[1].dataCentre == "ruiru");
    cr_assert(findPool(*table, "p") == &p && findPool(*table, "q") == nullptr);
}

Test(tables, refuses_invalid_pools_with_line_and_reason)
{
    const auto reasonFor = [](std::string_view text) {
        return reasonIn(poolsWith(text).status());
    };
    const std::string head = "[pool.p]\nslots = 3\n";
    const std::string worker = "worker.w = 10.0.0.1:7400 thika\n";
    cr_assert(reasonFor(head) == "p.ini:3: [pool.p] needs at least one line \"worker.<id> = ...\"");
    cr_assert(reasonFor(head + worker + "floor = 1.1\n") == "p.ini:6: floor: expected a number from 0 to 1, got \"1.1\"");
    cr_assert(reasonFor(head + worker + "retry = budget\n")
              == "p.ini:6: retry: expected one of budgeted, fixed_count, got \"budget\"; did you mean \"budgeted\"?");
    cr_assert(reasonFor(head + "worker.w = 10.0.0.1:7400\n").starts_with("p.ini:5: worker.w: expected <node address:port> <data centre> [slots]"));
    cr_assert(reasonFor(head + "worker.w = vm-1:7400 thika\n").starts_with("p.ini:5: worker.w: expected a numeric IP address, not a host name"));
    cr_assert(reasonFor(head + worker + "[pool.q]\nslots = 1\n" + worker) == "p.ini:8: worker.w: duplicate worker id, first used in line 5");
}

Test(tables, refuses_a_route_whose_pool_does_not_exist)
{
    const auto routes = routesWith("[route.a]\npool = catalog\nidempotent = no\n");
    const auto pools = poolsWith("[pool.catalogue]\nslots = 3\nworker.w = 10.0.0.1:7400 thika\n");
    const std::string reason = reasonIn(checkPoolReferences(*routes, *pools));
    cr_assert(reason == "r.ini:3: route \"a\" names the pool \"catalog\", which is not in the pool table; did you mean \"catalogue\"?");
}

Test(tables, different_content_has_a_different_digest)
{
    cr_assert(poolsWith("[pool.p]\nslots = 3\nworker.w = 10.0.0.1:7400 thika\n")->digest
              != poolsWith("[pool.p]\nslots = 4\nworker.w = 10.0.0.1:7400 thika\n")->digest);
}

Test(tables, matches_by_host_then_longest_path_then_order)
{
    cr_assert(rc::check("route_index and matchRoute() agree with the reference", [] {
        auto table = std::make_shared<route_table>();
        const auto count = *rc::gen::inRange(0, 12);
        for (int i = 0; i < count; i++) {
            table->routes.push_back(genRoute());
        }
        const route_index index(table);
        for (int i = 0; i < 10; i++) {
            const std::string host = *rc::gen::element<std::string>("", "x", "y", "z");
            const std::string path = *genPath();
            const std::string method = *rc::gen::element<std::string>("GET", "POST", "PATCH");
            const route *expected = referenceMatch(*table, host, path, method);
            RC_ASSERT(matchRoute(*table, host, path, method) == expected);
            RC_ASSERT(index.match(host, path, method) == expected);
        }
    }));
}

Test(tables, ignores_case_port_and_query_of_a_request)
{
    const auto table = routesWith("[route.a]\nhost = tags.example\npath = /tags\npool = p\nidempotent = no\n");
    const route_index index(std::make_shared<const route_table>(*table));
    for (const std::string_view host : {"tags.example", "Tags.Example", "tags.example:8080", "tags.example."}) {
        cr_assert(matchRoute(*table, host, "/tags/7?all=/x", "GET") != nullptr);
        cr_assert(index.match(host, "/tags?all", "GET") != nullptr);
    }
    cr_assert(matchRoute(*table, "tags.example", "/tagsale", "GET") == nullptr);
    cr_assert(index.match("tags.example", "/tagsale", "GET") == nullptr);
    cr_assert(index.match("tags.example", "*", "OPTIONS") == nullptr);
}
