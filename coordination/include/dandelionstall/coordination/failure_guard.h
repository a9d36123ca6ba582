// Decides at the owner of a worker's slots whether work may be risked there. Pure; used from one thread.
//
// A worker with a gray failure answers probes and fails most of its work, each failure quickly, so that it looks idle and
// draws more. The sidecar sees every outcome first. Its guard keeps an estimate of the chance that the worker is sick,
// changes it with each outcome, and lets it drift back to the long-run share while nothing is known. Work that must not
// run twice is let in only while that estimate is low; work that may be repeated is let in one at a time as a trial, so
// that a worker which has recovered is soon known to have.
//
// A refusal by the guard is free: nothing was run, and the next worker is asked at once. Each one shows that trusted
// workers are scarce, so that the next may be more doubtful; when all are, the ingress asks the least doubtful one again
// and takes any risk.
//
// Index:
//   [SECTION] Guard
//   [SECTION] Risk
#pragma once

#include <dandelionstall/coordination/pool_view.h>

#include <memory>
#include <string_view>

namespace dandelionstall::coordination {

// [SECTION] Guard

struct guarded_item {
    state::attempt_id id;
    bool idempotent = false;   // it may run more than once
    double acceptedRisk = 0.0; // it takes a chance this high that the worker is sick, 0..1
};

class failure_guard
{
public:
    virtual ~failure_guard() = default;

    virtual bool admits(const guarded_item &item, state::time_point now) const = 0;                  // false: refuse it, it was not run
    virtual void recordStart(const guarded_item &item, state::time_point now) = 0;                   // it is handed to the worker
    virtual void recordOutcome(const state::attempt_id &id, bool failed, state::time_point now) = 0; // a real outcome
    virtual void discardAttempt(const state::attempt_id &id) = 0;                                    // it ended without telling anything
    virtual double risk(state::time_point now) const = 0; // chance that the worker is sick, 0..1; negative when not estimated
};

// Names: "belief" (chosen), "off" (baseline: admits everything).
absl::StatusOr<std::unique_ptr<failure_guard>> makeFailureGuard(std::string_view name);

// [SECTION] Risk

// What an estimate is worth after a while without outcomes.
double driftRisk(double risk, state::duration age);

// The risk that a request takes after guards have refused it this many times.
double acceptedRisk(std::size_t refusals);

// The risk of a worker as a node sees it: of its last report, aged. 0 when nothing was reported.
double currentRisk(const worker_view &worker, state::time_point now);

inline constexpr double MaxAcceptedRisk = 1.0;  // taken when all workers asked are doubtful
inline constexpr double TrialLimit = 0.85;      // more doubt keeps out trials too
inline constexpr double TrustedRiskLimit = 0.3; // work that must not run twice goes to workers below it while there are any

} // namespace dandelionstall::coordination
