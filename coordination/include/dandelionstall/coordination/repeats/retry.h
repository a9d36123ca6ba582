// Decides whether a failed request is retried. Does no I/O and reads no clock; used from one thread.
//
// Every policy keeps this rule: non-idempotent work is retried only when the failed attempt is proven not to have run.
// The retry allowance of a pool is not kept here but beside its workers, see repeat_budget.h.
#pragma once

#include <dandelionstall/coordination/reasons.h>
#include <dandelionstall/state/tables.h>

#include <memory>

namespace dandelionstall::coordination {

// An attempt that ended without an answer for the caller.
struct failed_attempt {
    retry_reason retryReason = retry_reason::none; // how the attempt failed
    refusal_reason refusal = refusal_reason::none; // reason stated by the sidecar; none when it did not refuse
    run_state run = run_state::unknown;            // whether the attempt was run
    bool idempotent = false;                       // the route is idempotent and the request has no ticket: it may run more than once
    bool answerStarted = false;                    // part of an answer has been sent to the caller
    std::uint32_t attempts = 1;                    // attempts of the request so far, including this one
    std::uint32_t arrivals = 0;                    // attempts of the request that may have reached a worker
    std::uint32_t maxArrivals = 3;                 // limit of the route for arrivals
    bool hasAllowance = false;                     // the pool has a retry allowance: its sidecars refuse repeats beyond it
    std::uint32_t budgetRefusals = 0;              // attempts that sidecars refused because of the allowance, including this one
    state::time_point deadline;                    // deadline of the request
    state::time_point retryAt;                     // time stated in the refusal for a retry by the caller; epoch when it stated none
    std::chrono::microseconds expectedCost{0};     // expected run time of another attempt
};

struct retry_verdict {
    bool retry = false;                            // true: make another attempt immediately, at another worker
    refusal_reason refusal = refusal_reason::none; // reason sent to the caller when retry is false
    state::time_point retryAt;                     // time from which the caller may retry when retry is false
};

class retry_policy
{
public:
    virtual ~retry_policy() = default;

    virtual void recordRequest(state::time_point now) = 0;                                  // counts a new request of a caller (not its retries)
    virtual retry_verdict decide(const failed_attempt &failure, state::time_point now) = 0; // consumes retry budget when it grants the retry
};

// Policy names: "budgeted" (default), "fixed_count" (baseline for comparison, three attempts).
absl::StatusOr<std::unique_ptr<retry_policy>> makeRetryPolicy(std::string_view name, std::uint64_t seed);

} // namespace dandelionstall::coordination
