// Sidecar: reports on the local workers to the rest of the fleet.
#include "sidecar.h"

#include <dandelionstall/transport/events.h>

#include <algorithm>
#include <utility>

namespace dandelionstall {

using coordination::worker_report;

namespace {

constexpr std::chrono::milliseconds LoadReportInterval{300}; // between two reports to the control thread without a sharp change

} // namespace

// Logs one line when the guard starts to withhold work from the worker, and one when it stops.
void sidecar::logSuspicionChange(served_worker &worker, state::time_point now)
{
    const bool suspected = !worker.guard->admits({{}, false, false}, now);
    if (std::exchange(worker.loggedSuspected, suspected) != suspected) {
        transport::logEvent(transport::event::worker_doubtful,
                            {{"worker", worker.settings.id}, {"doubtful", suspected ? "yes" : "no"}, {"risk", std::to_string(worker.guard->risk(now))}});
    }
}

worker_report sidecar::makeReport(const served_worker &worker, state::time_point now) const
{
    worker_report report;
    report.worker = worker.settings.id;
    report.pool = worker.settings.pool;
    report.node = m_settings.advertiseAddress;
    // m_incarnation may be lower than the one known to the fleet if the system clock was set back.
    report.incarnation = m_snapshot ? std::max(m_incarnation, m_snapshot->selfIncarnation) : m_incarnation;
    report.version = worker.reportVersion;
    if (worker.admission) {
        const coordination::admission_load load = worker.admission->load(now);
        report.slots = worker.slots;
        report.busy = load.busy;
        report.queued = load.queued;
        report.expectedWait = load.expectedWait;
    }
    worker.outcomeTracker->fillReport(report, now);
    report.risk = worker.guard->risk(now);
    report.leaving = refusesWork(worker);
    report.workerLeaving = statesLeaving(worker);
    report.lifetime = worker.lifetime;
    report.limit = worker.limit.knowledge();
    if (const coordination::rate_gate *gate = worker.limit.gate()) {
        report.rateLimit = gate->rate();
        report.roomAfter = std::chrono::duration_cast<std::chrono::microseconds>(gate->roomAt(now, report.queued) - now);
        report.expectedWait = std::max(report.expectedWait, report.roomAfter);
    }
    return report;
}

void sidecar::publishReports()
{
    const state::time_point now = state::clock::now();
    std::vector<worker_report> reports;
    reports.reserve(m_workers.size());
    for (auto &[id, worker] : m_workers) {
        logSuspicionChange(worker, now);
        ++worker.reportVersion;
        worker_report report = makeReport(worker, now);
        if (now >= worker.nextLoadReportAt || coordination::isSharpChange(worker.lastReport, report)) {
            worker.nextLoadReportAt = now + LoadReportInterval;
            worker.lastReport = report;
            reports.push_back(std::move(report));
        }
    }
    if (!reports.empty()) {
        m_reportSink(std::move(reports));
    }
}

void sidecar::logOrganisationRuns(state::time_point now)
{
    if (now < m_nextUseLines) {
        return;
    }
    m_nextUseLines = now + coordination::UseLinePeriod;
    for (const coordination::organisation_count &count : m_organisationUse.consumeBusiest(coordination::UseLines)) {
        logEvent(transport::event::organisation_runs, {{"organisation", count.organisation}, {"started", std::to_string(count.started)}});
    }
}

} // namespace dandelionstall
