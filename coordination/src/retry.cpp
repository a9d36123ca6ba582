#include <dandelionstall/coordination/retry.h>

#include <dandelionstall/coordination/errors.h>

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <algorithm>
#include <deque>

namespace dandelionstall::coordination {

namespace {

constexpr std::uint32_t MaxArrivals = 4; // at workers, of one request: half of them may be sick
constexpr std::uint32_t BaselineAttempts = 3;
constexpr std::uint32_t MaxPlacements = 12;     // of one request, refused ones included
constexpr double AllowanceShare = 0.85;         // of a stated allowance, for all repeats
constexpr double RerunShare = 0.5;              // of it, for repeats of work that ran: these repeat their own calls to other pools too
constexpr double RefusalTokensPerRequest = 0.1; // refusals mean load: retries must stay few
constexpr double FailureTokensPerRequest = 0.5; // failures of one worker or path: another one can do the work
constexpr double TokensPerSecond = 0.5;         // lets a node that sees few requests retry too
constexpr double MaxRefusalTokens = 10.0;
constexpr double MaxFailureTokens = 50.0;
constexpr std::chrono::milliseconds MinRetryDelay{500};
constexpr std::uint32_t RetrySpreadMs = 1000;

// Refusals that another worker would repeat or must not undo.
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

// An attempt that was refused as a duplicate says nothing about the first one.
bool isProvenNotRun(const failed_attempt &failure)
{
    return failure.run == run_state::not_run && failure.refusal != refusal_reason::duplicate_attempt && failure.refusal != refusal_reason::unknown_outcome;
}

bool isSafe(const failed_attempt &failure)
{
    return !failure.answerStarted && (failure.idempotent || isProvenNotRun(failure));
}

bool isShared(const failed_attempt &failure)
{
    return failure.allowance.extraPerWindow > 0.0;
}

bool hasAttemptsLeft(const failed_attempt &failure)
{
    const std::uint32_t mostArrivals = isShared(failure) ? failure.maxArrivals : std::min(MaxArrivals, failure.maxArrivals);
    return failure.attempts < MaxPlacements && failure.arrivals < mostArrivals;
}

// What to tell the caller when the refuser gave no reason.
refusal_reason reasonOf(const failed_attempt &failure)
{
    if (failure.refusal != refusal_reason::none) {
        return failure.refusal;
    }
    return failure.retryReason == retry_reason::worker_refused ? refusal_reason::worker_shed : refusal_reason::path_down;
}

retry_verdict tryAgain()
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
        if (!isSafe(failure) || isFinal(failure.refusal) || !hasAttemptsLeft(failure) || now >= failure.deadline) {
            return giveUp(failure, reasonOf(failure), now);
        }
        return decideSafe(failure, now);
    }

protected:
    virtual retry_verdict decideSafe(const failed_attempt &failure, state::time_point now) = 0; // another attempt would do no harm

    // "Was not run" is said only with proof.
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

// The baseline: a fixed number of attempts, whatever the load.
class fixed_count final : public retry_base
{
public:
    using retry_base::retry_base;

    void recordRequest(state::time_point) override
    { }

protected:
    retry_verdict decideSafe(const failed_attempt &failure, state::time_point now) override
    {
        return failure.attempts < BaselineAttempts ? tryAgain() : giveUp(failure, reasonOf(failure), now);
    }
};

// Tokens that fill with the requests seen, so that what is paid from them stays a share of the requests.
class token_bucket
{
public:
    token_bucket(double perRequest, double maxTokens)
        : m_perRequest(perRequest)
        , m_maxTokens(maxTokens)
        , m_tokens(maxTokens)
    { }

    void noteRequest(state::time_point now)
    {
        refill(now);
        m_tokens = std::min(m_maxTokens, m_tokens + m_perRequest);
    }

    bool take(state::time_point now)
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
    state::time_point m_refilledAt; // epoch before the first call
};

// Counts requests and repeats of the last window; a repeat is granted while it stays within share and extra.
class window_budget
{
public:
    explicit window_budget(state::time_point startedAt)
        : m_startedAt(startedAt)
    { }

    void noteRequest(state::time_point now)
    {
        m_requests.push_back(now);
        if (m_requests.size() > MaxRemembered) {
            m_requests.pop_front();
        }
    }

    // A node uses the share of its own requests and its part of the extra repeats.
    bool take(const state::retry_allowance &allowance, std::uint32_t nodes, bool rerun, state::time_point now)
    {
        for (std::deque<state::time_point> *times : {&m_requests, &m_repeats, &m_reruns}) {
            forget(*times, now - allowance.window);
        }
        const bool isNew = now < m_startedAt + allowance.window; // an earlier life may have used the part in this window
        const double part = isNew ? 0.0 : std::max(allowance.extraPerWindow / std::max(1U, nodes), 1.0 / AllowanceShare);
        const double allowed = allowance.share * static_cast<double>(m_requests.size()) + part;
        if (static_cast<double>(m_repeats.size()) + 1.0 > AllowanceShare * allowed) {
            return false;
        }
        if (rerun && static_cast<double>(m_reruns.size()) + 1.0 > std::max(1.0, RerunShare * allowed)) {
            return false;
        }
        m_repeats.push_back(now);
        if (rerun) {
            m_reruns.push_back(now);
        }
        return true;
    }

private:
    static constexpr std::size_t MaxRemembered = 4096;

    static void forget(std::deque<state::time_point> &times, state::time_point before)
    {
        while (!times.empty() && times.front() < before) {
            times.pop_front();
        }
    }

    state::time_point m_startedAt; // of this life of the node
    std::deque<state::time_point> m_requests;
    std::deque<state::time_point> m_repeats;
    std::deque<state::time_point> m_reruns; // of them, those of work that ran
};

// A sidecar's refusal is a sign of load. The other kinds are faults of one worker or path; so is a worker's own refusal,
// since its sidecar sends it no more than its slots hold.
bool isRefusal(retry_reason kind)
{
    return kind == retry_reason::refused || kind == retry_reason::none;
}

// Attempts after refusals and attempts after failures are paid from buckets of their own: a fault must not use up what
// overload may spend, and overload must not keep a request from a healthy worker.
class budgeted final : public retry_base
{
public:
    budgeted(std::uint64_t seed, state::time_point startedAt)
        : retry_base(seed)
        , m_shared(startedAt)
    { }

    void recordRequest(state::time_point now) override
    {
        m_shared.noteRequest(now);
        m_refusals.noteRequest(now);
        m_failures.noteRequest(now);
    }

protected:
    retry_verdict decideSafe(const failed_attempt &failure, state::time_point now) override
    {
        if (now + failure.expectedCost >= failure.deadline) {
            return giveUp(failure, refusal_reason::deadline_unreachable, now);
        }
        if (failure.refusal == refusal_reason::worker_at_risk) {
            return tryAgain(); // a guard's refusal is no sign of load, and nothing was run
        }
        if (isShared(failure)) {
            return decideShared(failure, now);
        }
        token_bucket &bucket = isRefusal(failure.retryReason) ? m_refusals : m_failures;
        return bucket.take(now) ? tryAgain() : giveUp(failure, refusal_reason::retry_budget_empty, now);
    }

private:
    // A node uses the share of its own requests and its part of the extra repeats. What no worker has seen is free.
    retry_verdict decideShared(const failed_attempt &failure, state::time_point now)
    {
        const bool arrived
            = !isRefusal(failure.retryReason) && failure.retryReason != retry_reason::connect_failed && failure.retryReason != retry_reason::stream_refused;
        if (!arrived) {
            return tryAgain();
        }
        const bool rerun = failure.run != run_state::not_run;
        return m_shared.take(failure.allowance, failure.nodes, rerun, now) ? tryAgain() : giveUp(failure, refusal_reason::retry_budget_empty, now);
    }

    window_budget m_shared;
    token_bucket m_refusals{RefusalTokensPerRequest, MaxRefusalTokens};
    token_bucket m_failures{FailureTokensPerRequest, MaxFailureTokens};
};

} // namespace

absl::StatusOr<std::unique_ptr<retry_policy>> makeRetryPolicy(std::string_view name, std::uint64_t seed, state::time_point startedAt)
{
    if (name == "budgeted") {
        return std::make_unique<budgeted>(seed, startedAt);
    }
    if (name == "fixed_count") {
        return std::make_unique<fixed_count>(seed);
    }
    return makeError(coordination_error::unknown_policy, fmt::format("unknown retry policy \"{}\"", name));
}

} // namespace dandelionstall::coordination
