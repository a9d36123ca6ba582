// Collects the outcomes of real work at one worker and sums them up for its report. Pure; used from one thread.
#pragma once

#include <dandelionstall/coordination/pool_view.h>

#include <memory>
#include <string>

namespace dandelionstall::coordination {

enum class work_outcome {
    answered,  // whole answer, no server error
    failed,    // server error, broken or missing answer
    timed_out, // deadline passed while it ran
    refused,   // the worker's documented refusal; no fault
};

struct outcome_sample {
    std::string route; // route name
    work_outcome outcome = work_outcome::answered;
    state::time_point startedAt;           // handed to the worker
    state::time_point endedAt;             // last byte or failure
    std::chrono::microseconds costHint{0}; // from the table; zero when unknown
};

class worker_outcome_tracker
{
public:
    virtual ~worker_outcome_tracker() = default;

    virtual void recordStart(const state::attempt_id &id, std::string_view route, state::time_point now) = 0; // for progress of running work
    virtual void recordEnd(const state::attempt_id &id, const outcome_sample &sample) = 0;
    virtual void recordProbe(bool ok, state::time_point now) = 0;                    // recorded; neither ejects nor re-admits by itself
    virtual void recordPause(state::time_point now) = 0;                             // the process slept: what was measured across the gap is dropped
    virtual void fillReport(worker_report &report, state::time_point now) const = 0; // sets the evidence fields
};

std::unique_ptr<worker_outcome_tracker> makeWorkerOutcomeTracker();

} // namespace dandelionstall::coordination
