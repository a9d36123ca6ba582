// The stand-in worker: runs requests in a fixed number of slots and answers with a verifiable body.
//
// A test steers it by request headers:
//   X-Request-Id       names the request; the answer body is made from it
//   X-Test-Cost-Ms     run time in the slot
//   X-Test-Bytes       size of the answer
//   X-Test-Idempotent  "yes" or "no"; only for the log
//   X-Deadline-Ms      milliseconds left; work that would end later is broken off then, with status 504
// Each run is logged to standard output: "start <request id> <idempotent> <steady us>" and "end <request id> <outcome>
// <steady us>"; "draining <name> yes <steady us>" marks when draining began. Closing the connection stops the work and frees its slot. PUT /_fault takes the
// faults of worker_faults.h as its body; an empty body ends them.
#pragma once

#include "http_server.h"
#include "slot_gate.h"
#include "worker_faults.h"

#include <cstdint>
#include <random>
#include <string>

namespace dandelionstall::standins {

struct worker_options {
    std::string name = "worker"; // sent as X-Worker
    std::uint32_t slots = 3;
    std::size_t defaultBytes = 64;                 // answer size without X-Test-Bytes
    std::uint64_t seed = 1;                        // of the draws behind the shares of faults
    std::string echoHeader;                        // request header that each answer repeats; empty repeats none
    std::string sealHeader;                        // set on each answer of a run; empty sets none
    std::string identityHeader;                    // request header that names the worker meant; another name is answered with 421
    std::string notRunHeader = "X-Worker-Refused"; // set on refusals
};

class worker_service : public http_service
{
public:
    worker_service(asio::io_context &io, const worker_options &options);

    asio::awaitable<http_reply> answer(const http_request &request, tcp::socket &peer) override;

private:
    asio::awaitable<http_reply> work(const http_request &request, tcp::socket &peer);
    asio::awaitable<http_reply> finish(std::string id, http_reply reply);
    asio::awaitable<std::string> run(const http_request &request, tcp::socket &peer);
    http_reply setFaults(const std::string &text);
    http_reply describeHealth() const;
    http_reply describeLoad() const;
    worker_faults faultsNow() const;
    bool draw(double share);

    worker_options m_options;
    slot_gate m_slots;
    worker_faults m_faults; // as commanded
    std::mt19937_64 m_random;
};

} // namespace dandelionstall::standins
