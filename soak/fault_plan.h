// Fault plans: the faults of a soak and their times. A plan is generated from a seed, written as text and read back for a
// replay. The functions have no side effects.
//
// Index:
//   [SECTION] Steps
//   [SECTION] Plans
#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstall::soak {

// [SECTION] Steps

enum class fault_kind {
    node_kill,    // SIGKILL; restarted at the end of the step
    node_pause,   // SIGSTOP; SIGCONT at the end of the step
    node_stop,    // SIGTERM; restarted as soon as the process has exited
    worker_kill,  // SIGKILL; restarted at the end of the step
    worker_pause, // SIGSTOP; SIGCONT at the end of the step
    worker_fail,  // answers the share `strength` of its requests with errors
    worker_hang,  // never answers the share `strength` of its requests
    worker_slow,  // takes 1 + 20 * `strength` times as long
    worker_shed,  // refuses the share `strength` of its requests before they run
    worker_reset, // resets the connection of the share `strength` of its requests
    path_cut,     // all bytes between two nodes wait until the end of the step, in both directions
    path_one_way, // all bytes from one node to another wait until the end of the step; the other direction works
    path_slow,    // delays every byte between two nodes by `strength` seconds
    path_lossy,   // the share `strength` of the segments between two nodes is lost, so that they arrive late
    path_reset,   // each segment between two nodes resets its connection with probability `strength`
    path_silent,  // connections open at this time between two nodes stop carrying data for good; new ones are not affected
    store_closed, // the configuration service closes connections
    store_silent, // the configuration service never answers
    store_stale,  // the configuration service answers with the value before the last change
    worker_limit, // states a rate limit of 4 * `strength` requests a second
    worker_leave, // states that it is leaving
    table_change, // publishes a new route table with one more route
};

struct fault_step {
    fault_kind kind = fault_kind::node_kill;
    std::chrono::milliseconds at{0};       // time after the start of the load
    std::chrono::milliseconds duration{0}; // zero for faults that are not undone
    std::size_t target = 0;                // index of the node, or of the node of the worker
    std::size_t peer = 0;                  // index of the other node, for faults of paths
    double strength = 0.0;                 // 0..1; its meaning depends on the kind
};

std::string_view kindName(fault_kind kind);                  // "node_kill", ...
absl::StatusOr<fault_kind> parseKind(std::string_view name); // inverse of kindName(); the error names the unknown text

// [SECTION] Plans

struct plan_options {
    std::uint64_t seed = 1;
    std::size_t nodes = 6;
    std::chrono::milliseconds length{15'000}; // time span in which all faults begin and end
    double stepsPerSecond = 0.8;
    std::vector<fault_kind> kinds{}; // faults to draw from; empty: all but worker_limit and worker_leave
    std::size_t herds = 0;           // times at which many nodes or workers are killed or paused at the same moment
};

struct fault_plan {
    std::uint64_t seed = 1;
    std::size_t nodes = 6;
    std::chrono::milliseconds length{0};
    std::vector<fault_step> steps; // sorted by time
};

fault_plan generatePlan(const plan_options &options);                                  // the same options always give the same plan
std::string formatPlan(const fault_plan &plan);                                        // a header line, then one line per step
std::string formatStep(const fault_step &step);                                        // without a newline at the end
absl::StatusOr<fault_plan> parsePlan(std::string_view text);                           // the error names the line number
fault_plan withoutSteps(const fault_plan &plan, std::size_t first, std::size_t count); // copy of the plan without `count` steps from index `first` on

} // namespace dandelionstall::soak
