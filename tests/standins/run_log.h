// Log of a stand-in worker: start and end of each run, the calls made by runs, and the time at which it began to drain.
#pragma once

#include <dandelionstall/state/types.h>

#include <optional>
#include <string>
#include <vector>

namespace dandelionstall::standins {

struct run_record {
    std::string id; // X-Request-Id
    std::string worker;
    std::chrono::microseconds started{0}; // start time on the steady clock
};

// A call that a worker made while it ran a request.
struct call_of_run {
    std::string id;                        // X-Request-Id of the call
    std::string parent;                    // X-Request-Id of the request that was run
    std::string worker;                    // worker that made the call
    std::chrono::microseconds sent{0};     // on the steady clock
    std::chrono::milliseconds timeLeft{0}; // stated by the call
};

// Start of draining. The worker must start no run more than LeavingLimit after this time.
struct leaving_mark {
    std::string worker;
    std::chrono::microseconds since{0}; // start of draining on the steady clock
};

// A request that reached a worker, whether it was run or not; also health probes.
struct arrival {
    std::string id;   // X-Request-Id; "-" when absent
    std::string path; // request target
    std::string worker;
    std::chrono::microseconds at{0};                      // on the steady clock
    std::optional<std::chrono::milliseconds> handed = {}; // time left that the request states
};

// A change of what a worker states in its answers.
struct statement {
    std::string kind; // "rate_limit" or "leaving"
    std::string text; // header text; "none" when the header is no longer sent
    std::string worker;
    std::chrono::microseconds since{0}; // on the steady clock
};

struct run_log {
    std::vector<run_record> runs;
    std::vector<call_of_run> calls;
    std::vector<leaving_mark> leaving;
    std::vector<arrival> arrivals;
    std::vector<statement> statements;
};

// Appends the events of the text to the log and ignores an incomplete last line. Throws std::invalid_argument for a
// malformed line.
void parseRunLog(const std::string &text, const std::string &worker, run_log &log);
std::chrono::microseconds steadyNow(); // time on the steady clock that all logs use; comparable across the processes of a machine

} // namespace dandelionstall::standins
