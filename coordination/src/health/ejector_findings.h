// Finds the most severe fault of a worker by comparing it with its peers. Used by the "peer_outlier" ejector.
#pragma once

#include <dandelionstall/coordination/health/ejector.h>

namespace dandelionstall::coordination::detail {

// Typical values of the pool's workers that have fresh reports.
struct peer_summary {
    double failureShare = 0.0; // median share of failed requests, 0..1
    double slowness = 1.0;     // median slowness; see worker_report
};

// The most severe fault of a worker; a severity of zero means that there is none.
struct worker_finding {
    ejection_reason fault = ejection_reason::none;
    double severity = 0.0;
    bool fresh = false; // the report is recent enough to be evaluated
};

// How much evidence an ejection needs: less for a worker on probation.
enum class evidence_threshold {
    normal, // for workers in full use
    strict, // for workers on probation after an ejection
};

bool hasFreshReport(const worker_view &worker, state::time_point now);
peer_summary summarisePeers(const pool_view &view, state::time_point now);
worker_finding evaluateWorker(const worker_view &worker, const path_health &path, const peer_summary &peers, evidence_threshold level, state::time_point now);

} // namespace dandelionstall::coordination::detail
