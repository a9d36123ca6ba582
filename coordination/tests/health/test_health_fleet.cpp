// Properties of several nodes with different views of one pool: which workers stay usable for callers after any sequence
// of events at each node.
#include <dandelionstall/coordination/balancing/balancer.h>
#include <dandelionstall/coordination/health/pool_tracker.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <set>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point Start{1000s};

state::node_address nodeOf(std::size_t index)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(7000 + index)};
}

std::shared_ptr<const state::pool_table> makeTable(std::size_t workers, double floor)
{
    auto table = std::make_shared<state::pool_table>();
    state::pool pool;
    pool.name = "tagdesk";
    pool.floor = floor;
    for (std::size_t i = 0; i < workers; ++i) {
        pool.workers.push_back({fmt::format("w{}", i), i % 2 == 0 ? "sul-poa" : "sul-floripa", nodeOf(i), 5});
    }
    table->pools.push_back(pool);
    return table;
}

worker_report drawReport(std::size_t index)
{
    worker_report report;
    report.worker = fmt::format("w{}", index);
    report.pool = "tagdesk";
    report.node = nodeOf(index);
    report.incarnation = *rc::gen::inRange<std::uint64_t>(1, 4);
    report.version = *rc::gen::inRange<std::uint64_t>(1, 40);
    report.samples = *rc::gen::inRange<std::uint32_t>(0, 20);
    report.successShare = *rc::gen::inRange(0, 5) / 4.0;
    report.slowness = *rc::gen::element(1.0, 1.0, 6.0);
    report.longestOverdue = *rc::gen::element(0ms, 0ms, 5000ms);
    report.overdueCount = report.longestOverdue > 0ms ? 3 : 0;
    report.probeFailing = *rc::gen::arbitrary<bool>();
    report.leaving = *rc::gen::inRange(0, 12) == 0;
    return report;
}

void drawEvent(pool_tracker &tracker, std::size_t workers, state::time_point now)
{
    const auto index = *rc::gen::inRange<std::size_t>(0, workers);
    switch (*rc::gen::inRange(0, 10)) {
    case 0:
        tracker.recordPathEvent(nodeOf(index), static_cast<path_event>(*rc::gen::inRange(0, 6)), now);
        break;
    case 1:
        tracker.recordNodeCondition(nodeOf(index), static_cast<node_condition>(*rc::gen::inRange(0, 3)), now);
        break;
    case 2:
        tracker.recordPause(now);
        break;
    case 3:
        tracker.setIsolated(*rc::gen::arbitrary<bool>());
        break;
    default:
        tracker.recordReport(drawReport(index), now);
    }
}

std::size_t countIf(const pool_view &view, bool (*matches)(const worker_view &))
{
    return static_cast<std::size_t>(std::count_if(view.workers.begin(), view.workers.end(), matches));
}

bool isOutOfService(const worker_view &worker)
{
    return worker.state == worker_state::leaving || worker.state == worker_state::unreachable;
}

// Indices of the workers that a node's balancer picks in 50 calls.
std::set<std::size_t> pickedWorkers(const pool_view &view)
{
    const auto policy = makeBalancer("least_wait");
    std::set<std::size_t> picked;
    pick_request request;
    request.now = Start + 1h;
    for (request.random = 0; request.random < 50; ++request.random) {
        const std::size_t index = (*policy)->pick(view, request);
        if (index != NoWorker) {
            picked.insert(index);
        }
    }
    return picked;
}

} // namespace

Test(health_fleet, each_node_and_the_fleet_keep_the_floor_for_any_views)
{
    cr_assert(rc::check("every node and the fleet keep the floor", [] {
        const auto workers = *rc::gen::inRange<std::size_t>(1, 12);
        const double floor = *rc::gen::inRange(0, 101) / 100.0;
        const auto table = makeTable(workers, floor);
        const auto minUsable = std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(floor * static_cast<double>(workers) - 1e-9)));
        std::set<std::size_t> usableSomewhere;
        std::size_t bestReachable = 0;
        for (std::uint64_t node = 0; node < 4; ++node) {
            pool_tracker tracker(node, "sul-poa");
            tracker.setTable(table, Start);
            tracker.addLocalPool("tagdesk");
            state::time_point now = Start;
            const int events = *rc::gen::inRange(0, 60);
            for (int i = 0; i < events; ++i) {
                now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
                drawEvent(tracker, workers, now);
                tracker.evaluate(now);
                const pool_view &view = *tracker.views().begin()->second;
                const std::size_t inService = workers - countIf(view, isOutOfService);
                RC_ASSERT(countIf(view, isUsable) >= std::min(minUsable, inService));
            }
            const auto view = tracker.views().begin()->second;
            for (const std::size_t index : pickedWorkers(*view)) {
                RC_ASSERT(isUsable(view->workers[index]));
            }
            for (std::size_t i = 0; i < workers; ++i) {
                if (isUsable(view->workers[i])) {
                    usableSomewhere.insert(i);
                }
            }
            bestReachable = std::max(bestReachable, workers - countIf(*view, isOutOfService));
        }
        RC_ASSERT(usableSomewhere.size() >= std::min(minUsable, bestReachable));
    }));
}

// Nodes with the same reports eject the same workers, regardless of the order in which the reports arrived.
Test(health_fleet, same_reports_cause_the_same_ejections)
{
    cr_assert(rc::check("the order of reports does not change the ejections", [] {
        const auto table = makeTable(9, 0.5);
        std::vector<worker_report> reports;
        for (std::size_t i = 0; i < 9; ++i) {
            reports.push_back(drawReport(i));
        }
        std::vector<std::vector<worker_state>> results;
        for (int node = 0; node < 2; ++node) {
            pool_tracker tracker(7, "sul-poa");
            tracker.setTable(table, Start);
            tracker.addLocalPool("tagdesk");
            for (const worker_report &report : reports) {
                tracker.recordReport(report, Start);
            }
            tracker.evaluate(Start);
            std::vector<worker_state> states;
            for (const worker_view &worker : tracker.views().begin()->second->workers) {
                states.push_back(worker.state);
            }
            results.push_back(states);
            std::reverse(reports.begin(), reports.end());
        }
        RC_ASSERT(results[0] == results[1]);
    }));
}
