// Checks the limits on repeated work from what clients and workers saw: how often, at how many workers and with how much time requests
// were sent on. The functions have no side effects.
//
// Limits:
//   repeats    in no window does a pool get more arrivals beyond the first of their requests than its allowance. Each arrival counts,
//              also those that the worker rejects. All arrivals of a call count when the run that made the call was itself a repeat.
//   workers    no request is run at more workers than the attempts of its route, but for MaxOverspread requests
//   time left  no request is handed to a worker with more time than is left: with no time stated, with over TimeSlack more than the
//              client stated, or, sent once more over TimeSlack later, with an end over TimeSlack after that of the first arrival and
//              after that of the client. Up to MaxGenerous requests, or MaxGenerousShare of those judged, are tolerated.
//
// Usage:
//   const retry_verdict verdict = judgeRetries(traffic, limits);
#pragma once

#include "check.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelionstall::standins {

inline constexpr std::size_t MaxOverspread = 3;
inline constexpr std::chrono::milliseconds TimeSlack{500};
inline constexpr std::size_t MaxGenerous = 20;
inline constexpr double MaxGenerousShare = 0.2;

// A request as its sender knows it: of a client, or a call that a worker makes during a run.
struct sent_request {
    std::string id;
    std::string pool;                      // the one that its route leads to
    std::uint32_t maxAttempts = 1;         // of its route
    bool isDownload = false;               // its time left is not judged
    std::string parent;                    // request whose run makes the call; empty for a client's request
    std::string madeBy;                    // worker that makes the call
    std::chrono::microseconds sent{0};     // on the steady clock
    std::chrono::microseconds timeLeft{0}; // as stated by the sender
};

struct retry_traffic {
    std::vector<sent_request> requests;
    run_log workers;                         // arrivals and runs of all workers
    std::map<std::string, std::string> pool; // of each worker
    std::set<std::string> excusedWorkers;    // ended or cut off meanwhile: not counted for the limit on workers
};

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
    std::size_t calls = 0;             // of them, first arrivals of calls of repeated runs
    double allowed = 0.0;              // repeats allowed in the window
    std::size_t allCalls = 0;          // first arrivals of calls of repeated runs in the whole traffic
};

// Requests handed to workers with more time than is left.
struct time_usage {
    std::size_t judged = 0;             // generous ones, and all that were sent once more over TimeSlack after the first arrival
    std::size_t generous = 0;           // those with more time than is left
    std::size_t unstated = 0;           // of them, without any time
    std::chrono::milliseconds worst{0}; // largest excess over what is left, also of requests that are not generous
    std::string worstId;                // of the request with this excess
};

struct retry_verdict {
    std::map<std::string, repeat_usage> repeats; // worst window of each pool
    std::size_t overspread = 0;                  // requests that ran at more workers than allowed
    std::size_t mostWorkers = 0;                 // at which one request ran
    time_usage time;
};

retry_verdict judgeRetries(const retry_traffic &traffic, const repeat_limit &limit);
repeat_usage findWorstWindow(const retry_traffic &traffic, const std::string &pool, const repeat_limit &limit);
std::vector<violation> violationsOf(const retry_verdict &verdict); // empty when all limits are kept
std::string describeRetries(const retry_verdict &verdict);         // how near the limits it came, one line for each

} // namespace dandelionstall::standins
