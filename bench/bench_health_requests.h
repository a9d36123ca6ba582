// Requests of bench_health and what became of them.
#pragma once

#include "bench_health_options.h"

#include <vector>

namespace bench_health {

// One request.
struct request_record {
    state::attempt_id id;        // id of its only attempt
    state::time_point arrivedAt; // when an observer sent it to a worker
    state::time_point startedAt; // when it got a slot
    state::time_point endsAt;    // when its run ends; time_point::max() for never
    std::size_t observer = 0;    // index of the observer that sent it
    bool isLong = false;         // known to be long
    bool fails = false;          // ends with a failure
};

// Latencies of requests from arrival to answer.
struct service_record {
    std::vector<double> shortMs; // latencies of short requests
    std::vector<double> longMs;  // latencies of long requests
    std::uint64_t failed = 0;    // requests that failed or exceeded their deadline
};

inline const char *routeOf(const request_record &item)
{
    return item.isLong ? "long" : "short";
}

inline milliseconds deadlineOf(const request_record &item) // time from the arrival to the deadline
{
    return item.isLong ? 5 * Timeout : Timeout;
}

} // namespace bench_health
