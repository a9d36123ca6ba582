// Messages between an ingress and a sidecar, and their encoding.
//
// One exchange is one HTTP/2 stream. Each side sends frames (see frame.h); a message below is the payload of one frame.
//   attempt:  attempt_head, body..., attempt_end  ->  answer_head, body..., answer_end
//   query:    attempt_query                       ->  answer_head, body..., answer_end
//   acknowledge: attempt_acknowledge              ->  (end of stream)
//   withdraw: attempt_withdrawal                  ->  (end of stream); the refusal comes on the stream of the attempt
//   clock:    clock_request                       ->  clock_reply
// Time points are on the sidecar's steady clock; the ingress converts them with clock_estimate (see clock_estimate.h).
//
// Index:
//   [SECTION] Parts
//   [SECTION] Messages
//   [SECTION] Encoding
#pragma once

#include <dandelionstall/coordination/health/pool_view.h>
#include <dandelionstall/coordination/reasons.h>
#include <dandelionstall/coordination/repeats/repeats.h>
#include <dandelionstall/protocol/errors.h>

#include <optional>
#include <string>
#include <vector>

namespace dandelionstall::protocol {

// [SECTION] Parts

struct http_header {
    std::string name;  // header name as received
    std::string value; // header value as received

    friend bool operator==(const http_header &, const http_header &) = default;
};

using http_headers = std::vector<http_header>; // headers in the order received; names may repeat

// [SECTION] Messages

// Starts one attempt to run a request at one worker.
struct attempt_head {
    state::attempt_id id;                                  // id of the attempt, unique over all nodes
    std::string worker;                                    // id of the worker
    std::string pool;                                      // pool of the worker
    std::string route;                                     // route name, for which the sidecar learns the cost
    state::incarnation sidecarIncarnation = 0;             // incarnation of the sidecar that may run the attempt
    state::time_point deadline;                            // deadline of the answer, on the sidecar's clock
    state::time_point targetAt = state::time_point::max(); // until then the answer has its full worth, on the sidecar's clock; max() when there is no target
    double worth = 1.0;                                    // worth of an answer before its deadline
    bool idempotent = false;                               // whether the request may run more than once
    std::chrono::microseconds costHint{0};                 // expected run time; zero when unknown
    std::string method;                                    // HTTP method
    std::string target;                                    // HTTP request target
    http_headers headers;                                  // end-to-end headers of the request
    std::string ticket;                                    // at-most-once ticket; empty when none
    std::string organisation;                              // organisation of the caller; empty when the request states none
    double acceptedRisk = 0.0;                             // highest accepted probability that the worker is unhealthy, 0..1
    double organisationRate = 0.0;                         // requests per second that the organisation may send to the whole fleet; 0 is unlimited
    std::uint64_t bodyBytes = 0;                           // length of the following body, in bytes
    coordination::repeat_kind repeat = coordination::repeat_kind::none; // whether the attempt is a repeat if it reaches the worker
    bool firstSent = false;                                             // no attempt of the request was sent before
    std::optional<double> statedRate;                                   // rate limit that answers of the worker have stated to the sending node, per second
    std::uint64_t lifetime = 0;                                         // lifetime of the worker that the sending node means; see worker_report::lifetime
};

// Outcome of an attempt. The body of the worker's answer follows when the status is not zero.
struct answer_head {
    state::attempt_id id;                                                      // id of the attempt
    coordination::run_state run = coordination::run_state::unknown;            // whether the request was run
    coordination::refusal_reason refusal = coordination::refusal_reason::none; // reason when there is no answer; none otherwise
    std::uint32_t status = 0;                                                  // HTTP status of the worker's answer; 0 when there is none
    http_headers headers;                                                      // end-to-end headers of the answer
    std::chrono::microseconds retryAfter{0};                                   // delay from now before a retry; 0 when not stated
    std::vector<coordination::worker_report> reports;                          // load and health of this worker and of others in its pool
    std::string alternativeWorker;                                             // id of a worker with free capacity, given with a refusal; empty when none
    state::incarnation incarnation = 0;                                        // incarnation of the sidecar
};

// Ends an answer. An answer without it is truncated.
struct answer_end {
    state::attempt_id id;                 // id of the attempt
    std::uint64_t bodyBytes = 0;          // length of the whole body, in bytes
    std::uint64_t digest = 0;             // XXH3 hash of the whole body
    std::chrono::microseconds runTime{0}; // time from start to end of the request at the worker
};

// Requests the outcome of an attempt; fences the attempt if the sidecar does not know it.
struct attempt_query {
    state::attempt_id id;                      // id of the attempt
    state::time_point expiresAt;               // on the sidecar's clock; no frame of the attempt is valid after this time
    state::incarnation sidecarIncarnation = 0; // incarnation of the sidecar to which the attempt was sent
    std::string relayTo;                       // node to which the receiver forwards the query; empty when the receiver itself answers
};

// Confirms that the answer of an attempt was received.
struct attempt_acknowledge {
    state::attempt_id id; // id of the attempt
};

// Refuses an attempt that has not started, so that it is proven not to have run. An attempt that has started goes on.
struct attempt_withdrawal {
    state::attempt_id id;        // id of the attempt
    state::time_point expiresAt; // on the sidecar's clock; no frame of the attempt is valid after this time
};

struct clock_request {
    std::int64_t sentAt = 0; // sender's clock, returned unchanged in the reply
};

struct clock_reply {
    std::int64_t sentAt = 0;            // value of the request
    state::time_point clock;            // time on the sidecar's clock
    state::incarnation incarnation = 0; // incarnation of the sidecar
};

// [SECTION] Encoding

std::string encode(const attempt_head &message);
std::string encode(const answer_head &message);
std::string encode(const answer_end &message);
std::string encode(const attempt_query &message);
std::string encode(const attempt_acknowledge &message);
std::string encode(const attempt_withdrawal &message);
std::string encode(const clock_request &message);
std::string encode(const clock_reply &message);

absl::StatusOr<attempt_head> decodeAttemptHead(std::string_view bytes);               // error: malformed_message
absl::StatusOr<answer_head> decodeAnswerHead(std::string_view bytes);                 // error: malformed_message
absl::StatusOr<answer_end> decodeAnswerEnd(std::string_view bytes);                   // error: malformed_message
absl::StatusOr<attempt_query> decodeAttemptQuery(std::string_view bytes);             // error: malformed_message
absl::StatusOr<attempt_acknowledge> decodeAttemptAcknowledge(std::string_view bytes); // error: malformed_message
absl::StatusOr<attempt_withdrawal> decodeAttemptWithdrawal(std::string_view bytes);   // error: malformed_message
absl::StatusOr<clock_request> decodeClockRequest(std::string_view bytes);             // error: malformed_message
absl::StatusOr<clock_reply> decodeClockReply(std::string_view bytes);                 // error: malformed_message

std::string encodeHeaders(const http_headers &headers);             // encodes headers for storage in state::kept_answer
absl::StatusOr<http_headers> decodeHeaders(std::string_view bytes); // inverse of encodeHeaders()

} // namespace dandelionstall::protocol
