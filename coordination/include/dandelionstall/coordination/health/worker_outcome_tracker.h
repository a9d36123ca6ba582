// Collects the outcomes of requests at one worker and summarises them for the worker's report. Does no I/O and reads no
// clock; used from one thread.
#pragma once

#include <dandelionstall/coordination/health/pool_view.h>

#include <memory>
#include <string>

namespace dandelionstall::coordination {

enum class work_outcome {
    answered,  // complete answer without a server error
    failed,    // server error, truncated answer or no answer
    timed_out, // the deadline passed while the request was running
    refused,   // the worker refused the request in the documented way; not counted as a fault
};

// Outcome of one request.
struct outcome_sample {
    std::string route;                             // route name
    work_outcome outcome = work_outcome::answered; // how the request ended
    state::time_point startedAt;                   // when the request was sent to the worker
    state::time_point endedAt;                     // when the last byte of the answer arrived or the request failed
    std::chrono::microseconds costHint{0};         // expected run time from the route table; zero when the table has none
};

// Summarises recent requests at one worker.
class worker_outcome_tracker
{
public:
    virtual ~worker_outcome_tracker() = default;

    // The request counts as in flight until recordEnd() is called.
    virtual void recordStart(const state::attempt_id &id, std::string_view route, state::time_point now) = 0;

    // Stores the outcome, unless it is a refusal or the request started before a process pause.
    virtual void recordEnd(const state::attempt_id &id, const outcome_sample &sample) = 0;

    // Stores the result of a health probe. Probes neither eject nor re-admit a worker by themselves.
    virtual void recordProbe(bool ok, state::time_point now) = 0;

    // To be called after a process pause: drops all outcomes and restarts the age of in-flight requests.
    virtual void recordPause(state::time_point now) = 0;

    // Sets the fields that describe outcomes, slowness, overdue requests and the probe.
    virtual void fillReport(worker_report &report, state::time_point now) const = 0;
};

std::unique_ptr<worker_outcome_tracker> makeWorkerOutcomeTracker();

} // namespace dandelionstall::coordination
