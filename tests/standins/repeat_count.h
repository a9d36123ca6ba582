// Counts the repeats at the workers of one pool from the logs of all workers: the runs beyond the first of each request, and the
// first run of each call that was made by a run which is itself a repeat.
#pragma once

#include "run_log.h"

#include <set>
#include <string>

namespace dandelionstall::standins {

// Limit of the repeats in any window. The requests are those of that window, of the one before it or of the one that begins half
// a window earlier, whichever has most.
struct repeat_limit {
    double share = 0.2;
    double extra = 0.0;
    std::chrono::microseconds window{0};
};

// The window in which the repeats use the largest share of what is allowed.
struct repeat_usage {
    std::chrono::microseconds from{0}; // start of the window on the steady clock
    std::size_t requests = 0;          // requests that count for the window
    std::size_t repeats = 0;           // repeats in the window
    std::size_t calls = 0;             // of them, first runs of calls of repeated runs
    double allowed = 0.0;              // repeats allowed in the window
    std::size_t allCalls = 0;          // first runs of calls of repeated runs in the whole log
};

// pool: ids of the pool's workers. Every request for the pool must be a call in the log.
repeat_usage findWorstWindow(const run_log &log, const std::set<std::string> &pool, const repeat_limit &limit);

} // namespace dandelionstall::standins
