// Compares the requests that reached a worker with what it stated in its answers.
//
// Rules:
//   rate limit   from SettlingTime after the worker began to state a limit, and for as long as it states this rate, at most 1.5 times
//                what the limit allows plus 5 requests reach it in any 4 s, from nodes that passed on such an answer ToldTime before
//   leaving      while the worker states that it leaves, no request reaches it that was sent later than a given time after its node had
//                passed on an answer that states so
// A request belongs to the node that its caller sent it to. Requests without a caller in the log (health probes, calls of workers) count
// as requests of a node that has been told. A node that is started again has been told nothing.
#pragma once

#include "check.h"

#include <map>
#include <string>

namespace dandelionstall::standins {

inline constexpr std::chrono::seconds LimitWindow{4};
inline constexpr std::chrono::seconds SettlingTime{3};
inline constexpr std::chrono::milliseconds ToldTime{500};

using node_starts = std::map<std::string, std::vector<std::chrono::microseconds>>; // callers' address of a node -> times of its starts, on the steady clock

// The window in which the requests use the largest share of what is allowed.
struct limit_usage {
    std::chrono::microseconds from{0}; // start of the window on the steady clock
    std::size_t arrivals = 0;          // requests of told nodes that reached the worker in it
    double allowed = 0.0;              // requests allowed in it
    std::size_t allArrivals = 0;       // requests that reached the worker while a limit bound, of all nodes
    std::string kinds;                 // arrivals of the window by path, for messages
};

limit_usage findFullestWindow(const check_input &input, const std::string &worker, const node_starts &starts = {});
std::vector<arrival> findLateArrivals(const check_input &input,
                                      const std::string &worker,
                                      std::chrono::microseconds after,
                                      const node_starts &starts = {}); // by the rule for leaving

} // namespace dandelionstall::standins
