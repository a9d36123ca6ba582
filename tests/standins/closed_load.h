// Closed-loop callers: each sends its next request when the previous one has been answered. Measures peak request rates and
// the latency of single requests; load_run.h generates open-loop load.
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <vector>

namespace dandelionstall::standins {

struct closed_load {
    std::string node; // ip:port
    std::string path = "/";
    std::uint32_t callers = 1; // number of concurrent callers, each with one request in flight
    std::size_t bytes = 200;   // size of each answer body
    std::chrono::milliseconds length{1000};
};

struct closed_result {
    std::vector<std::chrono::microseconds> latencies; // latencies of answers that are complete and belong to their request
    std::size_t failures = 0;                         // number of all other requests
    double perSecond = 0.0;                           // correct answers per second
};

closed_result runClosedLoad(const closed_load &load); // blocks until all callers have finished

} // namespace dandelionstall::standins
