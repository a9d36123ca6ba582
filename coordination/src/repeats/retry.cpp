#include <dandelionstall/coordination/repeats/retry.h>

#include <dandelionstall/coordination/errors.h>

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

constexpr std::uint32_t MaxArrivals = 4;        // attempts of one request that may reach a worker: enough when half of the workers are unhealthy
constexpr std::uint32_t BaselineAttempts = 3;   // attempts of one request under fixed_count
constexpr std::uint32_t MaxPlacements = 12;     // attempts of one request, including refused ones
constexpr std::uint32_t MaxBudgetRefusals = 8;  // sidecars that are asked for a repeat within their part of a retry allowance
constexpr double RefusalTokensPerRequest = 0.1; // retries after refusals: refusals are a sign of load, so that retries must be few
constexpr double FailureTokensPerRequest = 0.5; // retries after failures of one worker or path: another worker can do the work
constexpr double TokensPerSecond = 0.5;         // refill rate that lets a node with few requests retry as well
constexpr double MaxRefusalTokens = 10.0;
constexpr double MaxFailureTokens = 50.0;
constexpr std::chrono::milliseconds MinRetryDelay{500};
constexpr std::uint32_t RetrySpreadMs = 1000;

// True for refusals that another worker would make as well, and for those that a retry must not circumvent.
bool isFinal(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_route:
    case refusal_reason::bad_request:
    case refusal_reason::body_too_large:
    case refusal_reason::caller_limit:
    case refusal_reason::organisation_limit:
    case refusal_reason::retry_budget_empty:
    case refusal_reason::cancelled:
    case refusal_reason::not_ready:
        return true;
    default:
        return false;
    }
}

// A refusal as duplicate_attempt does not prove that the first attempt with this id or ticket was not run.
bool isProvenNotRun(const failed_attempt &failure)
{
    return failure.run == run_state::not_run && failure.refusal != refusal_reason::duplicate_attempt && failure.refusal != refusal_reason::unknown_outcome;
}

bool isSafe(const failed_attempt &failure)
{
    return !failure.answerStarted && (failure.idempotent || isProvenNotRun(failure));
}

// A sidecar refuses a repeat when its own part of the allowance is used up; another one may have some left.
bool mayAskForBudgetAgain(const failed_attempt &failure)
{
    return failure.hasAllowance && failure.refusal == refusal_reason::retry_budget_empty && failure.budgetRefusals < MaxBudgetRefusals;
}

bool hasAttemptsLeft(const failed_attempt &failure)
{
    const std::uint32_t arrivalLimit = failure.hasAllowance ? failure.maxArrivals : std::min(MaxArrivals, failure.maxArrivals);
    return failure.attempts < MaxPlacements && failure.arrivals < arrivalLimit;
}

// The reason sent to the caller; derived from the kind of failure when no refusal reason was stated.
refusal_reason reasonOf(const failed_attempt &failure)
{
    if (failure.refusal != refusal_reason::none) {
        return failure.refusal;
    }
    return failure.retryReason == retry_reason::worker_refused ? refusal_reason::worker_shed : refusal_reason::path_down;
}

retry_verdict grantRetry()
{
    retry_verdict verdict;
    verdict.retry = true;
    return verdict;
}

class retry_base : public retry_policy
{
public:
    explicit retry_base(std::uint64_t seed)
        : m_random(seed)
    { }

    retry_verdict decide(const failed_attempt &failure, state::time_point now) override
    {
        const bool refusedFinally = isFinal(failure.refusal) && !mayAskForBudgetAgain(failure);
        if (!isSafe(failure) || refusedFinally || !hasAttemptsLeft(failure) || now >= failure.deadline) {
            return giveUp(failure, reasonOf(failure), now);
        }
        return decideSafe(failure, now);
    }

protected:
    virtual retry_verdict decideSafe(const failed_attempt &failure, state::time_point now) = 0; // decides for attempts that are safe to repeat

    // Reports the refusal reason only when the attempt is proven not to have run, otherwise unknown_outcome.
    retry_verdict giveUp(const failed_attempt &failure, refusal_reason reason, state::time_point now)
    {
        const bool proven = isProvenNotRun(failure) && !failure.answerStarted;
        return {.retry = false, .refusal = proven ? reason : refusal_reason::unknown_outcome, .retryAt = retryTime(failure, now)};
    }

private:
    state::time_point retryTime(const failed_attempt &failure, state::time_point now)
    {
        return failure.retryAt > now ? failure.retryAt : now + MinRetryDelay + std::chrono::milliseconds(m_random(RetrySpreadMs));
    }

    pcg32 m_random;
};

// Baseline for comparison: a fixed number of attempts, regardless of load.
class fixed_count final : public retry_base
{
public:
    using retry_base::retry_base;

    void recordRequest(state::time_point) override
    { }

protected:
    retry_verdict decideSafe(const failed_attempt &failure, state::time_point now) override
    {
        return failure.attempts < BaselineAttempts ? grantRetry() : giveUp(failure, reasonOf(failure), now);
    }
};

// Token bucket that each request refills by a fixed amount, so that retries stay within a share of the requests.
class token_bucket
{
public:
    token_bucket(double perRequest, double maxTokens)
        : m_perRequest(perRequest)
        , m_maxTokens(maxTokens)
        , m_tokens(maxTokens)
    { }

    void recordRequest(state::time_point now)
    {
        refill(now);
        m_tokens = std::min(m_maxTokens, m_tokens + m_perRequest);
    }

    bool tryConsume(state::time_point now)
    {
        refill(now);
        if (m_tokens < 1.0) {
            return false;
        }
        m_tokens -= 1.0;
        return true;
    }

private:
    void refill(state::time_point now)
    {
        if (m_refilledAt != state::time_point{} && now > m_refilledAt) {
            m_tokens = std::min(m_maxTokens, m_tokens + std::chrono::duration<double>(now - m_refilledAt).count() * TokensPerSecond);
        }
        m_refilledAt = std::max(m_refilledAt, now);
    }

    double m_perRequest;
    double m_maxTokens;
    double m_tokens;
    state::time_point m_refilledAt; // epoch before the first refill
};

// A refusal by a sidecar is a sign of load. The other kinds are faults of one worker or path. That includes a refusal by
// the worker itself, since its sidecar sends it no more work than it has slots.
bool isRefusal(retry_reason reason)
{
    return reason == retry_reason::refused || reason == retry_reason::none;
}

// Retries after refusals and retries after failures have separate token buckets: a fault must not use up the budget for
// refusals, and overload must not prevent a retry at a healthy worker.
class budgeted final : public retry_base
{
public:
    using retry_base::retry_base;

    void recordRequest(state::time_point now) override
    {
        m_refusalTokens.recordRequest(now);
        m_failureTokens.recordRequest(now);
    }

protected:
    retry_verdict decideSafe(const failed_attempt &failure, state::time_point now) override
    {
        if (now + failure.expectedCost >= failure.deadline) {
            return giveUp(failure, refusal_reason::deadline_unreachable, now);
        }
        // A refusal by a failure guard or within a worker's rate limit concerns one worker, and nothing was run.
        if (failure.refusal == refusal_reason::worker_at_risk || failure.refusal == refusal_reason::worker_limited) {
            return grantRetry();
        }
        if (failure.hasAllowance) {
            return grantRetry();
        }
        token_bucket &bucket = isRefusal(failure.retryReason) ? m_refusalTokens : m_failureTokens;
        return bucket.tryConsume(now) ? grantRetry() : giveUp(failure, refusal_reason::retry_budget_empty, now);
    }

private:
    token_bucket m_refusalTokens{RefusalTokensPerRequest, MaxRefusalTokens};
    token_bucket m_failureTokens{FailureTokensPerRequest, MaxFailureTokens};
};

} // namespace

absl::StatusOr<std::unique_ptr<retry_policy>> makeRetryPolicy(std::string_view name, std::uint64_t seed)
{
    if (name == "budgeted") {
        return std::make_unique<budgeted>(seed);
    }
    if (name == "fixed_count") {
        return std::make_unique<fixed_count>(seed);
    }
    return makeError(coordination_error::unknown_policy, fmt::format("unknown retry policy \"{}\"", name));
}

} // namespace dandelionstall::coordination
