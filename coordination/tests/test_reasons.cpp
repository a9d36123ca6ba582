// Tests of coordination/reasons.h.
#include <dandelionstall/coordination/reasons.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <array>

using namespace dandelionstall::coordination;

Test(reasons, combined_state_is_not_run_only_when_no_attempt_ran)
{
    constexpr std::array States{run_state::not_run, run_state::unknown, run_state::ran};
    for (const run_state a : States) {
        for (const run_state b : States) {
            const bool neitherRan = a == run_state::not_run && b == run_state::not_run;
            const bool combinedNotRun = combineRunStates(a, b) == run_state::not_run;
            cr_assert(combinedNotRun == neitherRan);
            cr_assert(combineRunStates(a, b) == combineRunStates(b, a));
        }
    }
    cr_assert(combineRunStates(run_state::unknown, run_state::ran) == run_state::ran);
}

Test(reasons, refusal_names_parse_to_the_same_reason)
{
    for (int i = 0; i <= static_cast<int>(refusal_reason::unknown_outcome); ++i) {
        const auto reason = static_cast<refusal_reason>(i);
        cr_assert(parseRefusalReason(reasonName(reason)) == reason);
    }
    cr_assert(parseRefusalReason("fenced") == refusal_reason::none);
}
