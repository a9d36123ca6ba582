// Ingress: what answers have told this node about workers, and what it may send them.
#include "ingress.h"

#include <dandelionstall/transport/events.h>

#include <fmt/format.h>

#include <algorithm>

namespace dandelionstall {

using coordination::told_change;
using coordination::told_signals;
using transport::event;
using transport::logEvent;

namespace {

void logTold(const coordination::told_events &events, transport::metrics &metrics)
{
    for (const coordination::told_event &each : events) {
        switch (each.change) {
        case told_change::limit:
            metrics.incrementCounter("told_limits");
            logEvent(event::told_limit, {{"worker", each.worker}, {"rate", fmt::to_string(each.rate)}});
            break;
        case told_change::limit_ended:
            metrics.incrementCounter("told_limits_ended");
            logEvent(event::told_limit_ended, {{"worker", each.worker}});
            break;
        case told_change::leaving:
            metrics.incrementCounter("told_leaving");
            logEvent(event::told_leaving, {{"worker", each.worker}});
            break;
        case told_change::leaving_ended:
            break;
        }
    }
}

} // namespace

void ingress::recordReports(const std::vector<coordination::worker_report> &reports)
{
    if (reports.empty()) {
        return;
    }
    const state::time_point now = state::clock::now();
    const coordination::told_events events = m_told.access([&](told_signals &told) {
        coordination::told_events all;
        for (const coordination::worker_report &report : reports) {
            const coordination::told_events each = told.recordReport(report, now);
            all.insert(all.end(), each.begin(), each.end());
        }
        return all;
    });
    logTold(events, m_metrics);
    m_events.reports(reports);
}

void ingress::recordSignals(const coordination::worker_identity &who, const protocol::worker_signals &signals)
{
    logTold(m_told.access([&](told_signals &told) { return told.recordAnswer(who, signals.rateLimit, signals.leaving, state::clock::now()); }), m_metrics);
}

void ingress::endEarlierLifetimes(const state::pool_table &pools)
{
    logTold(m_told.access([&](told_signals &told) { return told.applyTable(pools, state::clock::now()); }), m_metrics);
}

std::vector<std::string> ingress::barredWorkers(const coordination::pool_view &view)
{
    const state::time_point now = state::clock::now();
    return m_told.access([&](const told_signals &told) {
        std::vector<std::string> barred;
        for (const coordination::worker_view &worker : view.workers) {
            if (!told.mayUse(worker.id, now) || coordination::rateRoomAt(worker) > now) {
                barred.push_back(worker.id);
            }
        }
        return barred;
    });
}

std::optional<state::time_point> ingress::promiseRoom(const coordination::pool_view &view)
{
    const state::time_point now = state::clock::now();
    return m_told.access([&](told_signals &told) {
        const auto roomAt = [&](const coordination::worker_view &worker) {
            return std::max(told.roomAt(worker.id, now), coordination::rateRoomAt(worker));
        };
        const coordination::worker_view *first = nullptr;
        for (const coordination::worker_view &worker : view.workers) {
            const bool waits = coordination::isUsable(worker) && !told.isLeaving(worker.id, now) && roomAt(worker) > now;
            first = waits && (first == nullptr || roomAt(worker) < roomAt(*first)) ? &worker : first;
        }
        return first == nullptr ? std::nullopt : std::optional(std::max(told.promiseRoom(first->id, now), coordination::rateRoomAt(*first)));
    });
}

std::optional<coordination::told_limit> ingress::toldLimit(const std::string &worker)
{
    return m_told.access([&](const told_signals &told) { return told.limitOf(worker); });
}

void ingress::recordSent(const std::string &worker)
{
    m_told.access([&](told_signals &told) { told.recordSent(worker, state::clock::now()); });
}

void ingress::recordNotArrived(const std::string &worker)
{
    m_told.access([&](told_signals &told) { told.recordRefused(worker); });
}

} // namespace dandelionstall
