// Rules of the caller's side of HTTP: which headers pass, and how a refusal is told. Pure.
//
// A refusal carries a status, the machine-readable reason, whether the request was run, and when to come back:
//   HTTP/1.1 503 Service Unavailable
//   Retry-After: 1
//   X-Dandelionstall-Reason: queue_full
//   X-Dandelionstall-Run: not_run
//   {"reason":"queue_full","run":"not_run","retry_after_ms":640}
#pragma once

#include <dandelionstall/protocol/messages.h>

#include <optional>

namespace dandelionstall::protocol {

inline constexpr std::string_view ReasonHeader = "X-Dandelionstall-Reason"; // refusal reason
inline constexpr std::string_view RunHeader = "X-Dandelionstall-Run";       // not_run, ran or unknown
inline constexpr std::string_view TicketHeader = "Idempotency-Key";         // carries an at-most-once ticket
inline constexpr std::string_view OrganisationHeader = "X-Organisation";    // who is limited
inline constexpr std::string_view DeadlineHeader = "X-Deadline-Ms";         // time the caller waits, shortens the route's
inline constexpr std::string_view TicketTarget = "/.dandelionstall/ticket"; // gives out a ticket
inline constexpr std::string_view TicketPathHeader = "X-Ticket-Path";       // path that the ticket is for
inline constexpr std::string_view TicketMethodHeader = "X-Ticket-Method";   // method that the ticket is for
inline constexpr std::string_view WorkerRefusedHeader = "X-Worker-Refused"; // a worker's documented refusal, with WorkerNotRun
inline constexpr std::string_view WorkerNotRun = "not-run";                 // its value
inline constexpr std::string_view WorkerStateHeader = "X-Worker-State";     // on a worker's health answer
inline constexpr std::string_view WorkerDraining = "draining";              // its value while the worker leaves

// What a caller is told when there is no answer of a worker.
struct caller_refusal {
    coordination::refusal_reason reason = coordination::refusal_reason::none; // why
    coordination::run_state run = coordination::run_state::not_run;           // whether it was run
    std::chrono::milliseconds retryAfter{0};                                  // when to come back; 0 when coming back is no use
};

std::uint32_t httpStatusOf(const caller_refusal &refusal);                 // HTTP status
std::string jsonBodyOf(const caller_refusal &refusal);                     // JSON
std::uint64_t retryAfterSeconds(const caller_refusal &refusal);            // rounded up; 0 when none
std::string retryAfterText(const caller_refusal &refusal, bool fractions); // value of the header

bool equalHeaderNames(std::string_view a, std::string_view b);                   // header names, without case
std::string_view findHeader(const http_headers &headers, std::string_view name); // first value; empty when absent
http_headers endToEndHeaders(const http_headers &headers);                       // without the headers that belong to one connection
std::string_view hostWithoutPort(std::string_view host);                         // "Example:80" gives "Example"
std::string_view authorityOf(std::string_view target);                           // of an absolute request target; empty otherwise
std::string_view pathOf(std::string_view target);                                // request target without query and authority

} // namespace dandelionstall::protocol
