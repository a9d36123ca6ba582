// The four measures as experiments with real processes, each on the same seeded traffic for every policy.
//
//   detection       time from the start of a fault until half of the nodes, and until nine tenths of them, show the worker as
//                   out of use; the cap when that does not come about
//   false ejections healthy workers shown as ejected by any node, under jitter and loss and while one node is paused
//   crest           worth answered in time at three times the capacity, as a share of the achievable worth
//   short behind long  p99 of short work with stragglers a hundred times as long, over the p99 without
#pragma once

#include "site.h"

namespace dandelionstall::measures {

struct measurement {
    std::string measure;
    std::string site;
    std::string policy;
    std::string variant; // fault or condition
    std::uint64_t seed = 0;
    double value = 0.0;
    std::string unit;
};

struct experiment {
    const site &place;
    const policy_set &policies;
    std::uint64_t seed = 1;
};

std::vector<measurement> measureDetection(const experiment &setup, const std::string &variant, const std::string &fault); // fault lines of the stand-in worker
measurement measureFalseEjections(const experiment &setup);
measurement measureCrest(const experiment &setup);
measurement measureShortBehindLong(const experiment &setup);

} // namespace dandelionstall::measures
