// The two deployments at their current sizes, as fleets of real processes, and the sets of policies that are compared.
#pragma once

#include "fleet.h"

#include <string>
#include <vector>

namespace dandelionstall::measures {

struct site_pool {
    std::string name;          // name of the pool
    std::uint32_t workers = 1; // number of workers, each with its own node
};

// One deployment.
struct site {
    std::string name;                     // name in the output
    std::vector<std::string> dataCentres; // names of the data centres
    std::vector<site_pool> pools;         // the first one is measured
    std::uint32_t slots = 3;              // slots per worker
    double delayMs = 4;                   // one-way delay between data centres
    double callerDelayMs = 8;             // one-way delay between nodes and callers
    double costFactor = 1;                // multiplier of all run times, so that one machine can generate three times the capacity
};

// Policies under which an experiment runs.
struct policy_set {
    std::string name;                            // "baseline" or "chosen"
    std::map<std::string, std::string> settings; // keys and values in each pool's section of the pool table
};

const std::vector<site> &allSites();                                                            // the deployments kiambu and vaga
const std::vector<policy_set> &allPolicies();                                                   // the sets baseline and chosen
testing::fleet_plan planSite(const site &site, const policy_set &policies, std::uint64_t seed); // plans one node per worker
std::string pathRules(const site &site, testing::fleet &fleet, double jitterMs, double loss);   // returns the rules of the fault proxy as JSON
std::uint32_t measuredSlots(const site &site);                                                  // number of slots of the measured pool

} // namespace dandelionstall::measures
