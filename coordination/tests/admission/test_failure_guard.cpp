// Tests of coordination/admission/failure_guard.h. Replays of workers that fail part of their work compare the guard with the
// baseline that admits everything.
#include <dandelionstall/coordination/admission/failure_guard.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>

#include <random>
#include <vector>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const state::time_point Start = state::time_point{} + std::chrono::hours(1);

std::unique_ptr<failure_guard> makeGuard(std::string_view name = "belief")
{
    auto made = makeFailureGuard(name);
    cr_assert(made.ok());
    return *std::move(made);
}

state::attempt_id idOf(std::uint64_t sequence)
{
    return {1, sequence};
}

void runOne(failure_guard &guard, std::uint64_t sequence, bool failed, state::time_point now)
{
    guard.recordStart({idOf(sequence), true}, now);
    guard.recordOutcome(idOf(sequence), failed, now + milliseconds(1));
}

struct replay_result {
    std::size_t nonIdempotent = 0;   // non-idempotent items that were run
    std::size_t failed = 0;          // non-idempotent items that were run and failed
    std::size_t placements = 0;      // attempts for non-idempotent items, including refused attempts
    std::size_t healthyOffers = 0;   // attempts for non-idempotent items at a healthy worker
    std::size_t healthyRefusals = 0; // attempts for non-idempotent items that a healthy worker's guard refused
};

// 15 workers; each becomes unhealthy for 3 s, on average every 9 s, and then fails 85 % of its work within a millisecond.
// A quarter of the 90 requests per second is idempotent. Work that a guard refuses goes to the next worker immediately.
replay_result replayGrayWorkers(std::string_view guardName, std::uint64_t seed)
{
    constexpr std::size_t Workers = 15;
    struct worker {
        std::unique_ptr<failure_guard> guard;
        state::time_point unhealthyUntil;
        state::time_point unhealthyFrom;
    };
    pcg32 random(seed);
    std::exponential_distribution<double> gap(1.0 / 6.0);
    std::vector<worker> workers(Workers);
    for (worker &entry : workers) {
        entry.guard = makeGuard(guardName);
        entry.unhealthyFrom = Start + std::chrono::duration_cast<state::duration>(std::chrono::duration<double>(gap(random)));
        entry.unhealthyUntil = entry.unhealthyFrom + seconds(3);
    }
    replay_result result;
    std::uint64_t sequence = 0;
    for (state::time_point now = Start; now < Start + seconds(60); now += milliseconds(11)) {
        for (worker &entry : workers) {
            if (now >= entry.unhealthyUntil) {
                entry.unhealthyFrom = now + std::chrono::duration_cast<state::duration>(std::chrono::duration<double>(gap(random)));
                entry.unhealthyUntil = entry.unhealthyFrom + seconds(3);
            }
        }
        const bool idempotent = random(4) == 0;
        const std::size_t first = random(Workers);
        for (std::size_t tried = 0; tried < 5; ++tried) {
            worker &entry = workers[(first + tried) % Workers];
            const guarded_item item{idOf(++sequence), idempotent, tried == 4 ? MaxAcceptedRisk : acceptedRisk(idempotent ? 0 : tried)};
            const bool unhealthy = now >= entry.unhealthyFrom;
            result.placements += idempotent ? 0 : 1;
            result.healthyOffers += !idempotent && !unhealthy ? 1 : 0;
            if (!entry.guard->admits(item, now)) {
                result.healthyRefusals += !idempotent && !unhealthy ? 1 : 0;
                continue;
            }
            const bool failed = random(1000) < (unhealthy ? 850U : 12U);
            entry.guard->recordStart(item, now);
            entry.guard->recordOutcome(item.id, failed, now + milliseconds(1));
            result.nonIdempotent += idempotent ? 0 : 1;
            result.failed += !idempotent && failed ? 1 : 0;
            break;
        }
    }
    return result;
}

} // namespace

Test(failure_guard, refuses_non_idempotent_work_after_one_failure)
{
    const auto guard = makeGuard();
    state::time_point now = Start;
    for (std::uint64_t i = 0; i < 10; ++i) {
        now += milliseconds(200);
        runOne(*guard, i, false, now);
    }
    const guarded_item nonIdempotent{idOf(100), false};
    cr_assert(guard->admits(nonIdempotent, now));
    now += milliseconds(200);
    runOne(*guard, 11, true, now);
    cr_assert(not(guard->admits(nonIdempotent, now + milliseconds(1))));
    const guarded_item acceptsAnyRisk{idOf(101), false, MaxAcceptedRisk};
    cr_assert(guard->admits(acceptsAnyRisk, now + milliseconds(1)));
}

Test(failure_guard, admits_idempotent_work_as_one_trial_at_a_time)
{
    const auto guard = makeGuard();
    for (std::uint64_t i = 0; i < 3; ++i) {
        runOne(*guard, i, true, Start);
    }
    const guarded_item trial{idOf(10), true};
    cr_assert(not(guard->admits(trial, Start))); // the worker is almost certainly unhealthy
    const state::time_point later = Start + milliseconds(1500);
    cr_assert(guard->admits(trial, later));
    guard->recordStart(trial, later);
    cr_assert(not(guard->admits({idOf(11), true}, later)));
    guard->recordOutcome(trial.id, false, later + milliseconds(200));
    cr_assert(guard->admits({idOf(11), true}, later + milliseconds(200)));
}

Test(failure_guard, admits_non_idempotent_work_after_a_few_successes_of_a_recovered_worker)
{
    const auto guard = makeGuard();
    runOne(*guard, 0, true, Start);
    runOne(*guard, 1, true, Start);
    for (std::uint64_t i = 2; i < 6; ++i) {
        runOne(*guard, i, false, Start + seconds(2));
    }
    cr_assert(guard->admits({idOf(10), false}, Start + seconds(2)));
}

Test(failure_guard, accepted_risk_grows_with_each_refusal)
{
    const auto guard = makeGuard(); // without outcomes the risk is the long-run average, which is low
    cr_assert(guard->admits({idOf(1), false, acceptedRisk(0)}, Start));
    runOne(*guard, 2, true, Start);
    const state::time_point later = Start + seconds(3);
    cr_assert(not(guard->admits({idOf(3), false, acceptedRisk(0)}, later)));
    cr_assert(not(guard->admits({idOf(3), false, acceptedRisk(1)}, later)));
    cr_assert(guard->admits({idOf(3), false, acceptedRisk(2)}, later));
    for (std::size_t refusals = 0; refusals < 10; ++refusals) {
        cr_assert(acceptedRisk(refusals) <= acceptedRisk(refusals + 1));
        cr_assert(acceptedRisk(refusals) < TrialRiskLimit);
    }
}

Test(failure_guard, discarding_an_attempt_frees_its_trial)
{
    const auto guard = makeGuard();
    runOne(*guard, 0, true, Start);
    const state::time_point later = Start + seconds(4); // the risk has drifted down so far that two trials may run
    const guarded_item trial{idOf(1), true};
    guard->recordStart(trial, later);
    guard->recordStart({idOf(2), true}, later);
    cr_assert(not(guard->admits({idOf(3), true}, later)));
    guard->discardAttempt(trial.id);
    cr_assert(guard->admits({idOf(3), true}, later));
}

// Work that was running when the worker became unhealthy succeeds. These successes must not lower the risk estimate.
Test(failure_guard, ignores_successes_that_started_before_the_failure)
{
    const auto guard = makeGuard();
    for (std::uint64_t i = 0; i < 4; ++i) {
        guard->recordStart({idOf(i), false}, Start);
    }
    runOne(*guard, 10, true, Start + milliseconds(50));
    for (std::uint64_t i = 0; i < 4; ++i) {
        guard->recordOutcome(idOf(i), false, Start + milliseconds(100));
    }
    cr_assert(not(guard->admits({idOf(20), false}, Start + milliseconds(100))));
}

Test(failure_guard, fails_at_most_a_third_of_the_non_idempotent_work_that_the_baseline_fails)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const replay_result baseline = replayGrayWorkers("off", seed);
        const replay_result guarded = replayGrayWorkers("belief", seed);
        const double baselineShare = static_cast<double>(baseline.failed) / static_cast<double>(baseline.nonIdempotent);
        const double share = static_cast<double>(guarded.failed) / static_cast<double>(guarded.nonIdempotent);
        cr_log_info("seed %lu: failed %.3f, baseline %.3f, healthy refused %.3f",
                    static_cast<unsigned long>(seed),
                    share,
                    baselineShare,
                    static_cast<double>(guarded.healthyRefusals) / static_cast<double>(guarded.healthyOffers));
        cr_assert(share * 3.0 <= baselineShare, "seed %lu: failed share %.3f, baseline %.3f", static_cast<unsigned long>(seed), share, baselineShare);
        cr_assert(static_cast<double>(guarded.healthyRefusals) <= 0.25 * static_cast<double>(guarded.healthyOffers));
    }
}

// At a load peak each refusal costs a place in a queue. A third of the workers is unhealthy at any time, so that a guard
// with exact knowledge of their health would need 1.5 placements on average.
Test(failure_guard, admits_work_after_few_placements)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const replay_result guarded = replayGrayWorkers("belief", seed);
        const double placements = static_cast<double>(guarded.placements) / static_cast<double>(guarded.nonIdempotent);
        cr_assert(placements <= 1.8, "seed %lu: %.2f placements", static_cast<unsigned long>(seed), placements);
    }
}

Test(failure_guard, unknown_names_are_rejected_and_off_estimates_no_risk)
{
    cr_assert(not(makeFailureGuard("unknown").ok()));
    cr_assert(makeGuard("off")->risk(Start) < 0.0);
}
