// Tests of coordination/health/ejector.h. Several of them would fail with the baseline policy; see baseline_misses_faults_and_ignores_the_floor.
#include <dandelionstall/coordination/health/ejector.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

// One node's view of one pool, evaluated step by step.
struct pool_fixture {
    std::unique_ptr<ejector> policy;
    pool_view view;
    ejection_input input;
    ejection_records records;

    explicit pool_fixture(std::size_t workers, const char *name = "peer_outlier")
        : policy(std::move(*makeEjector(name)))
    {
        input.now = state::time_point{1000s};
        for (std::size_t i = 0; i < workers; ++i) {
            worker_view worker;
            worker.id = fmt::format("w{}", i);
            worker.slots = 3;
            worker.report.version = 1;
            worker.report.samples = 12;
            worker.reportReceivedAt = input.now;
            view.workers.push_back(worker);
        }
    }

    // Evaluates the pool after a time span; with `fresh`, all reports count as received at that time.
    void evaluateAfter(state::duration span = 100ms, bool fresh = true)
    {
        input.now += span;
        input.view = &view;
        for (worker_view &worker : view.workers) {
            worker.reportReceivedAt = fresh ? input.now : worker.reportReceivedAt;
        }
        records = policy->evaluate(input, records);
        applyEjectionRecords(records, view);
    }

    worker_state stateOf(std::size_t index) const
    {
        return view.workers[index].state;
    }

    std::size_t count(worker_state state) const
    {
        return static_cast<std::size_t>(
            std::count_if(view.workers.begin(), view.workers.end(), [state](const worker_view &row) { return row.state == state; }));
    }

    std::size_t usable() const
    {
        return static_cast<std::size_t>(std::count_if(view.workers.begin(), view.workers.end(), isUsable));
    }

    worker_report &report(std::size_t index)
    {
        return view.workers[index].report;
    }
};

std::size_t minUsableOf(const pool_view &view)
{
    return static_cast<std::size_t>(std::ceil(view.floor * static_cast<double>(view.workers.size()) - 1e-9));
}

} // namespace

Test(ejector, ejects_partially_failing_slow_and_stalled_workers)
{
    pool_fixture pool(8);
    pool.report(0).successShare = 0.7;
    pool.report(1).slowness = 5.0;
    pool.report(2).longestOverdue = 400ms;
    pool.report(2).overdueCount = 3;
    pool.evaluateAfter();
    cr_assert(eq(sz, pool.count(worker_state::ejected), 3));
    cr_assert(pool.records["w0"].reason == ejection_reason::failures);
    cr_assert(pool.records["w1"].reason == ejection_reason::slow);
    cr_assert(pool.records["w2"].reason == ejection_reason::stalled);
}

Test(ejector, compares_slowness_with_peers)
{
    pool_fixture pool(8);
    for (std::size_t i = 0; i < 8; ++i) {
        pool.report(i).slowness = 4.0; // all workers are equally slow: the costs in the table are too low
    }
    pool.evaluateAfter();
    cr_assert(eq(sz, pool.count(worker_state::ejected), 0));
    pool.report(5).slowness = 20.0;
    pool.evaluateAfter();
    cr_assert(pool.stateOf(5) == worker_state::ejected);
}

Test(ejector, does_not_eject_by_failing_probes_alone_or_by_old_reports)
{
    pool_fixture pool(6);
    pool.report(0).probeFailing = true;
    pool.evaluateAfter();
    cr_assert(pool.stateOf(0) == worker_state::healthy);
    pool.report(1).successShare = 0.0;
    pool.evaluateAfter(10s, false);
    cr_assert(pool.stateOf(1) == worker_state::healthy);
}

Test(ejector, ejects_most_severe_faults_first_and_stops_at_the_floor)
{
    pool_fixture pool(10);
    for (std::size_t i = 0; i < 4; ++i) {
        pool.report(i).successShare = 0.1 * static_cast<double>(i);
    }
    pool.view.floor = 0.8;
    pool.evaluateAfter();
    cr_assert(eq(sz, pool.count(worker_state::ejected), 2));
    cr_assert(pool.stateOf(0) == worker_state::ejected);
    cr_assert(pool.stateOf(1) == worker_state::ejected);
    cr_assert(pool.records["w2"].reason == ejection_reason::floor);
}

// The last working workers must not be ejected: four of six workers fail and their failure guards refuse work, and
// the two that answer are slow because their machine is busy.
Test(ejector, keeps_slow_workers_while_failure_guards_refuse_work_for_the_others)
{
    pool_fixture pool(6);
    pool.view.floor = 0.5;
    for (std::size_t i = 0; i < 6; ++i) {
        const bool failing = i < 4;
        pool.report(i).risk = failing ? 0.95 : 0.01;
        pool.report(i).successShare = failing ? 0.2 : 1.0;
        pool.report(i).slowness = failing ? 1.0 : 6.0;
    }
    pool.evaluateAfter();
    cr_assert(isUsable(pool.view.workers[4]));
    cr_assert(isUsable(pool.view.workers[5]));
    for (std::size_t i = 0; i < 4; ++i) {
        pool.report(i).risk = 0.01; // all workers answer: the slow ones may be ejected
        pool.report(i).successShare = 1.0;
    }
    pool.evaluateAfter();
    cr_assert(pool.stateOf(4) == worker_state::ejected);
}

// Callers found no working worker: those that answered stayed ejected as slow while the guards refused work for all others.
Test(ejector, returns_workers_ejected_as_slow_when_the_others_fail)
{
    pool_fixture pool(6);
    pool.view.floor = 0.5;
    pool.report(4).slowness = 6.0;
    pool.report(5).slowness = 6.0;
    pool.evaluateAfter();
    cr_assert(eq(sz, pool.count(worker_state::ejected), 2));
    for (std::size_t i = 0; i < 6; ++i) {
        pool.report(i).risk = i < 4 ? 0.9 : 0.01;
        pool.report(i).slowness = 1.0;
    }
    pool.evaluateAfter();
    cr_assert(isUsable(pool.view.workers[4]));
    cr_assert(isUsable(pool.view.workers[5]));
}

Test(ejector, ejects_no_worker_when_all_are_unhealthy_or_the_node_suspects_itself)
{
    pool_fixture unhealthy(8);
    for (std::size_t i = 0; i < 8; ++i) {
        unhealthy.report(i).successShare = 0.5;
    }
    unhealthy.evaluateAfter();
    cr_assert(eq(sz, unhealthy.count(worker_state::ejected), 0));

    pool_fixture paused(8);
    paused.report(0).successShare = 0.0;
    paused.input.localHealth.suspectedUntil = paused.input.now + 1s;
    paused.evaluateAfter();
    cr_assert(eq(sz, paused.count(worker_state::ejected), 0));

    pool_fixture isolated(8);
    isolated.input.localHealth.isolated = true;
    for (std::size_t i = 0; i < 3; ++i) {
        isolated.input.paths[fmt::format("w{}", i)].inboundUp = false;
    }
    isolated.evaluateAfter();
    cr_assert(eq(sz, isolated.count(worker_state::ejected), 0));
}

Test(ejector, ejects_workers_with_a_path_broken_in_either_direction)
{
    pool_fixture pool(6);
    pool.input.paths["w0"].inboundUp = false;
    pool.input.paths["w1"].outboundUp = false;
    pool.evaluateAfter();
    cr_assert(pool.records["w0"].reason == ejection_reason::path);
    cr_assert(pool.records["w1"].reason == ejection_reason::path);
    cr_assert(eq(sz, pool.count(worker_state::ejected), 2));
}

Test(ejector, readmits_gradually_and_only_with_successful_requests)
{
    pool_fixture pool(6);
    pool.report(0).successShare = 0.0;
    pool.evaluateAfter();
    cr_assert(pool.stateOf(0) == worker_state::ejected);
    pool.report(0).successShare = 1.0;
    pool.report(0).samples = 0;
    for (int i = 0; i < 100; ++i) {
        pool.evaluateAfter();
    }
    cr_assert(pool.stateOf(0) == worker_state::probation);
    cr_assert(lt(dbl, pool.view.workers[0].weight, 0.5), "the weight must not grow without successful requests");
    pool.report(0).samples = 4;
    pool.evaluateAfter(1100ms);
    double firstWeight = pool.view.workers[0].weight;
    cr_assert(lt(dbl, firstWeight, 1.0));
    pool.evaluateAfter(1100ms);
    cr_assert(gt(dbl, pool.view.workers[0].weight, firstWeight));
    pool.evaluateAfter(1100ms);
    cr_assert(pool.stateOf(0) == worker_state::healthy);
}

Test(ejector, lengthens_ejections_of_a_flapping_worker_and_expires_their_count)
{
    pool_fixture pool(6);
    std::vector<state::duration> ejectionDurations;
    for (int round = 0; round < 4; ++round) {
        pool.report(0).successShare = 0.0;
        while (pool.stateOf(0) != worker_state::ejected) {
            pool.evaluateAfter();
        }
        ejectionDurations.push_back(pool.records["w0"].ejectedUntil - pool.input.now);
        pool.report(0).successShare = 1.0;
        while (pool.stateOf(0) == worker_state::ejected) {
            pool.evaluateAfter();
        }
    }
    cr_assert(std::is_sorted(ejectionDurations.begin(), ejectionDurations.end()));
    cr_assert(ejectionDurations.back() >= 4 * ejectionDurations.front());
    for (int i = 0; i < 3600; ++i) {
        pool.evaluateAfter(1s);
    }
    pool.report(0).successShare = 0.0;
    pool.evaluateAfter();
    cr_assert(pool.records["w0"].ejectedUntil - pool.input.now == ejectionDurations.front());
}

Test(ejector, starts_a_cold_worker_with_a_growing_weight)
{
    pool_fixture pool(6);
    pool.report(0).starting = true;
    pool.evaluateAfter();
    cr_assert(pool.stateOf(0) == worker_state::probation);
    pool.evaluateAfter(5s);
    pool.evaluateAfter(5s);
    cr_assert(lt(dbl, pool.view.workers[0].weight, 1.0), "the weight must stay below 1 while the worker reports that it is starting");
    pool.report(0).starting = false;
    pool.evaluateAfter(5s);
    cr_assert(pool.stateOf(0) == worker_state::healthy);
}

// Documents the faults that the baseline policy handles wrongly; the tests above show that peer_outlier handles them.
Test(ejector, baseline_misses_faults_and_ignores_the_floor)
{
    pool_fixture partial(6, "consecutive_failures");
    partial.report(0).successShare = 0.7;
    partial.report(1).slowness = 5.0;
    partial.report(2).longestOverdue = 2s;
    partial.evaluateAfter();
    cr_assert(eq(sz, partial.count(worker_state::ejected), 0), "the baseline must not detect partial failures, slowness or stalls");

    pool_fixture unhealthy(6, "consecutive_failures");
    for (std::size_t i = 0; i < 6; ++i) {
        unhealthy.report(i).successShare = 0.0;
    }
    unhealthy.evaluateAfter();
    cr_assert(eq(sz, unhealthy.usable(), 0), "the baseline must eject all workers");

    pool_fixture paused(6, "consecutive_failures");
    paused.report(0).successShare = 0.0;
    paused.input.localHealth.suspectedUntil = paused.input.now + 1s;
    paused.evaluateAfter(10s, false);
    cr_assert(eq(sz, paused.count(worker_state::ejected), 1), "the baseline must eject by an old report and despite self-suspicion");
}

// For any sequence of views and events, ejection leaves at least the floor in use, or all workers that are neither leaving
// nor unreachable if those are fewer.
Test(ejector, never_ejects_below_the_floor)
{
    cr_assert(rc::check("the usable workers never fall below the floor", [] {
        pool_fixture pool(*rc::gen::inRange<std::size_t>(1, 16));
        pool.view.floor = *rc::gen::inRange(0, 101) / 100.0;
        const auto steps = *rc::gen::inRange(1, 30);
        for (int step = 0; step < steps; ++step) {
            for (std::size_t i = 0; i < pool.view.workers.size(); ++i) {
                worker_view &worker = pool.view.workers[i];
                const int event = *rc::gen::inRange(0, 10);
                worker.slots = 1 + static_cast<std::uint32_t>(i % 4);
                worker.report.successShare = event < 3 ? event * 0.3 : 1.0;
                worker.report.slowness = event == 3 ? 8.0 : 1.0;
                worker.report.longestOverdue = event == 4 ? 5s : 0s;
                worker.report.starting = event == 5;
                pool.input.paths[worker.id].inboundUp = event != 6;
                worker.state = event == 7 ? worker_state::leaving : event == 8 ? worker_state::unreachable : worker_state::healthy;
            }
            pool.evaluateAfter(std::chrono::milliseconds(*rc::gen::inRange(1, 20'000)));
            const std::size_t outOfService = pool.count(worker_state::leaving) + pool.count(worker_state::unreachable);
            const std::size_t present = pool.view.workers.size() - outOfService;
            RC_ASSERT(pool.usable() >= std::min(minUsableOf(pool.view), present));
            RC_ASSERT(present == 0 || pool.usable() >= 1);
        }
    }));
}

// A limited worker stays in use, but most of its slots may not be used: the floor does not count on them.
Test(ejector, a_new_ejection_does_not_rely_on_slots_beyond_a_rate_limit)
{
    for (const bool limited : {false, true}) {
        pool_fixture pool(4);
        pool.view.floor = 0.5;
        pool.evaluateAfter();
        for (std::size_t i = 2; i < 4 && limited; ++i) {
            pool.report(i).limit = limit_knowledge::limited;
            pool.report(i).rateLimit = 1.0;
            pool.report(i).latency = 100ms;
        }
        pool.report(0).longestOverdue = 5s;
        pool.report(0).overdueCount = 3;
        pool.evaluateAfter();
        cr_assert(pool.stateOf(0) == (limited ? worker_state::probation : worker_state::ejected), "limited: %d", limited);
        cr_assert(isUsable(pool.view.workers[2]) && isUsable(pool.view.workers[3]));
    }
}
