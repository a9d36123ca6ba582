// Promise: in every window, the repeats at a pool stay within its retry allowance, summed over all nodes.
//
// Mechanism: the sidecar beside the worker counts the repeats that arrive at the worker, and each worker has its part of the
// allowance. Calls that a repeated run makes are repeats at the pool that is called.
#include "expect.h"
#include "retry_check.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <thread>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

constexpr repeat_limit Allowance{0.2, 24.0, std::chrono::seconds(2)};
constexpr std::size_t LeastCalls = 20;           // calls of repeated runs without which the test would prove nothing
constexpr std::chrono::seconds AllowanceRamp{6}; // time after a start in which nodes do not use their whole part of the allowance
const std::set<std::string> StockWorkers{"stock-0", "stock-1"};

// Four nodes with a worker of "orders", which makes three calls to "stock" in each run, and two nodes with a worker of "stock".
fleet_plan ordersThatCallStock(bool callsNameParents)
{
    const std::map<std::string, std::string> settings{
        {"retry_share", "0.2"}, {"retry_extra", "24"}, {"retry_window", "2s"}, {"guard", "off"}, {"balancer", "least_wait"}};
    fleet_plan plan;
    plan.pools = {{"orders", 6, 1.0, settings, {"", "/stock", 3, callsNameParents}}, {"stock", 12, 1.0, settings}};
    plan.routes = {{"lookup", "/lookup", "orders", true, 1.0, {}}, {"stock", "/stock", "stock", true, 1.0, {}}};
    for (unsigned i = 0; i < 4; ++i) {
        plan.nodes.push_back({i % 2 == 0 ? "kiambu" : "thika", {{fmt::format("orders-{}", i), "orders"}}});
    }
    for (unsigned i = 0; i < 2; ++i) {
        plan.nodes.push_back({i % 2 == 0 ? "kiambu" : "thika", {{fmt::format("stock-{}", i), "stock"}}});
    }
    plan.nodeSettings = "[headers]\nrequest_id = X-Request-Id\n";
    plan.proxyCallers = false;
    return plan;
}

retry_traffic trafficOf(fleet &played, const check_input &evidence)
{
    constexpr std::uint32_t MaxAttempts = 4; // of a route without the key
    retry_traffic traffic;
    for (const node_plan &node : played.plan().nodes) {
        traffic.pool[node.workers.front().id] = node.workers.front().pool;
    }
    for (const call_record &call : evidence.calls) {
        traffic.requests.push_back({call.id, "orders", MaxAttempts, false, "", "", call.sent, call.deadline});
    }
    for (const call_of_run &call : evidence.workers.calls) {
        traffic.requests.push_back({call.id, "stock", MaxAttempts, false, call.parent, call.worker, call.sent, call.timeLeft});
    }
    traffic.workers = evidence.workers;
    return traffic;
}

void expectCallsWithinAllowance(bool callsNameParents)
{
    fleet fleet(ordersThatCallStock(callsNameParents));
    fleet.start();
    std::this_thread::sleep_for(AllowanceRamp);
    for (const char *worker : {"orders-0", "orders-1", "orders-2", "orders-3"}) {
        fleet.setFault(worker, "fail=0.4");
    }
    for (const std::string &worker : StockWorkers) {
        fleet.setFault(worker, "fail=0.3");
    }
    load_job load = fleet.startLoad(phase(10, 60) + lookups({{"share", "1"}}));
    const retry_traffic traffic = trafficOf(fleet, fleet.evidence(load.finish()));
    const repeat_usage worst = findWorstWindow(traffic, "stock", Allowance);
    cr_log_info("worst window of stock: %zu repeats, %zu of them calls of repeated runs, %.1f allowed for %zu requests; %zu such calls in all",
                worst.repeats,
                worst.calls,
                worst.allowed,
                worst.requests,
                worst.allCalls);
    cr_assert_geq(worst.allCalls, LeastCalls, "only %zu calls of repeated runs", worst.allCalls);
    cr_assert_leq(static_cast<double>(worst.repeats),
                  worst.allowed,
                  "%zu repeats, of which %zu calls of repeated runs; %.1f allowed for %zu requests",
                  worst.repeats,
                  worst.calls,
                  worst.allowed,
                  worst.requests);
    const std::vector<violation> broken = violationsOf(judgeRetries(traffic, Allowance));
    cr_assert(broken.empty(), "%s", describeViolations(broken).c_str());
}

constexpr repeat_limit StoreAllowance{0.2, 60.0, std::chrono::seconds(10)};

// Six nodes on the platform's store, which begin with the settings of the fleet's first start and keep them.
fleet_plan nodesThatKeepTheirFirstSettings()
{
    fleet_plan plan;
    plan.pools = {{"orders", 6, 0.5, {}}};
    plan.routes = {{"lookup", "/lookup/", "orders", true, 1.0, {}}};
    for (unsigned i = 0; i < 6; ++i) {
        plan.nodes.push_back({i % 2 == 0 ? "kiambu" : "thika", {{fmt::format("orders-{}", i), "orders"}}});
    }
    plan.loadSettings = "id_header=Attempt-Id\ntime_left_header=Deadline-Remaining\n";
    plan.proxyCallers = false;
    plan.faultProxy = false;
    store_plan store;
    store.settingsTemplate = readDeployTemplate();
    store.bounds = {{"graceS", "6"}, {"retryBudgetRatio", "0.2"}, {"retryWindowS", "10"}, {"retryBudgetSlack", "60"}, {"floorShare", "0.7"}};
    store.keepsFirstSettings = true;
    store.document = [](std::uint64_t version) {
        return fmt::format(R"({{"version":{},"services":[{{"name":"orders"}}],"virtualHosts":[{{"host":"service.example","paths":[)"
                           R"({{"name":"lookup","prefix":"/lookup/","kind":"idempotent","timeoutMs":2000,"service":"orders","maxAttempts":4}}]}}]}})",
                           version);
    };
    plan.store = std::move(store);
    return plan;
}

std::vector<call_record> failMostLookups(fleet &played)
{
    for (const node_plan &node : played.plan().nodes) {
        played.setFault(node.workers.front().id, "fail=0.8");
    }
    return played.startLoad(phase(2, 50) + "[class.lookup]\nshare=1\npath=/lookup/x\nidempotent=yes\ncost_ms=10\ndeadline_ms=1500\n").finish();
}

void expectNoRepeats(const std::string &extra)
{
    constexpr int Requests = 20;
    fleet_plan plan = threeDataCentres();
    plan.pools.front().settings.merge(std::map<std::string, std::string>{{"retry_share", "0"}, {"retry_extra", extra}, {"guard", "off"}});
    fleet fleet(plan);
    fleet.start();
    for (const char *worker : {"kiambu-0", "kiambu-1", "thika-0", "thika-1", "ruiru-0", "ruiru-1"}) {
        fleet.setFault(worker, "fail=1");
    }
    const std::size_t runsBefore = fleet.runCount();
    for (int i = 0; i < Requests; ++i) {
        const http_outcome outcome = getHttp(fleet.node(0).callers, "/lookup");
        cr_assert_eq(outcome.status, 500, "status %u: %s", outcome.status, outcome.body.c_str());
        cr_assert(outcome.body.starts_with("failed "), "body: %s", outcome.body.c_str());
    }
    cr_assert_eq(fleet.runCount() - runsBefore, static_cast<std::size_t>(Requests), "%zu runs of %d requests", fleet.runCount() - runsBefore, Requests);
}

} // namespace

Test(retry_allowance, calls_of_repeated_runs_do_not_exceed_the_allowance_of_the_called_pool)
{
    expectCallsWithinAllowance(true);
}

Test(retry_allowance, calls_without_the_id_of_their_parent_do_not_exceed_the_allowance)
{
    expectCallsWithinAllowance(false);
}

// A supervisor may start a process again with the settings that stand from the fleet's first start, which say that no repeats went before.
Test(retry_allowance, nodes_that_start_again_with_their_first_settings_get_no_second_part_of_the_extra_repeats)
{
    constexpr std::chrono::seconds FirstStartTime{6}; // from which the extra repeats may be used, see repeat_budget.h
    constexpr std::chrono::milliseconds Margin{1000};
    fleet fleet(nodesThatKeepTheirFirstSettings());
    fleet.start();
    std::this_thread::sleep_until(fleet.startedAt() + FirstStartTime + Margin);
    std::vector<call_record> calls = failMostLookups(fleet);
    for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
        fleet.node(i).process.kill();
        fleet.startNode(i);
    }
    const auto restartedAt = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
        cr_assert(fleet.awaitReady(i), "node %zu did not become ready", i);
    }
    std::this_thread::sleep_until(restartedAt + FirstStartTime + Margin / 2);
    const std::vector<call_record> later = failMostLookups(fleet);
    calls.insert(calls.end(), later.begin(), later.end());
    const repeat_usage worst = findWorstWindow(trafficOf(fleet, fleet.evidence(calls)), "orders", StoreAllowance);
    cr_log_info("worst window: %zu repeats, %.1f allowed for %zu requests", worst.repeats, worst.allowed, worst.requests);
    cr_assert_leq(static_cast<double>(worst.repeats), worst.allowed, "%zu repeats of %.1f allowed, %zu requests", worst.repeats, worst.allowed, worst.requests);
}

// The ingress learns from the sidecars that no repeat is left after a worker has answered with an error. The caller gets that answer
// and not one made up by the node.
Test(retry_allowance, a_denied_repeat_leaves_the_caller_the_failed_answer_of_the_worker)
{
    expectNoRepeats("0.5");
}

Test(retry_allowance, an_allowance_without_extra_repeats_is_not_taken_for_none)
{
    expectNoRepeats("0");
}
