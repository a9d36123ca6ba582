// Fault plans for a fleet on the platform's store, which comes back from older copies. A plan is generated from a seed. The functions
// have no side effects.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dandelionstall::soak {

enum class store_fault {
    rewind,       // the store comes back from a copy of the step's age
    configure,    // the operator writes the next version of the configuration
    worker_leave, // a worker announces that it is leaving; at the end of the step another one takes its address
    node_kill,    // SIGKILL; restarted at the end of the step
    node_stop,    // SIGTERM; restarted as soon as the process has exited
    refuse,       // the store refuses the calls of one node until the end of the step
};

struct store_step {
    store_fault kind = store_fault::rewind;
    std::chrono::milliseconds at{0};       // time after the start of the load
    std::chrono::milliseconds duration{0}; // zero for faults that are not undone
    std::chrono::milliseconds age{0};      // of the copy, for store_fault::rewind
    std::size_t target = 0;                // index of the node, or of the node of the worker
};

struct store_plan {
    std::uint64_t seed = 1;
    std::chrono::milliseconds length{0};
    std::vector<store_step> steps; // sorted by time
};

store_plan generateStorePlan(std::uint64_t seed, std::chrono::milliseconds length, std::size_t nodes); // the same values always give the same plan
std::string formatStoreStep(const store_step &step);                                                   // without a newline at the end

} // namespace dandelionstall::soak
