// Tests of coordination/answer_times.h.
#include <dandelionstall/coordination/answer_times.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point Start{1h};
constexpr std::uint64_t Seed = 20'261'203;

answer_times makeTimes(std::chrono::milliseconds typical)
{
    answer_times times;
    pcg32 random(Seed);
    for (int i = 0; i < 400; ++i) {
        times.noteAnswer("lookup", typical * (800 + random(400)) / 1000);
    }
    return times;
}

} // namespace

Test(answer_times, learns_a_high_quantile_and_follows_changes)
{
    answer_times times = makeTimes(270ms);
    cr_assert(times.usual("lookup") > 260ms && times.usual("lookup") < 400ms);
    for (int i = 0; i < 100; ++i) {
        times.noteAnswer("lookup", 1000ms);
    }
    cr_assert(times.usual("lookup") > 800ms); // all have become slow: nobody is late
}

Test(answer_times, an_attempt_is_late_after_a_few_usual_times)
{
    const answer_times times = makeTimes(270ms);
    const state::time_point late = times.lateAt({"lookup", Start, Start + 3s, 0us, 0us});
    cr_assert(late > Start + 600ms && late < Start + 1200ms);
    const state::time_point behindQueue = times.lateAt({"lookup", Start, Start + 3s, 400ms, 0us});
    cr_assert(behindQueue == late + 400ms);
}

Test(answer_times, says_nothing_without_experience_or_time_for_another_attempt)
{
    const answer_times times = makeTimes(270ms);
    cr_assert(times.lateAt({"other", Start, Start + 3s, 0us, 0us}) == state::time_point::max());
    cr_assert(times.lateAt({"lookup", Start, Start + 1s, 0us, 0us}) == state::time_point::max());
}

Test(answer_times, begins_with_what_the_worker_reports)
{
    const answer_times times;
    const state::time_point late = times.lateAt({"lookup", Start, Start + 3s, 0us, 100ms});
    cr_assert(late > Start + 300ms && late < Start + 1s);
}

// A route whose first answers were far quicker: what is given up would have taken longer, and must be learned from.
Test(answer_times, learns_from_what_is_given_up)
{
    answer_times times;
    for (int i = 0; i < 30; ++i) {
        times.noteAnswer("lookup", 1ms);
    }
    int givenUp = 0;
    for (int i = 0; i < 500; ++i) {
        const auto patience = times.lateAt({"lookup", Start, Start + 2s, 0us, 0us}) - Start;
        givenUp += patience < 60ms ? 1 : 0;
        times.noteAnswer("lookup", std::min<state::duration>(patience, 60ms));
    }
    cr_assert(givenUp < 25, "%d", givenUp);
    cr_assert(makeTimes(10ms).lateAt({"lookup", Start, Start + 2s, 0us, 200ms}) > Start + 400ms, "the worker reports long work");
}

Test(answer_times, what_is_late_leaves_time_for_another_attempt)
{
    cr_assert(rc::check("late", [] {
        const auto typical = std::chrono::milliseconds(*rc::gen::inRange(1, 2000));
        const auto budget = std::chrono::milliseconds(*rc::gen::inRange(1, 10000));
        const answer_times times = makeTimes(typical);
        const state::time_point late = times.lateAt({"lookup", Start, Start + budget, 0us, 0us});
        RC_ASSERT(late == state::time_point::max() || late + times.usual("lookup") <= Start + budget);
    }));
}

// Five workers, one of which hangs on a third of its work: replays a minute of lookups of 10 ms with a deadline of 1 s.
Test(answer_times, hanging_work_is_answered_by_another_worker)
{
    answer_times times;
    pcg32 random(Seed);
    std::exponential_distribution<double> spread(1.0);
    std::uint32_t unanswered = 0;
    std::uint32_t lost = 0; // with nobody who gives up
    constexpr std::uint32_t Requests = 4800;
    for (std::uint32_t i = 0; i < Requests; ++i) {
        const bool hangs = random(5) == 0 && random(3) == 0;
        if (!hangs) {
            times.noteAnswer("lookup", std::chrono::microseconds(static_cast<std::int64_t>(10'000 + 5'000 * spread(random))));
            continue;
        }
        ++lost;
        const bool hangsAgain = random(15) == 0;
        const bool given = times.lateAt({"lookup", Start, Start + 1s, 0us, 0us}) < Start + 1s;
        unanswered += !given || hangsAgain ? 1 : 0;
    }
    cr_assert(lost > 200);
    cr_assert(unanswered * 5 < lost, "%u of %u", unanswered, lost);
}
