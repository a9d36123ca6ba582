// Calls that a stand-in worker makes while it runs a request. They go through the node on the worker's VM.
//
// Each call is logged as "call <request id of the call> <request id of the run> <steady us>".
#pragma once

#include "caller_connections.h"

#include <cstdint>
#include <string>

namespace dandelionstall::standins {

struct worker_call_plan {
    std::string node;         // ip:port at which the node accepts callers
    std::string path = "/";   // path of each call
    std::uint32_t count = 0;  // calls of each run; 0 makes none
    bool namesParents = true; // the id of a call continues the id of the request that is run
};

class worker_calls
{
public:
    worker_calls(asio::io_context &io, worker_call_plan plan, std::string worker);

    asio::awaitable<bool> makeCalls(std::string parent, std::chrono::milliseconds timeout); // makes all of them; false when one has no answer with status 200

private:
    std::string nextId(const std::string &parent);

    worker_call_plan m_plan;
    std::string m_worker;
    caller_connections m_connections;
    std::uint64_t m_sequence = 0; // number of calls made
};

} // namespace dandelionstall::standins
