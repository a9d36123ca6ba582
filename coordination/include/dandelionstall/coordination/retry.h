// Decides whether a request gets another attempt. Pure; used from one thread.
//
// The rule that no policy may break: non-idempotent work is tried again only when the failed attempt is proven not run.
#pragma once

#include <dandelionstall/coordination/reasons.h>
#include <dandelionstall/state/tables.h>

#include <memory>

namespace dandelionstall::coordination {

// What is known when an attempt has ended without an answer for the caller.
struct failed_attempt {
    retry_reason retryReason = retry_reason::none; // what happened
    refusal_reason refusal = refusal_reason::none; // the sidecar's reason, when it refused
    run_state run = run_state::unknown;            // whether the work was started
    bool idempotent = false;                       // of the route
    bool answerStarted = false;                    // bytes of an answer have gone to the caller
    std::uint32_t attempts = 1;                    // attempts made so far, this one included
    std::uint32_t arrivals = 0;                    // those that may have reached a worker
    std::uint32_t maxArrivals = 3;                 // of the route
    state::retry_allowance allowance;              // of the pool, over all nodes
    std::uint32_t nodes = 1;                       // nodes that share the allowance
    state::time_point deadline;                    // of the request
    state::time_point retryAt;                     // when the refuser said to come back; epoch when it did not
    std::chrono::microseconds expectedCost{0};     // of one more attempt
};

struct retry_verdict {
    bool retry = false;                            // true: make another attempt at once, at another worker
    refusal_reason refusal = refusal_reason::none; // otherwise: what the caller is told
    state::time_point retryAt;                     // otherwise: when the caller should come back
};

class retry_policy
{
public:
    virtual ~retry_policy() = default;

    virtual void recordRequest(state::time_point now) = 0;                                  // a request from a caller, first attempt
    virtual retry_verdict decide(const failed_attempt &failure, state::time_point now) = 0; // spends budget when it says again
};

// Names: "budgeted" (chosen), "fixed_count" (baseline, three attempts).
// startedAt: of this node. An earlier life of it may have used its part of an allowance just before.
absl::StatusOr<std::unique_ptr<retry_policy>> makeRetryPolicy(std::string_view name, std::uint64_t seed, state::time_point startedAt = {});

} // namespace dandelionstall::coordination
