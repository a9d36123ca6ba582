// Writes the entry of a stand-in worker to the stand-in store of the platform, again and again for as long as the worker runs.
#pragma once

#include "caller_connections.h"

#include <chrono>
#include <string>

namespace dandelionstall::standins {

struct announcement {
    std::string store; // ip:port; empty announces nothing
    std::string id;    // of the worker
    std::string service;
    std::string address; // ip:port at which the node beside the worker reaches it
    std::string zone;
    std::uint32_t slots = 1;
    std::chrono::milliseconds interval{1500}; // between two writes
};

class worker_announcer
{
public:
    worker_announcer(asio::io_context &io, announcement what);

    void start();

private:
    asio::awaitable<void> run();
    std::string entry(std::uint64_t sequence) const;

    asio::io_context &m_io;
    announcement m_what;
    std::int64_t m_bornMs; // start of the worker, Unix time
    caller_connections m_connections;
};

} // namespace dandelionstall::standins
