// Checks the promises of a soak on the platform's store against what callers, workers and the driver have recorded. No side effects.
//
// Rules:
//   at_most_once  a non-idempotent request was started twice
//   config_back   a node that had served a version of the configuration refused it later in the same incarnation, while it was the newest,
//                 or served an older one
//   config_late   a node did not serve the newest version InForceTime after it was written, or after the node was ready
//   leaving       a request reached a worker later than InForceTime after it had announced that it leaves
//   organisation_rate  an organisation had more requests run in a window than its rate allows, over the whole fleet
//   recovery      after all faults, less than RecoveredShare is served, or a worker gets nothing
// What the store has lost counts as written when operator and workers have written it again.
#pragma once

#include <check.h>
#include <organisation_check.h>
#include <run_log.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstall::soak {

inline constexpr std::chrono::seconds InForceTime{2};        // limit for a new configuration and for a leaving worker
inline constexpr std::chrono::milliseconds RewriteTime{500}; // within which operator and workers write again what the store has lost
inline constexpr std::chrono::seconds RecoverySpan{3};       // at the end, after all faults and their consequences

using steady_time = std::chrono::microseconds; // on the clock of standins::steadyNow()

struct store_call {
    std::size_t node = 0;
    unsigned incarnation = 0;  // of the node, when the request was sent and when it ended; calls in between are not recorded
    std::uint64_t version = 0; // of the configuration whose path was requested
    unsigned status = 0;       // 0 without an answer
    steady_time sent{0};
    steady_time ended{0};
};

struct config_write {
    std::uint64_t version = 0;
    steady_time begunAt{0};   // some nodes may have it from here on
    steady_time writtenAt{0}; // the store has acknowledged it
};

struct store_rewind {
    steady_time at{0};
    std::chrono::milliseconds age{0}; // what was written in this time before is lost
};

struct worker_leaving {
    std::size_t place = 0;
    steady_time since{0};
    steady_time until{0}; // another worker has the address from then on
};

struct node_start {
    std::size_t node = 0;
    unsigned incarnation = 0;
    steady_time readyAt{0};
};

struct store_evidence {
    std::vector<store_call> calls;     // sorted by the time of their end
    std::vector<config_write> writes;  // in order of time, those after a rewind included
    std::vector<store_rewind> rewinds; // in order of time
    std::vector<worker_leaving> leavings;
    std::vector<node_start> starts;
    std::vector<std::vector<standins::run_record>> runs;      // of each place
    std::vector<standins::organisation_run> organisationRuns; // of the organisation that sends more than its rate
    standins::organisation_rate organisationRate;
    steady_time endedAt{0};
};

std::vector<standins::violation> findStoreViolations(const store_evidence &evidence); // empty when all promises hold

} // namespace dandelionstall::soak
