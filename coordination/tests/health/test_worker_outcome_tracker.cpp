// Tests of coordination/health/worker_outcome_tracker.h.
#include <dandelionstall/coordination/health/worker_outcome_tracker.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

// Tracks one worker whose requests run one after the other; the clock advances with each request.
struct worker_fixture {
    std::unique_ptr<worker_outcome_tracker> tracker = makeWorkerOutcomeTracker();
    state::time_point now{1000s};
    std::uint64_t sequence = 0;

    state::attempt_id start(const char *route = "lookup")
    {
        const state::attempt_id id{1, ++sequence};
        tracker->recordStart(id, route, now);
        return id;
    }

    void run(work_outcome outcome, std::chrono::milliseconds span = 50ms, const char *route = "lookup", std::chrono::milliseconds hint = 50ms)
    {
        const state::attempt_id id = start(route);
        const state::time_point startedAt = now;
        now += span;
        tracker->recordEnd(id, {route, outcome, startedAt, now, hint});
    }

    worker_report report() const
    {
        worker_report result;
        tracker->fillReport(result, now);
        return result;
    }
};

} // namespace

Test(worker_outcome_tracker, reports_failures_soon_after_a_long_series_of_successes)
{
    worker_fixture worker;
    for (int i = 0; i < 60; ++i) {
        worker.run(work_outcome::answered);
    }
    cr_assert(eq(dbl, worker.report().successShare, 1.0));
    for (int i = 0; i < 12; ++i) {
        worker.run(i % 3 == 0 ? work_outcome::failed : work_outcome::answered);
    }
    cr_assert(lt(dbl, worker.report().successShare, 0.75), "earlier successes must not dilute the failures");
}

Test(worker_outcome_tracker, expires_old_outcomes_and_ignores_refusals)
{
    worker_fixture worker;
    worker.run(work_outcome::failed);
    worker.run(work_outcome::refused);
    cr_assert(eq(u32, worker.report().samples, 1));
    worker.now += 1min;
    cr_assert(eq(u32, worker.report().samples, 0));
    cr_assert(eq(dbl, worker.report().successShare, 1.0));
}

Test(worker_outcome_tracker, measures_slowness_relative_to_the_expected_cost)
{
    worker_fixture worker;
    for (int i = 0; i < 9; ++i) {
        worker.run(work_outcome::answered, 200ms, "manuals", 200ms);
    }
    cr_assert(epsilon_eq(dbl, worker.report().slowness, 1.0, 0.01));
    for (int i = 0; i < 9; ++i) {
        worker.run(work_outcome::answered, 250ms);
    }
    cr_assert(epsilon_eq(dbl, worker.report().slowness, 5.0, 0.01));
}

Test(worker_outcome_tracker, learns_the_cost_of_routes_without_a_hint)
{
    worker_fixture worker;
    for (int i = 0; i < 30; ++i) {
        worker.run(work_outcome::answered, 50ms, "lookup", 0ms);
    }
    for (int i = 0; i < 9; ++i) {
        worker.run(work_outcome::answered, 250ms, "lookup", 0ms);
    }
    cr_assert(gt(dbl, worker.report().slowness, 3.0));
}

// Callers found fewer workers in use after a start: one cheap first answer made all further ones look slow.
Test(worker_outcome_tracker, an_unusually_fast_first_answer_does_not_make_a_worker_look_slow)
{
    for (int cheapAnswers = 1; cheapAnswers <= 3; ++cheapAnswers) {
        worker_fixture worker;
        for (int i = 0; i < cheapAnswers; ++i) {
            worker.run(work_outcome::answered, 1ms, "lookup", 0ms);
        }
        for (int i = 0; i < 30; ++i) {
            worker.run(work_outcome::answered, 20ms, "lookup", 0ms);
            cr_assert_lt(
                worker.report().slowness, 3.0, "slowness %.1f after %d answers of 1 ms and %d of 20 ms", worker.report().slowness, cheapAnswers, i + 1);
        }
        for (int i = 0; i < 9; ++i) {
            worker.run(work_outcome::answered, 100ms, "lookup", 0ms);
        }
        cr_assert_geq(worker.report().slowness, 3.0, "slowness %.1f: a slow worker must still be noticed", worker.report().slowness);
    }
}

Test(worker_outcome_tracker, reports_overdue_requests_before_they_end)
{
    worker_fixture worker;
    worker.run(work_outcome::answered);
    worker.start();
    worker.start();
    worker.now += 400ms;
    cr_assert(eq(u32, worker.report().overdueCount, 2));
    cr_assert(worker.report().longestOverdue >= 300ms);
}

Test(worker_outcome_tracker, does_not_report_an_overtaken_request_as_overdue)
{
    worker_fixture worker;
    worker.run(work_outcome::answered);
    worker.start();
    worker.now += 10ms;
    worker.run(work_outcome::answered);
    worker.now += 2s;
    cr_assert(eq(u32, worker.report().overdueCount, 0));
    cr_assert(worker.report().longestOverdue == 0us);
}

Test(worker_outcome_tracker, drops_outcomes_measured_across_a_process_pause)
{
    worker_fixture worker;
    worker.run(work_outcome::failed);
    const state::attempt_id id = worker.start();
    const state::time_point startedAt = worker.now;
    worker.now += 30s;
    worker.tracker->recordPause(worker.now);
    cr_assert(eq(u32, worker.report().overdueCount, 0));
    worker.tracker->recordEnd(id, {"lookup", work_outcome::timed_out, startedAt, worker.now, 50ms});
    cr_assert(eq(u32, worker.report().samples, 0));
}
