// Promise: an accepted configuration is in force on all nodes within seconds and is never replaced by an older one.
//
// Mechanisms: the highest accepted revision always wins; a newly started node queries its peers before it uses the tables
// of the configuration service; an invalid table, or one that is inconsistent with the other table, leaves the last valid
// one in force. Without the comparison of revisions the older table replaces the newer one in these tests; without the
// query to peers a new node starts with the older table.
#include "expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

constexpr std::chrono::seconds InForceLimit{7};    // promised time until a new revision is in force on all nodes
constexpr std::chrono::seconds ObservationTime{3}; // time during which a forbidden change must not occur

bool serves(fleet &fleet, std::size_t index, const std::string &path)
{
    return getHttp(fleet.node(index).callers, path).status == 200;
}

bool allServe(fleet &fleet, const std::string &path)
{
    for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
        if (fleet.node(i).process.running() && !serves(fleet, i, path)) {
            return false;
        }
    }
    return true;
}

void expectInForce(fleet &fleet, const std::string &path)
{
    cr_assert(waitUntil([&] { return allServe(fleet, path); }, InForceLimit), "%s is not in force everywhere\n%s", path.c_str(), fleet.nodeLogs().c_str());
}

// Checks that all nodes serve the path inForce, and none serves the path notInForce (empty: not checked), during
// ObservationTime.
void expectStaysInForce(fleet &fleet, const std::string &inForce, const std::string &notInForce)
{
    const auto broken = [&] {
        for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
            if (!notInForce.empty() && serves(fleet, i, notInForce)) {
                return true;
            }
        }
        return !allServe(fleet, inForce);
    };
    cr_assert_not(waitUntil(broken, ObservationTime), "%s did not stay in force\n%s", inForce.c_str(), fleet.nodeLogs().c_str());
}

std::string routesWith(fleet &fleet, std::uint64_t revision, const std::string &path, const std::string &pool = "orders")
{
    return fleet.routesText(revision) + fmt::format("\n[route.added]\npath = {}\npool = {}\nidempotent = yes\n", path, pool);
}

void replaceNode(fleet &fleet, std::size_t index)
{
    fleet.node(index).process.kill();
    fleet.startNode(index);
    cr_assert(fleet.awaitReady(index), "%s", fleet.nodeLogs().c_str());
}

} // namespace

Test(configuration, new_revision_is_in_force_everywhere_within_seconds)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.publishRoutes(routesWith(fleet, 2, "/second"));
    expectInForce(fleet, "/second");
}

Test(configuration, service_returns_with_older_data)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.publishRoutes(routesWith(fleet, 5, "/fifth"));
    expectInForce(fleet, "/fifth");
    fleet.stopConfigService();
    fleet.presetRoutes(routesWith(fleet, 4, "/fourth"));
    fleet.startConfigService();
    expectStaysInForce(fleet, "/fifth", "/fourth");
    replaceNode(fleet, 2); // the new process starts without tables; the service still has revision 4
    expectInForce(fleet, "/fifth");
    expectStaysInForce(fleet, "/fifth", "/fourth");
}

Test(configuration, same_revision_with_other_content)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.publishRoutes(routesWith(fleet, 2, "/first-content"));
    expectInForce(fleet, "/first-content");
    fleet.publishRoutes(routesWith(fleet, 2, "/other-content"));
    expectStaysInForce(fleet, "/first-content", "/other-content");
}

Test(configuration, invalid_table_leaves_the_last_valid_one_in_force)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.publishRoutes(routesWith(fleet, 2, "/good"));
    expectInForce(fleet, "/good");
    fleet.publishRoutes(routesWith(fleet, 3, "/broken") + "nonsense = here\n");
    expectStaysInForce(fleet, "/good", "/broken");
    fleet.publishRoutes(routesWith(fleet, 4, "/mended"));
    expectInForce(fleet, "/mended");
}

Test(configuration, route_table_waits_for_the_pool_table_it_refers_to)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.publishRoutes(routesWith(fleet, 2, "/early", "later"));
    expectStaysInForce(fleet, "/lookup", "/early");
    std::string pools = fleet.poolsText(2);
    const std::size_t start = pools.find("[pool.orders]");
    std::string second = pools.substr(start);
    second.replace(0, std::string_view("[pool.orders]").size(), "[pool.later]");
    for (std::size_t at = second.find("worker."); at != std::string::npos; at = second.find("worker.", at + 8)) {
        second.replace(at, 7, "worker.later-");
    }
    // The settings of the nodes do not contain the workers of the added pool, so requests on the route are refused. The route
    // is in force as soon as the reason is no longer "no_route".
    fleet.publishPools(pools + "\n" + second);
    const auto routeInForce = [&] {
        for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
            if (getHttp(fleet.node(i).callers, "/early").body.find("no_route") != std::string::npos) {
                return false;
            }
        }
        return true;
    };
    cr_assert(waitUntil(routeInForce, InForceLimit), "%s", fleet.nodeLogs().c_str());
}

Test(configuration, replaced_nodes_keep_the_configuration_without_the_service)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.publishRoutes(routesWith(fleet, 2, "/kept"));
    expectInForce(fleet, "/kept");
    fleet.stopConfigService();
    for (const std::size_t index : {0U, 3U}) {
        replaceNode(fleet, index);
    }
    expectInForce(fleet, "/kept");
    fleet.startConfigService();
    fleet.publishRoutes(routesWith(fleet, 3, "/after"));
    expectInForce(fleet, "/after");
}
