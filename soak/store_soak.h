// Runs one soak on the platform's store: plays a plan against real processes, with a caller at each node, and checks the promises.
//
// Besides the plan, the driver does what operator and workers do: workers write their entries every RewriteTime / 2, and so does the
// operator with the configuration, so that both write again what the store has lost.
#pragma once

#include "store_plan.h"
#include "store_verdict.h"

namespace dandelionstall::soak {

struct store_soak_result {
    std::size_t calls = 0;
    std::size_t served = 0;
    std::size_t rewinds = 0;
    std::vector<standins::violation> broken; // promises that were broken; empty when all hold
    std::string logs;                        // logs of the nodes; empty when no promise was broken
};

// Throws when the fleet cannot be started. A store that does not name its era misleads the fleet, so that promises must be broken.
store_soak_result runStoreSoak(const store_plan &plan, bool namesEra = true);

} // namespace dandelionstall::soak
