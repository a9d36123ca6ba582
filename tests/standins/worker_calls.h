// Calls that a stand-in worker makes while it runs a request. They go through the node on the worker's VM.
//
// Each call is logged as "call <request id of the call> <request id of the run> <steady us> <milliseconds left>".
#pragma once

#include "caller_connections.h"

#include <dandelionstall/state/types.h>

#include <cstdint>
#include <string>

namespace dandelionstall::standins {

struct worker_call_plan {
    std::string node;                             // ip:port at which the node accepts callers
    std::string path = "/";                       // path of each call
    std::uint32_t count = 0;                      // calls of each run; 0 makes none
    bool namesParents = true;                     // the id of a call continues the id of the request that is run
    bool together = false;                        // all calls of a run are made at once, not one after the other
    std::chrono::milliseconds cost{0};            // run time of each call at the worker that it reaches
    std::chrono::milliseconds longest{0};         // most time that a call may take; 0: all that its run has left
    std::string host = "service.example";         // Host header of each call
    std::string idHeader = "X-Request-Id";        // name of the header with the id
    std::string timeLeftHeader = "X-Deadline-Ms"; // name of the header with the milliseconds left
};

class worker_calls
{
public:
    worker_calls(asio::io_context &io, worker_call_plan plan, std::string worker);

    // Makes the calls of one run; false when one has no answer with status 200.
    asio::awaitable<bool> makeCalls(std::string parent, std::uint32_t count, std::chrono::milliseconds timeout);

private:
    asio::awaitable<bool> makeCall(std::string parent, state::time_point deadline);
    std::string nextId(const std::string &parent);

    asio::io_context &m_io;
    worker_call_plan m_plan;
    std::string m_worker;
    caller_connections m_connections;
    std::string m_idStart;        // of the calls of this process; a worker that starts again uses other ids
    std::uint64_t m_sequence = 0; // number of calls made
};

} // namespace dandelionstall::standins
