// What speaks against one worker at one moment, compared with its peers. Used by the "peer_outlier" ejector.
#pragma once

#include <dandelionstall/coordination/ejector.h>

namespace dandelionstall::coordination::detail {

// Typical values of the pool's workers with fresh reports.
struct peer_summary {
    double failureShare = 0.0; // median
    double slowness = 1.0;     // median
};

// The strongest fault of a worker; a severity of zero means none.
struct worker_finding {
    ejection_reason fault = ejection_reason::none;
    double severity = 0.0;
    bool fresh = false; // the report is recent enough to be judged
};

// How much evidence is demanded: a worker on trial gets less patience.
enum class evidence_threshold {
    normal, // in full use
    strict, // on trial after an ejection
};

bool hasFreshReport(const worker_view &worker, state::time_point now);
peer_summary summarisePeers(const pool_view &view, state::time_point now);
worker_finding evaluateWorker(const worker_view &worker, const path_health &path, const peer_summary &peers, evidence_threshold level, state::time_point now);

} // namespace dandelionstall::coordination::detail
