// What a soak does to a fleet and when: drawn from a seed, written as text, read back for a replay. Pure.
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
    node_kill,    // SIGKILL; started again at the end
    node_pause,   // SIGSTOP, then SIGCONT
    node_stop,    // SIGTERM; started again once it has ended
    worker_kill,  // SIGKILL; started again at the end
    worker_pause, // SIGSTOP, then SIGCONT
    worker_fail,  // answers this share of its work with errors
    worker_hang,  // never answers this share
    worker_slow,  // takes 1 + 20 times this share as long
    worker_shed,  // refuses this share before it runs
    worker_reset, // resets the connection of this share
    path_cut,     // between two nodes, both ways; bytes wait
    path_one_way, // from one node to another only
    path_slow,    // every byte between two nodes is delayed by this share of a second
    path_lossy,   // between two nodes; lost segments come late
    path_reset,   // this share of the segments resets its connection
    path_silent,  // open connections between two nodes never carry a byte again
    store_closed, // the configuration service closes connections
    store_silent, // it never answers
    store_stale,  // it answers with the value before the last change
    table_change, // operators write a route table with a further route
};

struct fault_step {
    fault_kind kind = fault_kind::node_kill;
    std::chrono::milliseconds at{0};    // after the start of the load
    std::chrono::milliseconds lasts{0}; // until it is undone; zero for what is not undone
    std::size_t target = 0;             // index of the node, or of the node whose worker it is
    std::size_t peer = 0;               // index of the other node of a path
    double strength = 0.0;              // share, 0..1
};

std::string_view kindName(fault_kind kind); // "node_kill", ...

// [SECTION] Plans

struct plan_options {
    std::uint64_t seed = 1;
    std::size_t nodes = 6;
    std::chrono::milliseconds length{15'000}; // in which faults begin and end
    double stepsPerSecond = 0.8;
};

struct fault_plan {
    std::uint64_t seed = 1;
    std::size_t nodes = 6;
    std::chrono::milliseconds length{0};
    std::vector<fault_step> steps; // by time
};

fault_plan drawPlan(const plan_options &options);                                      // the same options give the same plan
std::string formatPlan(const fault_plan &plan);                                        // one line each
std::string formatStep(const fault_step &step);                                        // without line end
absl::StatusOr<fault_plan> parsePlan(std::string_view text);                           // error names the line
fault_plan withoutSteps(const fault_plan &plan, std::size_t first, std::size_t count); // for shrinking

} // namespace dandelionstall::soak
