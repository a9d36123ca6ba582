// Typed reasons shared by all decisions: why a request was refused, why it is tried again, and whether it was run.
//
// Each reason has a stable name, used for metric labels, for the caller's error body and in logs.
#pragma once

#include <dandelionstall/state/types.h>

#include <string_view>

namespace dandelionstall::coordination {

// Why a request, or one attempt of it, got no answer from a worker.
enum class refusal_reason {
    none,                 // not refused
    no_route,             // no row of the route table takes it
    bad_request,          // malformed caller input
    body_too_large,       // request body over the limit
    caller_limit,         // too many caller connections
    organisation_limit,   // the organisation is over its rate
    queue_full,           // all queue places at the worker are taken by work of higher worth
    low_worth,            // displaced by work of higher worth
    deadline_unreachable, // it cannot finish before its deadline
    expired_in_queue,     // its deadline passed while it waited
    draining,             // the worker or its node is leaving
    no_capacity,          // no worker of the pool is in use
    late_frame,           // the frame arrived after the attempt's deadline
    stale_incarnation,    // meant for an earlier life of the sidecar
    duplicate_attempt,    // this attempt or ticket has been seen before
    worker_shed,          // the worker refused it by its documented answer
    worker_unreachable,   // the worker took no connection
    worker_at_risk,       // the worker has failed work of late; others are asked first
    retry_budget_empty,   // the retry budget is spent
    cancelled,            // the caller went away
    path_down,            // the node beside the worker cannot be reached
    not_ready,            // no configuration is in force yet
    unknown_outcome,      // it may have run; nobody can tell
};

// Why an attempt is followed by another one.
enum class retry_reason {
    none,           // no retry
    refused,        // the sidecar refused it before it was started
    connect_failed, // no connection to the node
    stream_refused, // the stream was refused before it was processed
    worker_refused, // the worker's documented refusal
    worker_failed,  // the worker broke off or answered with an error; idempotent work only
    cut_answer,     // the answer ended early; idempotent work only
    path_silent,    // the connection went silent
};

// What is known about the execution of a request.
enum class run_state {
    not_run, // proven: it was not started and will not be
    ran,     // it was started
    unknown, // no proof either way
};

// What holds for a request after another attempt of it: it was not run only when no attempt was.
run_state combineRunStates(run_state earlier, run_state later);

std::string_view reasonName(refusal_reason reason);       // "queue_full", ...
std::string_view reasonName(retry_reason reason);         // "connect_failed", ...
std::string_view runStateName(run_state run);             // "not_run", "ran", "unknown"
refusal_reason parseRefusalReason(std::string_view name); // none when unknown

} // namespace dandelionstall::coordination
