// The fleets that a soak can run, and their load.
//
//   one service    every node has a worker of "orders"
//   two services   (call_options) the runs of "orders" call "stock", five nodes of seven have a worker of "orders"; both pools have a retry allowance
#pragma once

#include "fault_plan.h"

#include <fleet.h>
#include <retry_check.h>

#include <optional>

namespace dandelionstall::soak {

// Two services whose repeats are limited.
struct call_options {
    std::uint32_t perRun = 1;        // calls that each run of "orders" makes
    std::uint32_t slots = 3;         // of each worker
    double extra = 56.0;             // repeats allowed beyond the share of the requests, see state::retry_allowance
    std::chrono::seconds window{10}; // of the allowance
    double share = 0.2;              // repeats allowed per request
    double failing = 0.3;            // share of the runs that end with an error, at all workers, so that there is much to repeat
};

testing::fleet_plan planFleet(const fault_plan &plan, const std::optional<call_options> &calls);
std::string loadText(std::chrono::seconds length, double rate, bool hasCalls); // load profile, without its head

standins::repeat_limit limitOf(const call_options &calls);

// What callers and workers of two services have seen.
standins::retry_traffic trafficOf(const testing::fleet_plan &plan, const standins::check_input &observed);

} // namespace dandelionstall::soak
