// Decides at the node that owns a worker's slots whether an attempt may be sent to a worker that may be unhealthy. Does no
// I/O and reads no clock; used from one thread.
//
// A worker with a gray failure answers probes but fails most of its work. Each failure is quick, so that the worker looks
// idle and attracts more work. The sidecar is the first to see every outcome. Its guard estimates the probability that the
// worker is unhealthy, updates the estimate with each outcome, and lets it drift back to the long-run average while there
// are no outcomes. Non-idempotent work is admitted only while the estimate is low. Idempotent work is also admitted at a
// higher estimate, one or two attempts at a time as a trial, so that the recovery of a worker is detected soon.
//
// A refusal by the guard costs nothing: nothing was run, and the ingress tries the next worker immediately. Each refusal
// indicates that workers of low risk are scarce, so that the request accepts a higher risk at the next worker. When all
// tried workers have refused, the ingress retries at the worker of lowest risk and accepts any risk.
//
// Index:
//   [SECTION] Guard
//   [SECTION] Risk
#pragma once

#include <dandelionstall/coordination/health/pool_view.h>

#include <memory>
#include <string_view>

namespace dandelionstall::coordination {

// [SECTION] Guard

struct guarded_item {
    state::attempt_id id;
    bool idempotent = false;   // the route is idempotent and the request has no ticket: it may run more than once
    double acceptedRisk = 0.0; // highest probability of an unhealthy worker that the request accepts, 0..1
};

class failure_guard
{
public:
    virtual ~failure_guard() = default;

    virtual bool admits(const guarded_item &item, state::time_point now) const = 0;                  // false: the item must be refused and has not run
    virtual void recordStart(const guarded_item &item, state::time_point now) = 0;                   // the item is sent to the worker
    virtual void recordOutcome(const state::attempt_id &id, bool failed, state::time_point now) = 0; // outcome of an item that the worker processed
    virtual void discardAttempt(const state::attempt_id &id) = 0; // the item ended without an outcome that says anything about the worker
    virtual double risk(state::time_point now) const = 0;         // probability that the worker is unhealthy, 0..1; negative when not estimated
};

// Guard names: "belief" (default), "off" (baseline for comparison: admits everything).
absl::StatusOr<std::unique_ptr<failure_guard>> makeFailureGuard(std::string_view name);

// [SECTION] Risk

// The risk estimate after `age` without outcomes: drifts towards the long-run average. Negative values are returned unchanged.
double driftRisk(double risk, state::duration age);

// The risk that a request accepts after failure guards have refused it `refusals` times, 0..1.
double acceptedRisk(std::size_t refusals);

// The risk in the worker's last report, drifted by the age of the report. 0 when there is no report.
double currentRisk(const worker_view &worker, state::time_point now);

inline constexpr double MaxAcceptedRisk = 1.0; // accepted risk when all tried workers have refused
inline constexpr double TrialRiskLimit = 0.85; // above this risk, trials are refused as well
inline constexpr double LowRiskLimit = 0.3;    // non-idempotent work goes to workers up to this risk while there are any

} // namespace dandelionstall::coordination
