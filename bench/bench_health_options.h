// Deployments, faults and settings of a run of bench_health.
#pragma once

#include <dandelionstall/coordination/pool_view.h>

#include <chrono>
#include <string>
#include <vector>

namespace bench_health {

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using std::chrono::microseconds;
using std::chrono::milliseconds;

struct deployment {
    std::string pool;
    int workers = 0;
    std::uint32_t slots = 0;
    int dataCentres = 0;
    milliseconds oneWay{0}; // between data centres
};

inline const std::vector<deployment> deployments{
    {"dressing-order", 15, 3, 3, milliseconds{4}},
    {"catalogue", 6, 3, 3, milliseconds{4}},
    {"tagdesk", 23, 5, 4, milliseconds{5}},
    {"baykeeper", 8, 5, 4, milliseconds{5}},
};

enum class worker_fault {
    none,
    dead,       // takes no connections; probes fail
    silent,     // takes work and never answers; probes fail
    half_alive, // takes work and never answers; probes succeed
    gray,       // fails 30 % of its work; probes succeed
    slow,       // runs 5 times as long; probes succeed
};

enum class evidence_source {
    shared,      // sidecars report to all observers
    per_ingress, // each observer knows only the outcomes of its own requests
};

struct fleet_options {
    deployment place;
    std::string balancer = "least_wait";
    std::string ejector = "peer_outlier";
    evidence_source source = evidence_source::shared;
    microseconds spacing{300000};  // mean time between two requests at one worker
    milliseconds cost{50};         // mean run time of short work
    double stragglerShare = 0.005; // of short work, runs StragglerFactor times as long; nothing tells beforehand
    double longShare = 0.0;        // of work that is known to be long
    double loss = 0.02;            // of reports between data centres
    double spikeShare = 0.01;      // of reports that are late by Spike
    bool hints = true;             // the table has costs
};

inline constexpr double StragglerFactor = 20.0;
inline constexpr double LongFactor = 20.0;
inline constexpr double GrayFailureShare = 0.3;
inline constexpr double SlowFault = 5.0;
inline constexpr milliseconds Step{5};
inline constexpr milliseconds ReportPeriod{200};
inline constexpr milliseconds JudgePeriod{100};
inline constexpr milliseconds ProbePeriod{250};
inline constexpr milliseconds JitterMean{3};
inline constexpr milliseconds Spike{300};
inline constexpr milliseconds Timeout{2000};

} // namespace bench_health
