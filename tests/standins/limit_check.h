// Compares the requests that reached a worker with the rate limit that it stated. All requests count, probes included.
//
// Rule: from SettlingTime after the worker first stated its limit, and for as long as it states it, at most 1.5 times what the limit
// allows plus 5 requests reach it in any 4 s, from all nodes that have been told. A caller of this check makes sure that all nodes have
// been told by then.
#pragma once

#include "run_log.h"

#include <string>

namespace dandelionstall::standins {

inline constexpr std::chrono::seconds LimitWindow{4};
inline constexpr std::chrono::seconds SettlingTime{3};

// The window with the most requests.
struct limit_usage {
    std::chrono::microseconds from{0}; // start of the window on the steady clock
    std::size_t arrivals = 0;          // requests that reached the worker in it
    double allowed = 0.0;              // requests allowed in it
    std::size_t allArrivals = 0;       // requests that reached the worker while the limit bound
    std::string kinds;                 // arrivals of the window by path, for messages
};

limit_usage findFullestWindow(const run_log &log, const std::string &worker); // throws std::invalid_argument when the worker states no limit

// Requests that reached the worker later than the given time after it first stated that it leaves. Probes don't count.
std::vector<arrival> findArrivalsAfterLeaving(const run_log &log, const std::string &worker, std::chrono::microseconds after);

} // namespace dandelionstall::standins
