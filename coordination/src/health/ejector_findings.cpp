#include "ejector_findings.h"

#include <algorithm>
#include <cmath>

namespace dandelionstall::coordination::detail {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds MaxReportAgeMs{2000}; // reports older than this do not cause an ejection

// Failures: log likelihood ratio of "fails more often than its peers" to "fails as often as its peers".
constexpr double NormalFailureShare = 0.01;  // minimum share of failures expected of a healthy worker
constexpr double UnhealthyExtraShare = 0.29; // excess over the failure share of the peers that is expected of an unhealthy worker
constexpr double FailureEvidence = 6.0;      // log likelihood ratio that ejects a worker
constexpr double StrictEvidence = 2.0;       // log likelihood ratio that ejects a worker on probation after an ejection
constexpr double ProbeEvidence = 3.0;        // added when requests fail and the latest probe failed as well

// Slowness: ratio of the worker's slowness to the median of its peers; both are relative to the cost of the routes.
constexpr double SlowFactor = 3.0;

// Stall: overdue time of in-flight requests that ejects a worker. It is shorter when more requests are overdue.
constexpr milliseconds StallProbeFailingMs{100}; // limit when the latest probe has failed as well; one overdue request is enough
constexpr milliseconds StallThreeItemsMs{300};
constexpr milliseconds StallTwoItemsMs{1500};
constexpr milliseconds StallOneItemMs{3000};

constexpr std::uint32_t PathFailures = 3; // number of failed attempts, without a recent successful one, from which a path counts as broken

// A severity is the rank of the kind of fault plus a degree below 1 that orders workers with the same kind of fault.
constexpr double StalledRank = 4.0;
constexpr double PathRank = 3.0;
constexpr double FailuresRank = 2.0;
constexpr double SlowRank = 1.0;

double medianOf(std::vector<double> &values, double fallback)
{
    if (values.empty()) {
        return fallback;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

double failureEvidence(const worker_report &report, double peerShare)
{
    const double normal = std::clamp(peerShare, NormalFailureShare, 0.7);
    const double unhealthy = normal + UnhealthyExtraShare;
    const double failures = (1.0 - report.successShare) * report.samples;
    const double successes = report.successShare * report.samples;
    const double evidence = failures * std::log(unhealthy / normal) + successes * std::log((1.0 - unhealthy) / (1.0 - normal));
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

bool isBroken(const path_health &path)
{
    return !path.inboundUp || !path.outboundUp || (path.recentFailures >= PathFailures && path.recentSuccesses == 0);
}

// Maps a non-negative degree to 0..1, so that it orders workers within one kind of fault.
double mapToUnitInterval(double degree)
{
    return degree / (1.0 + degree);
}

worker_finding examineReport(const worker_report &report, const peer_summary &peers, evidence_threshold level)
{
    if (report.longestOverdue >= stallLimit(report)) {
        return {ejection_reason::stalled, StalledRank + mapToUnitInterval(std::chrono::duration<double>(report.longestOverdue).count()), true};
    }
    const double needed = level == evidence_threshold::strict ? StrictEvidence : FailureEvidence;
    const double evidence = failureEvidence(report, peers.failureShare);
    // A failure guard refuses work exactly as long as the worker is unhealthy, so that failures need no ejection.
    const bool guarded = report.risk >= 0.0;
    if (!guarded && evidence >= needed) {
        return {ejection_reason::failures, FailuresRank + mapToUnitInterval(1.0 - report.successShare), true};
    }
    const double relative = report.slowness / std::max(peers.slowness, 0.01);
    if (relative >= SlowFactor) {
        return {ejection_reason::slow, SlowRank + mapToUnitInterval(relative), true};
    }
    return {ejection_reason::none, 0.0, true};
}

} // namespace

bool hasFreshReport(const worker_view &worker, state::time_point now)
{
    return worker.report.version != 0 && now - worker.reportReceivedAt <= MaxReportAgeMs;
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
    // With two workers the median would be the value of the worse one.
    const bool enoughPeers = shares.size() > 2;
    return {enoughPeers ? medianOf(shares, 0.0) : 0.0, enoughPeers ? medianOf(slowness, 1.0) : 1.0};
}

worker_finding evaluateWorker(const worker_view &worker, const path_health &path, const peer_summary &peers, evidence_threshold level, state::time_point now)
{
    const bool fresh = hasFreshReport(worker, now);
    worker_finding finding = fresh ? examineReport(worker.report, peers, level) : worker_finding{};
    if (isBroken(path) && finding.severity < PathRank) {
        return {ejection_reason::path, PathRank, fresh};
    }
    return finding;
}

} // namespace dandelionstall::coordination::detail
