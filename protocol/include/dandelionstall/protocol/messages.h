// Typed messages between an ingress and a sidecar, and their encoding.
//
// One exchange is one HTTP/2 stream. Each side sends frames (see frame.h); a message below is the payload of one frame.
//   attempt:  attempt_head, body..., attempt_end  ->  answer_head, body..., answer_end
//   query:    attempt_query                       ->  answer_head, body..., answer_end
//   acknowledge: attempt_acknowledge              ->  (end of stream)
//   clock:    clock_request                       ->  clock_reply
// Time points are on the sidecar's steady clock; the ingress translates with clock_estimate (see clock_estimate.h).
//
// Index:
//   [SECTION] Parts
//   [SECTION] Messages
//   [SECTION] Encoding
#pragma once

#include <dandelionstall/coordination/pool_view.h>
#include <dandelionstall/coordination/reasons.h>
#include <dandelionstall/protocol/errors.h>

#include <string>
#include <vector>

namespace dandelionstall::protocol {

// [SECTION] Parts

struct http_header {
    std::string name;  // as received
    std::string value; // as received

    friend bool operator==(const http_header &, const http_header &) = default;
};

using http_headers = std::vector<http_header>; // in order, names may repeat

// [SECTION] Messages

// One attempt to run a request at one worker.
struct attempt_head {
    state::attempt_id id;                                  // unique
    std::string worker;                                    // which worker
    std::string pool;                                      // pool of the worker
    std::string route;                                     // route name, for learned costs
    state::incarnation sidecarIncarnation = 0;             // life of the sidecar that it is meant for
    state::time_point deadline;                            // on the sidecar's clock
    state::time_point targetAt = state::time_point::max(); // the same, for its full worth; max() when there is no target
    double worth = 1.0;                                    // of the answer
    bool idempotent = false;                               // may run again
    std::chrono::microseconds costHint{0};                 // expected run time
    std::string method;                                    // HTTP method
    std::string target;                                    // HTTP request target
    http_headers headers;                                  // end-to-end headers
    std::string ticket;                                    // at-most-once ticket; empty when none
    std::string organisation;                              // of the caller; empty when not stated
    double acceptedRisk = 0.0;                             // see coordination::guarded_item
    double organisationRate = 0.0;                         // requests a second allowed to it over the fleet; 0 is unlimited
    std::uint64_t bodyBytes = 0;                           // length of the body that follows
};

// What became of an attempt. The worker's answer follows when status is not zero.
struct answer_head {
    state::attempt_id id;                                                      // of the attempt
    coordination::run_state run = coordination::run_state::unknown;            // whether it was run
    coordination::refusal_reason refusal = coordination::refusal_reason::none; // when there is no answer
    std::uint32_t status = 0;                                                  // HTTP status of the worker's answer; 0 when there is none
    http_headers headers;                                                      // end-to-end headers of the answer
    std::chrono::microseconds retryAfter{0};                                   // when to come back, from now; 0 when not stated
    std::vector<coordination::worker_report> reports;                          // load and health of this worker and its siblings
    std::string alternativeWorker;                                             // worker with room, when refused; empty when none
    state::incarnation incarnation = 0;                                        // of the sidecar
};

// Closes an answer; without it the answer is cut.
struct answer_end {
    state::attempt_id id;                 // of the attempt
    std::uint64_t bodyBytes = 0;          // length of the whole body
    std::uint64_t digest = 0;             // XXH3 of the whole body
    std::chrono::microseconds runTime{0}; // from start to end at the worker
};

struct attempt_query {
    state::attempt_id id;                      // which attempt
    state::time_point expiresAt;               // on the sidecar's clock: no frame of the attempt is valid after it
    state::incarnation sidecarIncarnation = 0; // life of the sidecar that it was sent to
    std::string relayTo;                       // node to ask in place of the one that receives this; empty when the receiver is meant
};

struct attempt_acknowledge {
    state::attempt_id id; // the answer has arrived
};

struct clock_request {
    std::int64_t sentAt = 0; // sender's clock, returned unchanged
};

struct clock_reply {
    std::int64_t sentAt = 0;            // from the request
    state::time_point clock;            // the sidecar's clock
    state::incarnation incarnation = 0; // of the sidecar
};

// [SECTION] Encoding

std::string encode(const attempt_head &message);
std::string encode(const answer_head &message);
std::string encode(const answer_end &message);
std::string encode(const attempt_query &message);
std::string encode(const attempt_acknowledge &message);
std::string encode(const clock_request &message);
std::string encode(const clock_reply &message);

absl::StatusOr<attempt_head> decodeAttemptHead(std::string_view bytes);               // malformed_message
absl::StatusOr<answer_head> decodeAnswerHead(std::string_view bytes);                 // malformed_message
absl::StatusOr<answer_end> decodeAnswerEnd(std::string_view bytes);                   // malformed_message
absl::StatusOr<attempt_query> decodeAttemptQuery(std::string_view bytes);             // malformed_message
absl::StatusOr<attempt_acknowledge> decodeAttemptAcknowledge(std::string_view bytes); // malformed_message
absl::StatusOr<clock_request> decodeClockRequest(std::string_view bytes);             // malformed_message
absl::StatusOr<clock_reply> decodeClockReply(std::string_view bytes);                 // malformed_message

std::string encodeHeaders(const http_headers &headers);             // for kept answers
absl::StatusOr<http_headers> decodeHeaders(std::string_view bytes); // inverse of encodeHeaders()

} // namespace dandelionstall::protocol
