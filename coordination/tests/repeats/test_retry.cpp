// Tests of coordination/repeats/retry.h.
#include <dandelionstall/coordination/repeats/retry.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point Start{1h};
constexpr std::uint64_t Seed = 20'261'203;

std::unique_ptr<retry_policy> makePolicy(std::string_view name)
{
    return *makeRetryPolicy(name, Seed);
}

failed_attempt makeRefused()
{
    failed_attempt failure;
    failure.retryReason = retry_reason::refused;
    failure.refusal = refusal_reason::low_worth;
    failure.run = run_state::not_run;
    failure.deadline = Start + 1s;
    return failure;
}

failed_attempt randomFailure()
{
    failed_attempt failure;
    failure.retryReason = static_cast<retry_reason>(*rc::gen::inRange(0, 8));
    failure.refusal = static_cast<refusal_reason>(*rc::gen::inRange(0, 22));
    failure.run = *rc::gen::element(run_state::not_run, run_state::ran, run_state::unknown);
    failure.idempotent = *rc::gen::arbitrary<bool>();
    failure.answerStarted = *rc::gen::arbitrary<bool>();
    failure.attempts = *rc::gen::inRange<std::uint32_t>(1, 5);
    failure.deadline = Start + std::chrono::milliseconds(*rc::gen::inRange(-100, 1000));
    failure.retryAt = *rc::gen::element(state::time_point{}, Start + 3s);
    failure.expectedCost = std::chrono::milliseconds(*rc::gen::inRange(0, 500));
    return failure;
}

} // namespace

Test(retry, rejects_an_unknown_policy_name)
{
    cr_assert(not(makeRetryPolicy("always", Seed).ok()));
}

Test(retry, never_retries_non_idempotent_work_without_proof_that_it_was_not_run)
{
    for (const std::string_view name : {"fixed_count", "budgeted"}) {
        cr_assert(rc::check(std::string(name), [name] {
            const failed_attempt failure = randomFailure();
            const retry_verdict verdict = makePolicy(name)->decide(failure, Start);
            RC_ASSERT(!verdict.retry || failure.idempotent || failure.run == run_state::not_run);
            RC_ASSERT(!verdict.retry || (!failure.answerStarted && failure.deadline > Start));
            RC_ASSERT(verdict.retry || verdict.refusal != refusal_reason::none);
            RC_ASSERT(verdict.retry || failure.run == run_state::not_run || verdict.refusal == refusal_reason::unknown_outcome);
            RC_ASSERT(verdict.retry || verdict.retryAt > Start);
            RC_ASSERT(verdict.retry || failure.retryAt <= Start || verdict.retryAt == failure.retryAt);
        }));
    }
}

Test(retry, gives_up_when_the_deadline_cannot_be_met)
{
    failed_attempt failure = makeRefused();
    failure.expectedCost = 1s;
    cr_assert(makePolicy("budgeted")->decide(failure, Start).refusal == refusal_reason::deadline_unreachable);
}

Test(retry, reports_an_unknown_outcome_after_a_duplicate_refusal)
{
    failed_attempt failure = makeRefused();
    failure.refusal = refusal_reason::duplicate_attempt;
    const auto verdict = makePolicy("budgeted")->decide(failure, Start);
    cr_assert(not(verdict.retry));
    cr_assert(verdict.refusal == refusal_reason::unknown_outcome);
}

// The bounds stated in docs/design/admission.md: 10 + a tenth of the requests after refusals, 50 + half of the requests
// after failures, and in both cases one more retry per two seconds.
Test(retry, stays_within_its_budgets_at_all_times)
{
    cr_assert(rc::check("budget bounds", [] {
        const auto policy = makePolicy("budgeted");
        state::time_point now = Start;
        double requests = 0;
        double afterRefusals = 0;
        double afterFailures = 0;
        for (const int gapMs : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 50))) {
            now += std::chrono::milliseconds(gapMs);
            policy->recordRequest(now);
            ++requests;
            failed_attempt failure = makeRefused();
            failure.deadline = now + 1s;
            while (policy->decide(failure, now).retry) {
                ++afterRefusals;
            }
            failure.retryReason = retry_reason::path_silent;
            while (policy->decide(failure, now).retry) {
                ++afterFailures;
            }
            const double byTime = 0.5 * std::chrono::duration<double>(now - Start).count();
            RC_ASSERT(afterRefusals <= 10 + 0.1 * requests + byTime + 1e-6);
            RC_ASSERT(afterFailures <= 50 + 0.5 * requests + byTime + 1e-6);
        }
    }));
}

// Overload has used up the budget for refusals; a request whose connection became unresponsive is still retried at a
// healthy worker.
Test(retry, refusals_do_not_use_up_the_budget_for_failures)
{
    const auto policy = makePolicy("budgeted");
    failed_attempt failure = makeRefused();
    while (policy->decide(failure, Start).retry) { }
    failure.retryReason = retry_reason::path_silent;
    cr_assert(policy->decide(failure, Start).retry);
}

// With four unhealthy workers out of six, failure guards refuse most attempts. These refusals must not use up the budget
// for refusals under load.
Test(retry, refusals_by_failure_guards_consume_no_budget)
{
    const auto policy = makePolicy("budgeted");
    failed_attempt atRisk = makeRefused();
    atRisk.refusal = refusal_reason::worker_at_risk;
    for (int request = 0; request < 200; ++request) {
        for (atRisk.attempts = 1; atRisk.attempts < 5; ++atRisk.attempts) {
            cr_assert(policy->decide(atRisk, Start).retry);
        }
    }
    atRisk.attempts = 12;
    cr_assert(not(policy->decide(atRisk, Start).retry), "placements of one request are bounded");
    cr_assert(policy->decide(makeRefused(), Start).retry);
}

// ---- Pools with a retry allowance, which their sidecars keep ----

namespace {

failed_attempt makeShedAttempt(state::time_point now)
{
    failed_attempt failure;
    failure.retryReason = retry_reason::worker_refused;
    failure.refusal = refusal_reason::worker_shed;
    failure.run = run_state::not_run;
    failure.arrivals = 1;
    failure.maxArrivals = 4;
    failure.hasAllowance = true;
    failure.deadline = now + std::chrono::seconds(2);
    return failure;
}

failed_attempt makeBudgetRefusal(std::uint32_t refusals, state::time_point now)
{
    failed_attempt failure = makeShedAttempt(now);
    failure.retryReason = retry_reason::refused;
    failure.refusal = refusal_reason::retry_budget_empty;
    failure.budgetRefusals = refusals;
    return failure;
}

} // namespace

Test(retry_allowance, denies_retries_after_the_maximum_arrivals_of_the_route)
{
    const state::time_point now = state::time_point{} + std::chrono::hours(1);
    auto policy = *makeRetryPolicy("budgeted", 1);
    failed_attempt failure = makeShedAttempt(now);
    failure.arrivals = 2;
    failure.maxArrivals = 2;
    cr_assert(not(policy->decide(failure, now).retry));
}

// One sidecar has used up its part of the allowance, others may have some left. Asking all of a large pool would load it at the
// worst time.
Test(retry_allowance, a_few_sidecars_are_asked_for_a_repeat)
{
    for (const std::string_view name : {"fixed_count", "budgeted"}) {
        auto policy = makePolicy(name);
        cr_assert(policy->decide(makeBudgetRefusal(1, Start), Start).retry);
        cr_assert(policy->decide(makeBudgetRefusal(7, Start), Start).retry);
        const retry_verdict verdict = policy->decide(makeBudgetRefusal(8, Start), Start);
        cr_assert(not(verdict.retry));
        cr_assert(verdict.refusal == refusal_reason::retry_budget_empty);
    }
    failed_attempt withoutAllowance = makeBudgetRefusal(1, Start);
    withoutAllowance.hasAllowance = false;
    cr_assert(not(makePolicy("budgeted")->decide(withoutAllowance, Start).retry));
}
