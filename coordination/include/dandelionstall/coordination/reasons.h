// Typed reasons shared by all decisions: why a request was refused, why it is retried, and whether it was run.
//
// Each reason has a stable name, which appears in metrics, in the error body sent to the caller and in logs.
#pragma once

#include <dandelionstall/state/types.h>

#include <string_view>

namespace dandelionstall::coordination {

// Why a request, or one attempt of it, got no answer from a worker.
enum class refusal_reason {
    none,                 // not refused
    no_route,             // no route of the route table matches the request
    bad_request,          // the request is malformed
    body_too_large,       // the request body exceeds the size limit
    caller_limit,         // too many caller connections are open
    memory_full,          // the node has no memory for the body
    unknown_key,          // the request has no key of an organisation of the route table, and its route is not public
    organisation_limit,   // the organisation exceeds its request rate
    queue_full,           // the worker's queue is full, and the work displaces none of the waiting work
    low_worth,            // work of higher worth took its place in the queue or the slot time it needed
    deadline_unreachable, // the work cannot finish before its deadline
    expired_in_queue,     // the deadline passed while the work waited in the queue
    draining,             // the worker or its node is shutting down
    no_capacity,          // the pool has no usable worker
    late_frame,           // the attempt arrived at the node after its deadline
    stale_incarnation,    // the attempt was sent to an earlier incarnation of the sidecar
    duplicate_attempt,    // an attempt with this id or ticket was received before
    worker_shed,          // the worker refused the work with its documented refusal answer
    worker_unreachable,   // no connection to the worker could be opened
    worker_limited,       // the worker states a rate limit, and it has no room now
    worker_at_risk,       // the worker has failed work recently; other workers are tried first
    retry_budget_empty,   // the retry budget is used up
    cancelled,            // the caller cancelled the request or closed its connection
    path_down,            // the node that owns the worker cannot be reached
    not_ready,            // the node has no configuration in force yet
    unknown_outcome,      // the work may have run; there is no proof either way
};

// Why a failed attempt is retried.
enum class retry_reason {
    none,           // no retry
    refused,        // the sidecar refused the attempt before starting it
    connect_failed, // no connection to the node could be opened
    stream_refused, // the node refused the stream before processing it
    worker_refused, // the worker sent its documented refusal answer
    worker_failed,  // the worker closed the connection early or answered with an error; retried for idempotent work only
    cut_answer,     // the answer was truncated; retried for idempotent work only
    path_silent,    // the connection became unresponsive
};

// What is known about the execution of a request.
enum class run_state {
    not_run, // proven: the work was not started and will not be
    ran,     // the work was started
    unknown, // there is no proof that the work ran, nor that it did not
};

// Combines the run states of two attempts of one request. The result is not_run only when neither attempt was run.
run_state combineRunStates(run_state earlier, run_state later);

std::string_view reasonName(refusal_reason reason);       // stable name, such as "queue_full"
std::string_view reasonName(retry_reason reason);         // stable name, such as "connect_failed"
std::string_view runStateName(run_state run);             // "not_run", "ran" or "unknown"
refusal_reason parseRefusalReason(std::string_view name); // none when the name is unknown

} // namespace dandelionstall::coordination
