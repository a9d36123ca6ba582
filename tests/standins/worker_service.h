// Stand-in worker: runs requests in a fixed number of slots and answers with a verifiable body.
//
// Request headers that control a run:
//   X-Request-Id       id of the request; the answer body is derived from it
//   X-Test-Cost-Ms     run time in the slot
//   X-Test-Bytes       size of the answer
//   X-Test-Idempotent  "yes" or "no"; only logged
//   X-Test-Calls       number of calls of the run, in place of that of the call plan
//   X-Deadline-Ms      milliseconds left; a run that would take longer is aborted at that time with status 504
// The names of the headers with the id and the milliseconds left are options.
// Each run is logged to standard output as "start <request id> <idempotent> <steady us>" and "end <request id> <outcome>
// <steady us>"; "draining <name> yes <steady us>" marks the start of draining, and "states <header text> <kind> <steady us>" each
// change of a stated rate limit or leaving. Each request is logged as "arrival <request id> <path> <steady us> <milliseconds left>" before it
// waits; without the last field when the request states none. With the option for it, each header of a request is logged as
// "header <request id> <name> <steady us> <value>". When the caller closes the connection, the run is aborted and its slot released,
// but for the share of the runs that goes on. A worker with a call plan makes its calls at the end of each run, in the slot of the run; a run whose
// call fails ends with status 500. The body of PUT /_fault sets the faults of worker_faults.h; an empty body clears them.
#pragma once

#include "http_server.h"
#include "slot_gate.h"
#include "worker_calls.h"
#include "worker_faults.h"

#include <cstdint>
#include <random>
#include <string>

namespace dandelionstall::standins {

struct worker_options {
    std::string name = "worker"; // sent as X-Worker
    std::uint32_t slots = 3;
    std::size_t defaultBytes = 64;                       // answer size without X-Test-Bytes
    std::uint64_t seed = 1;                              // seed of the random draws of faults
    std::string echoHeader;                              // name of the request header that each answer repeats; empty repeats none
    std::string sealHeader;                              // name of the header set on each answer; empty sets none
    std::size_t maxWaiting = 0;                          // requests that wait for a slot; more are refused as not run; 0: any number
    double stayShare = 0.0;                              // share of the runs that go on when their caller has gone
    double errorShare = 0.0;                             // share of the runs that end with status 500, besides the faults
    std::string idHeader = "X-Request-Id";               // name of the request header with the id
    std::string timeLeftHeader = "X-Deadline-Ms";        // name of the request header with the milliseconds left
    std::string identityHeader;                          // name of the request header with the intended worker; requests for another worker get status 421
    std::string notRunHeader = "X-Worker-Refused";       // name of the header set on refusals
    std::string rateLimitHeader = "X-Worker-Rate-Limit"; // name of the header that states the rate limit
    std::string leavingHeader = "X-Worker-Leaving";      // name of the header that states the leaving
    bool logsHeaders = false;                            // logs each header of each request
    worker_call_plan calls;                              // calls of each run
};

class worker_service : public http_service
{
public:
    worker_service(asio::io_context &io, const worker_options &options);

    asio::awaitable<http_reply> answer(const http_request &request, tcp::socket &peer) override;

private:
    asio::awaitable<http_reply> processRequest(const http_request &request, tcp::socket &peer);
    asio::awaitable<http_reply> applyAnswerFaults(std::string id, http_reply reply);
    asio::awaitable<std::string> run(const http_request &request, tcp::socket &peer);
    http_reply setFaults(const std::string &text);
    void addStatements(http_response &message) const;
    void applyEndlessFault(const http_request &request, http_reply &reply);
    http_reply describeHealth() const;
    http_reply describeLoad() const;
    worker_faults faultsNow() const;
    std::string requestIdOf(const http_request &request) const; // "-" without one
    asio::awaitable<void> awaitAbort(tcp::socket &peer);        // returns when the caller has gone, unless the run goes on then
    bool draw(double share);

    worker_options m_options;
    slot_gate m_slots;
    worker_calls m_calls;
    worker_faults m_faults; // as set by the last command, before flap_ms is applied
    std::mt19937_64 m_random;
};

} // namespace dandelionstall::standins
