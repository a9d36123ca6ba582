// HTTP rules towards callers: which headers are forwarded, and how a refusal is presented. No I/O.
//
// A refusal has a status, a machine-readable reason, whether the request was run, and a delay before a retry:
//   HTTP/1.1 503 Service Unavailable
//   Retry-After: 1
//   X-Dandelionstall-Reason: queue_full
//   X-Dandelionstall-Run: not_run
//   {"reason":"queue_full","run":"not_run","retry_after_ms":640}
#pragma once

#include <dandelionstall/protocol/messages.h>

#include <optional>
#include <vector>

namespace dandelionstall::protocol {

inline constexpr std::string_view ReasonHeader = "X-Dandelionstall-Reason"; // name of the refusal reason
inline constexpr std::string_view RunHeader = "X-Dandelionstall-Run";       // run state of the request: not_run, ran or unknown
inline constexpr std::string_view TicketHeader = "Idempotency-Key";         // at-most-once ticket of the request
inline constexpr std::string_view OrganisationHeader = "X-Organisation";    // organisation of the caller, for its rate limit
inline constexpr std::string_view DeadlineHeader = "X-Deadline-Ms";         // time that the caller waits, in milliseconds; can only shorten the route's timeout
inline constexpr std::string_view TicketTarget = "/.dandelionstall/ticket"; // request target that issues a ticket
inline constexpr std::string_view TicketPathHeader = "X-Ticket-Path";       // path for which a ticket is requested
inline constexpr std::string_view TicketMethodHeader = "X-Ticket-Method";   // method for which a ticket is requested
inline constexpr std::string_view WorkerRefusedHeader = "X-Worker-Refused"; // set by a worker to WorkerNotRun when it did not run the request
inline constexpr std::string_view WorkerNotRun = "not-run";                 // value of WorkerRefusedHeader
inline constexpr std::string_view WorkerStateHeader = "X-Worker-State";     // state of the worker, set on its health answers
inline constexpr std::string_view WorkerDraining = "draining";              // value of WorkerStateHeader while the worker is leaving

// Answer to a caller when there is no answer of a worker.
struct caller_refusal {
    coordination::refusal_reason reason = coordination::refusal_reason::none; // reason of the refusal
    coordination::run_state run = coordination::run_state::not_run;           // whether the request was run
    std::chrono::milliseconds retryAfter{0};                                  // delay before a retry; 0 when a retry is pointless
};

std::uint32_t httpStatusOf(const caller_refusal &refusal);                 // HTTP status code for the refusal
std::string jsonBodyOf(const caller_refusal &refusal);                     // JSON body for the refusal
std::uint64_t retryAfterSeconds(const caller_refusal &refusal);            // whole seconds, rounded up; 0 when there is no delay
std::string retryAfterText(const caller_refusal &refusal, bool fractions); // value of the Retry-After header

bool isFinalStatus(std::uint32_t status);   // status that an answer may have, 200 to 599 (RFC 9110, 15)
bool isInterimStatus(std::uint32_t status); // status that may precede an answer, 100 to 199; not 101, for which no request asks

bool equalHeaderNames(std::string_view a, std::string_view b);                                 // compares header names without regard to case
std::string_view findHeader(const http_headers &headers, std::string_view name);               // value of the first header with this name; empty when absent
std::vector<std::string_view> findHeaders(const http_headers &headers, std::string_view name); // values of all headers with this name
void removeHeaders(http_headers &headers, std::string_view name); // all headers with this name, also with '_' for '-': many servers take these for the same
http_headers endToEndHeaders(const http_headers &headers);        // headers without the hop-by-hop ones
std::string_view hostWithoutPort(std::string_view host);          // "Example:80" gives "Example"
std::string_view authorityOf(std::string_view target);            // host and port of an absolute request target; empty otherwise
std::string_view pathOf(std::string_view target);                 // request target without query and authority

} // namespace dandelionstall::protocol
