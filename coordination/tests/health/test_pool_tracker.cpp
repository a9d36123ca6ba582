// Tests of coordination/health/pool_tracker.h.
#include <dandelionstall/coordination/health/pool_tracker.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point Start{1000s};

state::node_address nodeOf(int index)
{
    return {"10.0.0.1", static_cast<std::uint16_t>(7000 + index)};
}

std::shared_ptr<const state::pool_table> makeTable(int workers)
{
    auto table = std::make_shared<state::pool_table>();
    state::pool pool;
    pool.name = "catalogue";
    for (int i = 0; i < workers; ++i) {
        pool.workers.push_back({fmt::format("w{}", i), "kiambu", nodeOf(i), 3});
    }
    table->pools.push_back(pool);
    return table;
}

worker_report makeReport(int index, std::uint64_t version)
{
    worker_report report;
    report.worker = fmt::format("w{}", index);
    report.pool = "catalogue";
    report.node = nodeOf(index);
    report.incarnation = 1;
    report.version = version;
    report.samples = 10;
    return report;
}

worker_state stateOf(const pool_tracker &tracker, std::size_t index)
{
    return tracker.views().find("catalogue")->second->workers[index].state;
}

pool_tracker makeTracker(int workers)
{
    pool_tracker tracker(1, "kiambu");
    tracker.setTable(makeTable(workers), Start);
    tracker.addLocalPool("catalogue");
    return tracker;
}

// Returns how often a pool was published in ten seconds in which one report with another load arrives every 100 ms.
std::size_t countPublications(int workers)
{
    pool_tracker tracker = makeTracker(workers);
    for (int i = 0; i < workers; ++i) {
        tracker.recordReport(makeReport(i, 1), Start);
    }
    tracker.evaluate(Start);
    std::size_t count = 0;
    for (int i = 1; i <= 100; ++i) {
        const state::time_point now = Start + i * 100ms;
        worker_report report = makeReport(i % workers, static_cast<std::uint64_t>(i) + 1);
        report.busy = static_cast<std::uint32_t>(i % 3);
        tracker.recordReport(report, now);
        count += tracker.evaluate(now).size();
    }
    return count;
}

} // namespace

Test(pool_tracker, accepts_only_newer_reports)
{
    pool_tracker tracker = makeTracker(3);
    cr_assert(tracker.recordReport(makeReport(0, 2), Start));
    cr_assert(not(tracker.recordReport(makeReport(0, 2), Start)));
    cr_assert(not(tracker.recordReport(makeReport(0, 1), Start)));
    worker_report restarted = makeReport(0, 1);
    restarted.incarnation = 2;
    cr_assert(tracker.recordReport(restarted, Start));
    cr_assert(not(tracker.recordReport(makeReport(7, 1), Start)), "the worker is not in the pool table");
}

Test(pool_tracker, keeps_reports_across_a_new_table)
{
    pool_tracker tracker = makeTracker(3);
    tracker.recordReport(makeReport(0, 2), Start);
    tracker.setTable(makeTable(4), Start);
    cr_assert(eq(sz, tracker.views().find("catalogue")->second->workers.size(), 4));
    cr_assert(not(tracker.recordReport(makeReport(0, 2), Start)));
    cr_assert(eq(sz, tracker.evaluate(Start).size(), 1), "a new table must change the view");
    cr_assert(stateOf(tracker, 0) == worker_state::healthy);
}

Test(pool_tracker, expires_unused_pools)
{
    pool_tracker tracker(1, "kiambu");
    tracker.setTable(makeTable(3), Start);
    cr_assert(tracker.views().empty());
    cr_assert(not(tracker.recordReport(makeReport(0, 1), Start)));
    tracker.recordPoolUse("catalogue", Start);
    cr_assert(eq(sz, tracker.views().size(), 1));
    tracker.evaluate(Start + 1h);
    cr_assert(tracker.views().empty());
}

Test(pool_tracker, ejects_a_failing_worker_and_returns_the_pool_name)
{
    pool_tracker tracker = makeTracker(6);
    for (int i = 0; i < 6; ++i) {
        worker_report report = makeReport(i, 1);
        report.successShare = i == 4 ? 0.6 : 1.0;
        tracker.recordReport(report, Start);
    }
    cr_assert(eq(sz, tracker.evaluate(Start + 10ms).size(), 1));
    cr_assert(stateOf(tracker, 4) == worker_state::ejected);
    cr_assert(tracker.explain("catalogue", Start + 10ms)[4].reason == ejection_reason::failures);
    cr_assert(tracker.evaluate(Start + 20ms).empty(), "without a change no pool must be named");
}

Test(pool_tracker, applies_leaving_and_dead_nodes_to_worker_states)
{
    pool_tracker tracker = makeTracker(3);
    tracker.recordNodeCondition(nodeOf(0), node_condition::leaving, Start);
    tracker.recordNodeCondition(nodeOf(1), node_condition::dead, Start);
    tracker.evaluate(Start);
    cr_assert(stateOf(tracker, 0) == worker_state::leaving);
    cr_assert(stateOf(tracker, 1) == worker_state::unreachable);
    tracker.recordNodeCondition(nodeOf(1), node_condition::live, Start);
    tracker.evaluate(Start);
    cr_assert(stateOf(tracker, 1) == worker_state::probation, "a returned worker must start with a reduced weight");
}

Test(pool_tracker, ejects_no_worker_after_a_process_pause)
{
    pool_tracker tracker = makeTracker(6);
    worker_report report = makeReport(0, 1);
    report.successShare = 0.0;
    tracker.recordReport(report, Start);
    tracker.recordPause(Start);
    tracker.evaluate(Start + 100ms);
    cr_assert(stateOf(tracker, 0) != worker_state::ejected);
}

// The texts for the log are made for the workers whose state has changed, not for each report that arrives.
Test(pool_tracker, explains_the_workers_whose_state_has_changed)
{
    pool_tracker tracker = makeTracker(4);
    tracker.recordReport(makeReport(1, 1), Start);
    tracker.evaluate(Start);
    const std::vector<worker_explanation> changes = tracker.consumeStateChanges(Start);
    cr_assert(changes.size() == 1);
    cr_assert(changes[0].worker == "w1" && changes[0].pool == "catalogue" && changes[0].state == worker_state::healthy);
    tracker.recordReport(makeReport(1, 2), Start + 100ms);
    cr_assert(tracker.evaluate(Start + 100ms).size() == 1);
    cr_assert(tracker.consumeStateChanges(Start + 100ms).empty());
}

// An evaluation takes time for each worker: the time for all of them must not grow with the pool.
Test(pool_tracker, evaluates_a_large_pool_less_often_for_changes_of_load)
{
    cr_assert(countPublications(21) == 100);
    cr_assert(countPublications(284) <= 10'000 / 284 + 1);
    cr_assert(countPublications(1000) <= 10'000 / 1000 + 1);
}

Test(pool_tracker, evaluates_a_sharp_change_in_a_large_pool_at_once)
{
    constexpr int Workers = 284;
    pool_tracker tracker = makeTracker(Workers);
    for (int i = 0; i < Workers; ++i) {
        tracker.recordReport(makeReport(i, 1), Start);
    }
    tracker.evaluate(Start);
    tracker.recordReport(makeReport(3, 2), Start + 100ms);
    cr_assert(tracker.evaluate(Start + 100ms).empty(), "a change of load");
    worker_report leaving = makeReport(4, 2);
    leaving.leaving = true;
    tracker.recordReport(leaving, Start + 200ms);
    cr_assert(tracker.evaluate(Start + 200ms).size() == 1);
    cr_assert(stateOf(tracker, 4) == worker_state::leaving);
    tracker.recordNodeCondition(nodeOf(5), node_condition::dead, Start + 300ms);
    cr_assert(tracker.evaluate(Start + 300ms).size() == 1);
    cr_assert(stateOf(tracker, 5) == worker_state::unreachable);
}
