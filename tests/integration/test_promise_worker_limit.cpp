// Promise: a worker that states a rate limit in its answers gets no more than that from all nodes together, also after its sidecar has
// started again; a worker that states that it leaves gets nothing more from the nodes that have passed such an answer on.
//
// Mechanism: the sidecar counts all arrivals; nodes remember what they have passed on and carry it with their attempts.
#include "expect.h"
#include "limit_check.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <set>
#include <thread>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t LimitedNode = 0;
const std::string LimitedWorker = "orders-0";
constexpr double LoadSeconds = 16.0;
constexpr double LoadRate = 140.0;       // of some 200 a second that three of the four workers can run
constexpr milliseconds DrainTime{2000};  // a told node sends nothing more after this
constexpr std::size_t LeastArrivals = 3; // requests to the limited worker without which the test would prove nothing
constexpr double UsefulShare = 0.9;      // the other workers have room for everything

// Four nodes with one worker of many slots each and slow runs, so that a sidecar without memory lets many requests through before the
// first answer. Without probes, nothing but requests tells it what the worker states.
fleet_plan fourWorkers()
{
    fleet_plan plan;
    plan.pools = {{"orders", 60, 0.5, {{"guard", "off"}}}};
    plan.routes = {{"lookup", "/lookup", "orders", true, 1.0, {}}, {"book", "/book", "orders", false, 5.0, {}}};
    for (unsigned i = 0; i < 4; ++i) {
        plan.nodes.push_back({i % 2 == 0 ? "kiambu" : "thika", {{fmt::format("orders-{}", i), "orders"}}});
    }
    plan.proxyCallers = false;
    plan.probes = false;
    return plan;
}

std::string slowLoad()
{
    return mixedLoad(LoadSeconds, LoadRate, {{"cost_ms", "900"}});
}

void restartSidecar(fleet &fleet, milliseconds pause)
{
    std::this_thread::sleep_for(pause);
    fleet.node(LimitedNode).process.kill();
    fleet.startNode(LimitedNode);
}

void expectWithinLimit(const check_input &evidence, const std::string &worker)
{
    const limit_usage usage = findFullestWindow(evidence, worker);
    cr_log_info("fullest window: %zu arrivals of %.1f allowed; %zu in all", usage.arrivals, usage.allowed, usage.allArrivals);
    cr_assert_geq(usage.allArrivals, LeastArrivals, "only %zu arrivals at the limited worker", usage.allArrivals);
    cr_assert_leq(static_cast<double>(usage.arrivals), usage.allowed, "%zu arrivals of %.1f allowed: %s", usage.arrivals, usage.allowed, usage.kinds.c_str());
}

// Nodes that have passed on an answer which states the leaving.
std::size_t countToldLeaving(const check_input &evidence)
{
    std::set<std::string> nodes;
    for (const call_record &call : evidence.calls) {
        if (call.statesLeaving) {
            nodes.insert(call.node);
        }
    }
    return nodes.size();
}

} // namespace

Test(worker_limit, holds_for_all_nodes_together_and_other_workers_take_the_rest)
{
    fleet fleet(fourWorkers());
    fleet.start();
    load_job load = fleet.startLoad(slowLoad());
    std::this_thread::sleep_for(milliseconds(2000));
    fleet.setFault(LimitedWorker, "rate_limit=1.5");
    const check_input evidence = fleet.evidence(load.finish());
    expectWithinLimit(evidence, LimitedWorker);
    expectUseful(evidence.calls, "lookup", UsefulShare);
    expectUseful(evidence.calls, "book", UsefulShare);
}

Test(worker_limit, holds_when_the_sidecar_of_the_worker_starts_again_and_again)
{
    fleet fleet(fourWorkers());
    fleet.start();
    load_job load = fleet.startLoad(slowLoad(), {1, 2, 3});
    std::this_thread::sleep_for(milliseconds(2000));
    fleet.setFault(LimitedWorker, "rate_limit=1.5");
    for (int restarts = 0; restarts < 4; ++restarts) {
        restartSidecar(fleet, milliseconds(restarts == 0 ? 4500 : 1000));
    }
    expectWithinLimit(fleet.evidence(load.finish()), LimitedWorker);
}

Test(worker_limit, a_told_node_sends_nothing_to_a_leaving_worker_whose_sidecar_has_started_again)
{
    fleet fleet(fourWorkers());
    fleet.start();
    load_job load = fleet.startLoad(slowLoad(), {1, 2, 3});
    std::this_thread::sleep_for(milliseconds(2000));
    fleet.setFault(LimitedWorker, "leaving=1");
    restartSidecar(fleet, milliseconds(3000));
    const check_input evidence = fleet.evidence(load.finish());
    const std::size_t told = countToldLeaving(evidence);
    cr_assert_geq(told, 2U, "only %zu nodes have passed on an answer that states the leaving", told);
    const std::vector<arrival> late = findLateArrivals(evidence, LimitedWorker, DrainTime);
    cr_assert(late.empty(), "%zu requests reached a leaving worker, the first is %s", late.size(), late.front().id.c_str());
}

// Calls that runs make, runs that are repeated after a failure, the calls of these, and health probes all count.
Test(worker_limit, holds_for_repeats_calls_of_workers_and_probes)
{
    const std::string called = "stock-0";
    fleet_plan plan;
    plan.pools = {{"orders", 12, 1.0, {{"guard", "off"}}, {"", "/stock", 2}}, {"stock", 12, 0.5, {{"guard", "off"}}}};
    plan.routes = {{"lookup", "/lookup", "orders", true, 1.0, {}}, {"stock", "/stock", "stock", true, 1.0, {}}};
    for (unsigned i = 0; i < 2; ++i) {
        plan.nodes.push_back({"kiambu", {{fmt::format("orders-{}", i), "orders"}}});
        plan.nodes.push_back({"thika", {{fmt::format("stock-{}", i), "stock"}}});
    }
    plan.nodeSettings = "[headers]\nrequest_id = X-Request-Id\n";
    plan.proxyCallers = false;
    fleet fleet(plan);
    fleet.start();
    for (const char *worker : {"orders-0", "orders-1", "stock-1"}) {
        fleet.setFault(worker, "fail=0.3");
    }
    load_job load = fleet.startLoad(phase(14, 40) + lookups({{"share", "1"}}));
    std::this_thread::sleep_for(milliseconds(2000));
    fleet.setFault(called, "rate_limit=2\nfail=0.3");
    expectWithinLimit(fleet.evidence(load.finish()), called);
}
