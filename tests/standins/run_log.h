// Log of a stand-in worker: when it started and ended each run, and when it was told to drain.
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <vector>

namespace dandelionstall::standins {

struct run_record {
    std::string id; // X-Request-Id
    std::string worker;
    std::chrono::microseconds started{0}; // steady time
};

// A worker that must get nothing new some time after this.
struct leaving_mark {
    std::string worker;
    std::chrono::microseconds since{0}; // steady time
};

struct run_log {
    std::vector<run_record> runs;
    std::vector<leaving_mark> leaving;
};

// Adds what the text says; the last line may be cut short. Throws std::invalid_argument for a malformed line.
void parseRunLog(const std::string &text, const std::string &worker, run_log &log);
std::chrono::microseconds steadyNow(); // the clock of all logs; the same in all processes of a machine

} // namespace dandelionstall::standins
