// Deployments, faults and settings of the runs of bench_health.
#pragma once

#include <dandelionstall/coordination/health/pool_view.h>

#include <chrono>
#include <string>
#include <vector>

namespace bench_health {

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using std::chrono::microseconds;
using std::chrono::milliseconds;

// One pool of a deployment.
struct deployment {
    std::string pool;        // name of the pool
    int workers = 0;         // number of workers, each with its own node
    std::uint32_t slots = 0; // slots per worker
    int dataCentres = 0;     // number of data centres that the workers are in
    milliseconds oneWay{0};  // one-way delay between data centres
};

inline const std::vector<deployment> deployments{
    {"dressing-order", 15, 3, 3, milliseconds{4}},
    {"catalogue", 6, 3, 3, milliseconds{4}},
    {"tagdesk", 23, 5, 4, milliseconds{5}},
    {"baykeeper", 8, 5, 4, milliseconds{5}},
};

// Injected fault of a worker.
enum class worker_fault {
    none,
    dead,                     // refuses connections; probes fail
    unresponsive,             // accepts requests and never answers; probes fail
    unresponsive_probes_pass, // accepts requests and never answers; probes succeed
    partial_failures,         // fails 30 % of its requests; probes succeed
    slow,                     // runs 5 times as long; probes succeed
};

// Source of the evidence of faults that observers use.
enum class evidence_source {
    shared,       // from the reports of the sidecars
    per_observer, // from the outcomes of the requests that the observer itself has sent
};

struct fleet_options {
    deployment place;                                 // simulated pool
    std::string balancer = "least_wait";              // name of the balancer policy
    std::string ejector = "peer_outlier";             // name of the ejector policy
    evidence_source source = evidence_source::shared; // evidence that the ejectors use
    microseconds spacing{300000};                     // mean time between two requests per worker
    milliseconds cost{50};                            // mean run time of short requests
    double stragglerShare = 0.005;                    // share of short requests that run StragglerFactor times as long, without a hint beforehand
    double longShare = 0.0;                           // share of requests that are known to be long
    double loss = 0.02;                               // share of reports between data centres that are lost
    double spikeShare = 0.01;                         // share of reports that are delayed by Spike
    bool hints = true;                                // the route table contains cost hints
};

inline constexpr double StragglerFactor = 20.0;      // multiple of the run time of a short request
inline constexpr double LongFactor = 20.0;           // mean run time of long requests as a multiple of short ones
inline constexpr double PartialFailureShare = 0.3;   // failed share with worker_fault::partial_failures
inline constexpr double SlowFactor = 5.0;            // multiple of the run time with worker_fault::slow
inline constexpr milliseconds Step{5};               // simulated time per step
inline constexpr milliseconds ReportPeriod{200};     // time between two reports of a sidecar
inline constexpr milliseconds EvaluationPeriod{100}; // time between two evaluations of an observer
inline constexpr milliseconds ProbePeriod{250};      // time between two health probes of a worker
inline constexpr milliseconds JitterMean{3};         // mean additional delay of a report
inline constexpr milliseconds Spike{300};            // additional delay of the reports selected by fleet_options::spikeShare
inline constexpr milliseconds Timeout{2000};         // timeout of short requests; that of long requests is five times as long

} // namespace bench_health
