// Runs one soak: plays a plan of faults against a fleet of real processes under load, and checks the promises every few
// seconds.
#pragma once

#include "deployment.h"
#include "report.h"
#include "soak_fleet.h"

namespace dandelionstall::soak {

struct soak_options {
    double rate = 80.0;                // requests per second
    std::optional<call_options> calls; // two services instead of one
    std::optional<deployment> played;  // a deployment at its true size and load, on the platform's store
    behaviour how;                     // of its callers and workers
};

soak_result runSoak(const fault_plan &plan, const soak_options &options); // throws when the fleet cannot be started

} // namespace dandelionstall::soak
