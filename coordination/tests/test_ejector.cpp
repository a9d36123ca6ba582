// Tests of coordination/ejector.h: the baseline fails several of these, see fails_on_the_baseline.
#include <dandelionstall/coordination/ejector.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

// One node's view of one pool, judged step by step.
struct pool_fixture {
    std::unique_ptr<ejector> policy;
    pool_view view;
    ejection_input input;
    ejection_records memory;

    explicit pool_fixture(std::size_t workers, const char *name = "peer_outlier")
        : policy(std::move(*makeEjector(name)))
    {
        input.now = state::time_point{1000s};
        for (std::size_t i = 0; i < workers; ++i) {
            worker_view worker;
            worker.id = "w" + std::to_string(i);
            worker.slots = 3;
            worker.report.version = 1;
            worker.report.samples = 12;
            worker.reportReceivedAt = input.now;
            view.workers.push_back(worker);
        }
    }

    // Judges after a span, with reports heard just before unless they are kept old.
    void judge(state::duration span = 100ms, bool fresh = true)
    {
        input.now += span;
        input.view = &view;
        for (worker_view &worker : view.workers) {
            worker.reportReceivedAt = fresh ? input.now : worker.reportReceivedAt;
        }
        memory = policy->evaluate(input, memory);
        applyEjectionRecords(memory, view);
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

std::size_t floorOf(const pool_view &view)
{
    return static_cast<std::size_t>(std::ceil(view.floor * static_cast<double>(view.workers.size()) - 1e-9));
}

} // namespace

Test(ejector, ejects_gray_slow_and_silent_workers)
{
    pool_fixture pool(8);
    pool.report(0).successShare = 0.7;
    pool.report(1).slowness = 5.0;
    pool.report(2).longestOverdue = 400ms;
    pool.report(2).overdueCount = 3;
    pool.judge();
    cr_assert(eq(sz, pool.count(worker_state::ejected), 3));
    cr_assert(pool.memory["w0"].reason == ejection_reason::failures);
    cr_assert(pool.memory["w1"].reason == ejection_reason::slow);
    cr_assert(pool.memory["w2"].reason == ejection_reason::stalled);
}

Test(ejector, compares_with_peers)
{
    pool_fixture pool(8);
    for (std::size_t i = 0; i < 8; ++i) {
        pool.report(i).slowness = 4.0; // the table's costs are too low
    }
    pool.judge();
    cr_assert(eq(sz, pool.count(worker_state::ejected), 0));
    pool.report(5).slowness = 20.0;
    pool.judge();
    cr_assert(pool.stateOf(5) == worker_state::ejected);
}

Test(ejector, takes_probes_alone_and_old_reports_for_no_evidence)
{
    pool_fixture pool(6);
    pool.report(0).probeFailing = true;
    pool.judge();
    cr_assert(pool.stateOf(0) == worker_state::healthy);
    pool.report(1).successShare = 0.0;
    pool.judge(10s, false);
    cr_assert(pool.stateOf(1) == worker_state::healthy);
}

Test(ejector, ejects_the_worst_first_and_stops_at_the_floor)
{
    pool_fixture pool(10);
    for (std::size_t i = 0; i < 4; ++i) {
        pool.report(i).successShare = 0.1 * static_cast<double>(i);
    }
    pool.view.floor = 0.8;
    pool.judge();
    cr_assert(eq(sz, pool.count(worker_state::ejected), 2));
    cr_assert(pool.stateOf(0) == worker_state::ejected);
    cr_assert(pool.stateOf(1) == worker_state::ejected);
    cr_assert(pool.memory["w2"].reason == ejection_reason::floor);
}

// Four of six workers fail their work and are left to their guards; the two that answer are slow on a busy machine.
Test(ejector, keeps_slow_workers_while_guards_keep_work_from_the_others)
{
    pool_fixture pool(6);
    pool.view.floor = 0.5;
    for (std::size_t i = 0; i < 6; ++i) {
        const bool failing = i < 4;
        pool.report(i).risk = failing ? 0.95 : 0.01;
        pool.report(i).successShare = failing ? 0.2 : 1.0;
        pool.report(i).slowness = failing ? 1.0 : 6.0;
    }
    pool.judge();
    cr_assert(isUsable(pool.view.workers[4]));
    cr_assert(isUsable(pool.view.workers[5]));
    for (std::size_t i = 0; i < 4; ++i) {
        pool.report(i).risk = 0.01; // all do their work: now the slow ones may go
        pool.report(i).successShare = 1.0;
    }
    pool.judge();
    cr_assert(pool.stateOf(4) == worker_state::ejected);
}

Test(ejector, ejects_nobody_when_all_look_sick_or_the_view_is_doubtful)
{
    pool_fixture sick(8);
    for (std::size_t i = 0; i < 8; ++i) {
        sick.report(i).successShare = 0.5;
    }
    sick.judge();
    cr_assert(eq(sz, sick.count(worker_state::ejected), 0));

    pool_fixture paused(8);
    paused.report(0).successShare = 0.0;
    paused.input.localHealth.suspectedUntil = paused.input.now + 1s;
    paused.judge();
    cr_assert(eq(sz, paused.count(worker_state::ejected), 0));

    pool_fixture isolated(8);
    isolated.input.localHealth.isolated = true;
    for (std::size_t i = 0; i < 3; ++i) {
        isolated.input.paths["w" + std::to_string(i)].inboundUp = false;
    }
    isolated.judge();
    cr_assert(eq(sz, isolated.count(worker_state::ejected), 0));
}

Test(ejector, sees_a_path_cut_in_either_direction)
{
    pool_fixture pool(6);
    pool.input.paths["w0"].inboundUp = false;
    pool.input.paths["w1"].outboundUp = false;
    pool.judge();
    cr_assert(pool.memory["w0"].reason == ejection_reason::path);
    cr_assert(pool.memory["w1"].reason == ejection_reason::path);
    cr_assert(eq(sz, pool.count(worker_state::ejected), 2));
}

Test(ejector, readmits_gradually_and_only_with_real_work)
{
    pool_fixture pool(6);
    pool.report(0).successShare = 0.0;
    pool.judge();
    cr_assert(pool.stateOf(0) == worker_state::ejected);
    pool.report(0).successShare = 1.0;
    pool.report(0).samples = 0;
    for (int i = 0; i < 100; ++i) {
        pool.judge();
    }
    cr_assert(pool.stateOf(0) == worker_state::probation);
    cr_assert(lt(dbl, pool.view.workers[0].weight, 0.5), "without real work the share does not grow");
    pool.report(0).samples = 4;
    pool.judge(1100ms);
    double first = pool.view.workers[0].weight;
    cr_assert(lt(dbl, first, 1.0));
    pool.judge(1100ms);
    cr_assert(gt(dbl, pool.view.workers[0].weight, first));
    pool.judge(1100ms);
    cr_assert(pool.stateOf(0) == worker_state::healthy);
}

Test(ejector, holds_a_flapping_worker_longer_each_time_and_forgets)
{
    pool_fixture pool(6);
    std::vector<state::duration> holds;
    for (int round = 0; round < 4; ++round) {
        pool.report(0).successShare = 0.0;
        while (pool.stateOf(0) != worker_state::ejected) {
            pool.judge();
        }
        holds.push_back(pool.memory["w0"].ejectedUntil - pool.input.now);
        pool.report(0).successShare = 1.0;
        while (pool.stateOf(0) == worker_state::ejected) {
            pool.judge();
        }
    }
    cr_assert(std::is_sorted(holds.begin(), holds.end()));
    cr_assert(holds.back() >= 4 * holds.front());
    for (int i = 0; i < 3600; ++i) {
        pool.judge(1s);
    }
    pool.report(0).successShare = 0.0;
    pool.judge();
    cr_assert(pool.memory["w0"].ejectedUntil - pool.input.now == holds.front());
}

Test(ejector, starts_a_cold_worker_with_a_growing_share)
{
    pool_fixture pool(6);
    pool.report(0).starting = true;
    pool.judge();
    cr_assert(pool.stateOf(0) == worker_state::probation);
    pool.judge(5s);
    pool.judge(5s);
    cr_assert(lt(dbl, pool.view.workers[0].weight, 1.0), "not full while it says that it is starting");
    pool.report(0).starting = false;
    pool.judge(5s);
    cr_assert(pool.stateOf(0) == worker_state::healthy);
}

// The situations that the baseline gets wrong; the tests above show that the chosen policy gets them right.
Test(ejector, fails_on_the_baseline)
{
    pool_fixture gray(6, "consecutive_failures");
    gray.report(0).successShare = 0.7;
    gray.report(1).slowness = 5.0;
    gray.report(2).longestOverdue = 2s;
    gray.judge();
    cr_assert(eq(sz, gray.count(worker_state::ejected), 0), "neither gray nor slow nor silent is seen");

    pool_fixture sick(6, "consecutive_failures");
    for (std::size_t i = 0; i < 6; ++i) {
        sick.report(i).successShare = 0.0;
    }
    sick.judge();
    cr_assert(eq(sz, sick.usable(), 0), "nobody is left");

    pool_fixture paused(6, "consecutive_failures");
    paused.report(0).successShare = 0.0;
    paused.input.localHealth.suspectedUntil = paused.input.now + 1s;
    paused.judge(10s, false);
    cr_assert(eq(sz, paused.count(worker_state::ejected), 1), "an old report and a doubtful view are trusted");
}

// Whatever the views and the order of events: ejection leaves the floor in use, or all that is neither leaving nor unreachable.
Test(ejector, never_goes_below_the_floor)
{
    cr_assert(rc::check("floor", [] {
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
            pool.judge(std::chrono::milliseconds(*rc::gen::inRange(1, 20'000)));
            const std::size_t missing = pool.count(worker_state::leaving) + pool.count(worker_state::unreachable);
            const std::size_t present = pool.view.workers.size() - missing;
            RC_ASSERT(pool.usable() >= std::min(floorOf(pool.view), present));
            RC_ASSERT(present == 0 || pool.usable() >= 1);
        }
    }));
}
