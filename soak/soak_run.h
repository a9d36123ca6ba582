// One soak: a fleet of real processes under load while a plan of faults is played, checked every few seconds.
#pragma once

#include "report.h"

namespace dandelionstall::soak {

struct soak_options {
    double rate = 80.0; // requests a second
};

soak_result runSoak(const fault_plan &plan, const soak_options &options); // throws when the fleet cannot be started

} // namespace dandelionstall::soak
