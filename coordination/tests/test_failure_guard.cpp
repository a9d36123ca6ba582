// Tests of coordination/failure_guard.h: replays of workers that fail a part of their work, against the open baseline.
#include <dandelionstall/coordination/failure_guard.h>

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
    std::size_t unrepeatable = 0;    // offered
    std::size_t failed = 0;          // of them
    std::size_t placements = 0;      // of unrepeatable work, refused ones included
    std::size_t healthyOffers = 0;   // unrepeatable work offered to a healthy worker
    std::size_t healthyRefusals = 0; // of them, refused
};

// 15 workers; each turns sick for 3 s, on average every 9 s, and then fails 85 % of its work within a millisecond. A
// quarter of the 90 requests a second may be repeated. Work that a guard refuses goes to the next worker at once.
replay_result replayGrayWorkers(std::string_view guardName, std::uint64_t seed)
{
    constexpr std::size_t Workers = 15;
    struct worker {
        std::unique_ptr<failure_guard> guard;
        state::time_point sickUntil;
        state::time_point sickFrom;
    };
    pcg32 random(seed);
    std::exponential_distribution<double> gap(1.0 / 6.0);
    std::vector<worker> workers(Workers);
    for (worker &entry : workers) {
        entry.guard = makeGuard(guardName);
        entry.sickFrom = Start + std::chrono::duration_cast<state::duration>(std::chrono::duration<double>(gap(random)));
        entry.sickUntil = entry.sickFrom + seconds(3);
    }
    replay_result result;
    std::uint64_t sequence = 0;
    for (state::time_point now = Start; now < Start + seconds(60); now += milliseconds(11)) {
        for (worker &entry : workers) {
            if (now >= entry.sickUntil) {
                entry.sickFrom = now + std::chrono::duration_cast<state::duration>(std::chrono::duration<double>(gap(random)));
                entry.sickUntil = entry.sickFrom + seconds(3);
            }
        }
        const bool repeatable = random(4) == 0;
        const std::size_t first = random(Workers);
        for (std::size_t tried = 0; tried < 5; ++tried) {
            worker &entry = workers[(first + tried) % Workers];
            const guarded_item item{idOf(++sequence), repeatable, tried == 4 ? MaxAcceptedRisk : acceptedRisk(repeatable ? 0 : tried)};
            const bool sick = now >= entry.sickFrom;
            result.placements += repeatable ? 0 : 1;
            result.healthyOffers += !repeatable && !sick ? 1 : 0;
            if (!entry.guard->admits(item, now)) {
                result.healthyRefusals += !repeatable && !sick ? 1 : 0;
                continue;
            }
            const bool failed = random(1000) < (sick ? 850U : 12U);
            entry.guard->recordStart(item, now);
            entry.guard->recordOutcome(item.id, failed, now + milliseconds(1));
            result.unrepeatable += repeatable ? 0 : 1;
            result.failed += !repeatable && failed ? 1 : 0;
            break;
        }
    }
    return result;
}

} // namespace

Test(failure_guard, keeps_unrepeatable_work_away_after_one_failure)
{
    const auto guard = makeGuard();
    state::time_point now = Start;
    for (std::uint64_t i = 0; i < 10; ++i) {
        now += milliseconds(200);
        runOne(*guard, i, false, now);
    }
    const guarded_item unrepeatable{idOf(100), false};
    cr_assert(guard->admits(unrepeatable, now));
    now += milliseconds(200);
    runOne(*guard, 11, true, now);
    cr_assert(not(guard->admits(unrepeatable, now + milliseconds(1))));
    const guarded_item insisted{idOf(101), false, MaxAcceptedRisk};
    cr_assert(guard->admits(insisted, now + milliseconds(1)));
}

Test(failure_guard, lets_repeatable_work_in_one_at_a_time_as_a_trial)
{
    const auto guard = makeGuard();
    for (std::uint64_t i = 0; i < 3; ++i) {
        runOne(*guard, i, true, Start);
    }
    const guarded_item trial{idOf(10), true};
    cr_assert(not(guard->admits(trial, Start))); // surely sick
    const state::time_point later = Start + milliseconds(1500);
    cr_assert(guard->admits(trial, later));
    guard->recordStart(trial, later);
    cr_assert(not(guard->admits({idOf(11), true}, later)));
    guard->recordOutcome(trial.id, false, later + milliseconds(200));
    cr_assert(guard->admits({idOf(11), true}, later + milliseconds(200)));
}

Test(failure_guard, trusts_a_recovered_worker_after_a_few_successes)
{
    const auto guard = makeGuard();
    runOne(*guard, 0, true, Start);
    runOne(*guard, 1, true, Start);
    for (std::uint64_t i = 2; i < 6; ++i) {
        runOne(*guard, i, false, Start + seconds(2));
    }
    cr_assert(guard->admits({idOf(10), false}, Start + seconds(2)));
}

Test(failure_guard, each_refusal_makes_a_request_take_more_risk)
{
    const auto guard = makeGuard(); // nothing is known of its worker: most are well
    cr_assert(guard->admits({idOf(1), false, acceptedRisk(0)}, Start));
    runOne(*guard, 2, true, Start);
    const state::time_point later = Start + seconds(3);
    cr_assert(not(guard->admits({idOf(3), false, acceptedRisk(0)}, later)));
    cr_assert(not(guard->admits({idOf(3), false, acceptedRisk(1)}, later)));
    cr_assert(guard->admits({idOf(3), false, acceptedRisk(2)}, later));
    for (std::size_t refusals = 0; refusals < 10; ++refusals) {
        cr_assert(acceptedRisk(refusals) <= acceptedRisk(refusals + 1));
        cr_assert(acceptedRisk(refusals) < TrialLimit);
    }
}

Test(failure_guard, frees_the_trial_of_work_that_told_nothing)
{
    const auto guard = makeGuard();
    runOne(*guard, 0, true, Start);
    const state::time_point later = Start + seconds(4); // the failure is half forgotten
    const guarded_item trial{idOf(1), true};
    guard->recordStart(trial, later);
    guard->recordStart({idOf(2), true}, later);
    cr_assert(not(guard->admits({idOf(3), true}, later)));
    guard->discardAttempt(trial.id);
    cr_assert(guard->admits({idOf(3), true}, later));
}

// Work that was running when the worker fell sick ends well and must not clear it.
Test(failure_guard, learns_nothing_from_successes_that_began_before_the_failure)
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

Test(failure_guard, fails_a_third_of_the_baselines_unrepeatable_work_at_most)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const replay_result open = replayGrayWorkers("off", seed);
        const replay_result guarded = replayGrayWorkers("belief", seed);
        const double openShare = static_cast<double>(open.failed) / static_cast<double>(open.unrepeatable);
        const double share = static_cast<double>(guarded.failed) / static_cast<double>(guarded.unrepeatable);
        cr_log_info("seed %lu: failed %.3f, baseline %.3f, healthy refused %.3f",
                    static_cast<unsigned long>(seed),
                    share,
                    openShare,
                    static_cast<double>(guarded.healthyRefusals) / static_cast<double>(guarded.healthyOffers));
        cr_assert(share * 3.0 <= openShare, "seed %lu: %.3f against %.3f", static_cast<unsigned long>(seed), share, openShare);
        cr_assert(static_cast<double>(guarded.healthyRefusals) <= 0.25 * static_cast<double>(guarded.healthyOffers));
    }
}

// At a crest each refusal costs a place in a queue. A third of the workers is sick at a time, so that a guard that knows
// all of them would need 1.5 placements.
Test(failure_guard, lets_work_in_after_few_placements)
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        const replay_result guarded = replayGrayWorkers("belief", seed);
        const double placements = static_cast<double>(guarded.placements) / static_cast<double>(guarded.unrepeatable);
        cr_assert(placements <= 1.8, "seed %lu: %.2f placements", static_cast<unsigned long>(seed), placements);
    }
}

Test(failure_guard, is_made_by_name)
{
    cr_assert(not(makeFailureGuard("unknown").ok()));
    cr_assert(makeGuard("off")->risk(Start) < 0.0);
}
