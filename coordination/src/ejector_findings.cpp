#include "ejector_findings.h"

#include <algorithm>
#include <cmath>

namespace dandelionstall::coordination::detail {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds ReportTrustMs{2000}; // an older report is no ground for ejection

// Failures: log likelihood of "fails often" against "fails as its peers do".
constexpr double NormalFailureShare = 0.01; // least share expected of a healthy worker
constexpr double SickExtraShare = 0.29;     // share of failures beyond the peers' that marks a sick worker
constexpr double FailureEvidence = 6.0;     // log likelihood ratio that proves it
constexpr double StrictEvidence = 2.0;      // the same on trial
constexpr double ProbeEvidence = 3.0;       // added by a failing probe to failures of real work

// Slowness: run time against the peers', both relative to the cost of the routes.
constexpr double SlowFactor = 3.0;

// Stall: running work makes no progress. The more items, the sooner it is proven.
constexpr milliseconds StallProbeFailingMs{100}; // one item, and the probe fails too
constexpr milliseconds StallThreeItemsMs{300};
constexpr milliseconds StallTwoItemsMs{1500};
constexpr milliseconds StallOneItemMs{3000};

constexpr std::uint32_t PathFailures = 3; // attempts broken on the path with none coming back

// Faults are ranked by class first, then by degree within the class; a degree is below 1.
constexpr double StalledRank = 4.0;
constexpr double PathRank = 3.0;
constexpr double FailuresRank = 2.0;
constexpr double SlowRank = 1.0;

double medianOf(std::vector<double> &values, double otherwise)
{
    if (values.empty()) {
        return otherwise;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double failureEvidence(const worker_report &report, double peerShare)
{
    const double normal = std::clamp(peerShare, NormalFailureShare, 0.7);
    const double sick = normal + SickExtraShare;
    const double failures = (1.0 - report.successShare) * report.samples;
    const double successes = report.successShare * report.samples;
    const double evidence = failures * std::log(sick / normal) + successes * std::log((1.0 - sick) / (1.0 - normal));
    return evidence + (report.probeFailing && failures > 0.0 ? ProbeEvidence : 0.0);
}

milliseconds stallLimit(const worker_report &report)
{
    if (report.probeFailing) {
        return StallProbeFailingMs;
    }
    if (report.overdueCount >= 3) {
        return StallThreeItemsMs;
    }
    return report.overdueCount == 2 ? StallTwoItemsMs : StallOneItemMs;
}

bool isCut(const path_health &path)
{
    return !path.inboundUp || !path.outboundUp || (path.recentFailures >= PathFailures && path.recentSuccesses == 0);
}

// Maps a non-negative degree into 0..1, so that it orders workers within a class.
double squash(double degree)
{
    return degree / (1.0 + degree);
}

worker_finding examineReport(const worker_report &report, const peer_summary &peers, evidence_threshold level)
{
    if (report.longestOverdue >= stallLimit(report)) {
        return {ejection_reason::stalled, StalledRank + squash(std::chrono::duration<double>(report.longestOverdue).count()), true};
    }
    const double needed = level == evidence_threshold::strict ? StrictEvidence : FailureEvidence;
    const double evidence = failureEvidence(report, peers.failureShare);
    const bool guarded = report.risk >= 0.0; // its sidecar keeps work out as long as it is sick, and no longer
    if (!guarded && evidence >= needed) {
        return {ejection_reason::failures, FailuresRank + squash(1.0 - report.successShare), true};
    }
    const double relative = report.slowness / std::max(peers.slowness, 0.01);
    if (relative >= SlowFactor) {
        return {ejection_reason::slow, SlowRank + squash(relative), true};
    }
    return {ejection_reason::none, 0.0, true};
}

} // namespace

bool hasFreshReport(const worker_view &worker, state::time_point now)
{
    return worker.report.version != 0 && now - worker.reportReceivedAt <= ReportTrustMs;
}

peer_summary summarisePeers(const pool_view &view, state::time_point now)
{
    std::vector<double> shares;
    std::vector<double> slowness;
    for (const worker_view &worker : view.workers) {
        if (hasFreshReport(worker, now) && worker.report.samples > 0) {
            shares.push_back(1.0 - worker.report.successShare);
            slowness.push_back(worker.report.slowness);
        }
    }
    // A median over two workers would take the worse one as normal.
    const bool enough = shares.size() > 2;
    return {enough ? medianOf(shares, 0.0) : 0.0, enough ? medianOf(slowness, 1.0) : 1.0};
}

worker_finding evaluateWorker(const worker_view &worker, const path_health &path, const peer_summary &peers, evidence_threshold level, state::time_point now)
{
    const bool fresh = hasFreshReport(worker, now);
    worker_finding finding = fresh ? examineReport(worker.report, peers, level) : worker_finding{};
    if (isCut(path) && finding.severity < PathRank) {
        return {ejection_reason::path, PathRank, fresh};
    }
    return finding;
}

} // namespace dandelionstall::coordination::detail
