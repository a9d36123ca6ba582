// The two deployments at their sizes of today, as fleets of real processes, and the policies compared on them.
#pragma once

#include "fleet.h"

#include <string>
#include <vector>

namespace dandelionstall::measures {

struct site_pool {
    std::string name;
    std::uint32_t workers = 1;
};

struct site {
    std::string name;
    std::vector<std::string> dataCentres;
    std::vector<site_pool> pools; // the first one is measured
    std::uint32_t slots = 3;
    double delayMs = 4;       // one way, between data centres
    double callerDelayMs = 8; // one way, to callers
    double costFactor = 1;    // of the run times, so that one machine carries three times the capacity
};

struct policy_set {
    std::string name;
    std::map<std::string, std::string> settings; // keys of the pool table
};

const std::vector<site> &allSites();                                                            // kiambu, vaga
const std::vector<policy_set> &allPolicies();                                                   // baseline, chosen
testing::fleet_plan planSite(const site &site, const policy_set &policies, std::uint64_t seed); // one worker beside each node
std::string pathRules(const site &site, testing::fleet &fleet, double jitterMs, double loss);   // rules of the fault proxy
std::uint32_t measuredSlots(const site &site);                                                  // of the measured pool

} // namespace dandelionstall::measures
