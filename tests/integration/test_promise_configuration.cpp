// Promise: an accepted configuration is in force everywhere within seconds and never reverts to an older one.
//
// Mechanisms: the highest accepted revision wins for ever; a fresh node asks its peers before it trusts the service; a
// table that is broken, or out of step with the other one, leaves the last good one in force. Without the comparison of
// revisions the older table takes over below; without the question to peers the fresh node starts with the older one.
#include "expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

constexpr std::chrono::seconds InForceLimit{7};    // the stated promise
constexpr std::chrono::seconds ObservationTime{3}; // for what must not happen

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

// The kept path stays in force on all nodes, and the other one on none, for the observation time.
void expectKept(fleet &fleet, const std::string &kept, const std::string &other)
{
    const auto broken = [&] {
        for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
            if (!other.empty() && serves(fleet, i, other)) {
                return true;
            }
        }
        return !allServe(fleet, kept);
    };
    cr_assert_not(waitUntil(broken, ObservationTime), "%s was not kept\n%s", kept.c_str(), fleet.nodeLogs().c_str());
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
    expectKept(fleet, "/fifth", "/fourth");
    replaceNode(fleet, 2); // fresh: the service still says 4
    expectInForce(fleet, "/fifth");
    expectKept(fleet, "/fifth", "/fourth");
}

Test(configuration, same_revision_with_other_content)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.publishRoutes(routesWith(fleet, 2, "/first-content"));
    expectInForce(fleet, "/first-content");
    fleet.publishRoutes(routesWith(fleet, 2, "/other-content"));
    expectKept(fleet, "/first-content", "/other-content");
}

Test(configuration, broken_table_leaves_the_last_good_one)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.publishRoutes(routesWith(fleet, 2, "/good"));
    expectInForce(fleet, "/good");
    fleet.publishRoutes(routesWith(fleet, 3, "/broken") + "nonsense = here\n");
    expectKept(fleet, "/good", "/broken");
    fleet.publishRoutes(routesWith(fleet, 4, "/mended"));
    expectInForce(fleet, "/mended");
}

Test(configuration, tables_out_of_step)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.publishRoutes(routesWith(fleet, 2, "/early", "later"));
    expectKept(fleet, "/lookup", "/early");
    std::string pools = fleet.poolsText(2);
    const std::size_t start = pools.find("[pool.orders]");
    std::string second = pools.substr(start);
    second.replace(0, std::string_view("[pool.orders]").size(), "[pool.later]");
    for (std::size_t at = second.find("worker."); at != std::string::npos; at = second.find("worker.", at + 8)) {
        second.replace(at, 7, "worker.later-");
    }
    // The workers of the added pool are not known to their nodes; the route is in force once it is refused for that.
    fleet.publishPools(pools + "\n" + second);
    const auto known = [&] {
        for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
            if (getHttp(fleet.node(i).callers, "/early").body.find("no_route") != std::string::npos) {
                return false;
            }
        }
        return true;
    };
    cr_assert(waitUntil(known, InForceLimit), "%s", fleet.nodeLogs().c_str());
}

Test(configuration, service_absent_and_nodes_replaced)
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
