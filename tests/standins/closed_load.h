// Closed-loop callers: each sends its next request when the last one has been answered. For peak rates and for the time of
// single requests; open-loop load is in load_run.h.
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <vector>

namespace dandelionstall::standins {

struct closed_load {
    std::string node; // ip:port
    std::string path = "/";
    std::uint32_t callers = 1; // requests in flight
    std::size_t bytes = 200;   // of each answer
    std::chrono::milliseconds length{1000};
};

struct closed_result {
    std::vector<std::chrono::microseconds> latencies; // of answers that are whole and own
    std::size_t failures = 0;                         // all others
    double perSecond = 0.0;                           // answers a second
};

closed_result runClosedLoad(const closed_load &load); // blocks

} // namespace dandelionstall::standins
