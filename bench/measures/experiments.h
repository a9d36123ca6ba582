// Experiments with fleets of real processes. Each one applies the same seeded traffic to every set of policies.
//
//   detection          time from the start of a fault until half of the nodes, and nine tenths of them, show the worker as
//                      ejected or unreachable; 8 s when that does not happen
//   false_ejections    number of healthy workers that any node shows as ejected, under jitter and loss and while the process
//                      of one node is paused
//   crest              worth answered in time while the load is three times the capacity, as a share of the achievable worth
//   short_behind_long  99th percentile latency of short requests with stragglers a hundred times as long, divided by that
//                      without stragglers
#pragma once

#include "site.h"

namespace dandelionstall::measures {

// Result of one run of an experiment.
struct measurement {
    std::string measure;    // name of the experiment, as above
    std::string site;       // name of the deployment
    std::string policy;     // name of the set of policies
    std::string variant;    // fault or condition
    std::uint64_t seed = 0; // seed of the run
    double value = 0.0;     // result in `unit`
    std::string unit;       // "ms", "workers", "share" or "ratio"
};

// Deployment, policies and seed of one run.
struct experiment {
    const site &place;
    const policy_set &policies;
    std::uint64_t seed = 1;
};

std::vector<measurement>
measureDetection(const experiment &setup, const std::string &variant, const std::string &fault); // fault: lines for the stand-in worker, or "killed"
measurement measureFalseEjections(const experiment &setup);
measurement measurePeakLoad(const experiment &setup);
measurement measureShortBehindLong(const experiment &setup);

} // namespace dandelionstall::measures
