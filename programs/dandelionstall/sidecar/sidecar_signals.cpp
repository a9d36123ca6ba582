// Sidecar: what the local workers state in their answers, their rate limit and that they are leaving.
#include "sidecar.h"

#include <dandelionstall/transport/events.h>

#include <fmt/format.h>

#include <algorithm>

namespace dandelionstall {

using coordination::limit_change;
using transport::event;
using transport::logEvent;

void sidecar::recordSignals(served_worker &worker, const protocol::worker_signals &signals, bool mayLift, state::time_point requestedAt)
{
    const state::time_point now = state::clock::now();
    if (!signals.invalid.empty()) {
        m_metrics.incrementCounter("worker_signals_invalid");
        logEvent(event::signal_invalid, {{"worker", worker.settings.id}, {"value", signals.invalid}});
    }
    const limit_change change = worker.limit.recordAnswer({signals.rateLimit, mayLift && signals.invalid.empty(), requestedAt}, now);
    applyLimitChange(worker, change, "answer");
    const bool begins = signals.leaving && !statesLeaving(worker);
    if (signals.leaving) {
        worker.leavingUntil = coordination::leavingUntil(worker.lifetime, now);
    }
    if (begins) {
        m_metrics.incrementCounter("workers_leaving_stated");
        logEvent(event::worker_states_leaving, {{"worker", worker.settings.id}, {"lifetime", fmt::to_string(worker.lifetime)}});
        updateDraining(worker);
    }
}

bool sidecar::statesLeaving(const served_worker &worker) const
{
    return worker.leavingUntil > state::clock::now();
}

void sidecar::adoptLimit(served_worker &worker, const protocol::attempt_head &head)
{
    if (head.statedRate && head.lifetime >= worker.lifetime) {
        applyLimitChange(worker, worker.limit.adopt(*head.statedRate, state::clock::now()), "attempt");
    }
}

void sidecar::beginLifetime(served_worker &worker, std::uint64_t lifetime)
{
    if (worker.lifetime == lifetime) {
        return;
    }
    worker.lifetime = lifetime;
    worker.leavingUntil = {};
    applyLimitChange(worker, worker.limit.forget(), "lifetime");
}

void sidecar::applyLimitChange(served_worker &worker, limit_change change, std::string_view source)
{
    if (change == limit_change::none) {
        return;
    }
    logLimitChange(worker, change, source);
    refuseQueuedBeyondLimit(worker);
    publishReports();
}

void sidecar::logLimitChange(const served_worker &worker, limit_change change, std::string_view source)
{
    switch (change) {
    case limit_change::none:
        return;
    case limit_change::lifted:
        m_metrics.incrementCounter("worker_limits_lifted");
        logEvent(event::limit_lifted, {{"worker", worker.settings.id}, {"source", std::string(source)}});
        return;
    case limit_change::learned:
    case limit_change::changed:
        m_metrics.incrementCounter("worker_limits_learned");
        logEvent(event::limit_learned,
                 {{"worker", worker.settings.id}, {"rate", fmt::to_string(worker.limit.gate()->rate())}, {"source", std::string(source)}});
        return;
    }
}

// [SECTION] Room

bool sidecar::hasRoomInQueue(const served_worker &worker, state::time_point now) const
{
    return worker.limit.gate() == nullptr || worker.limit.room(now) > worker.admission->load(now).queued;
}

// Refuses queued attempts for which the limit has no room now, the latest first: other workers may have room.
void sidecar::refuseQueuedBeyondLimit(served_worker &worker)
{
    const state::time_point now = state::clock::now();
    if (worker.limit.gate() == nullptr || !worker.admission) {
        return;
    }
    std::vector<std::pair<state::time_point, state::attempt_id>> queued;
    for (const auto &[id, attempt] : m_attempts) {
        if (!attempt.started && attempt.stream->head().worker == worker.settings.id) {
            queued.emplace_back(attempt.arrivedAt, id);
        }
    }
    std::sort(queued.begin(), queued.end());
    for (std::size_t i = worker.limit.room(now); i < queued.size(); ++i) {
        const coordination::admission_actions actions = worker.admission->cancel(queued[i].second, now);
        refuseAttempt(queued[i].second, coordination::refusal_reason::worker_limited, coordination::run_state::not_run, worker.limit.promiseRoom(now));
        applyActions(worker, actions);
    }
}

void sidecar::recordLimitedStart(served_worker &worker, const protocol::attempt_head &head, state::time_point now)
{
    if (worker.limit.gate() == nullptr) {
        return;
    }
    worker.limit.recordStart(now);
    m_metrics.incrementCounter("limited_attempts_started");
    logEvent(event::limit_applied,
             {{"request", requestId(head)},
              {"attempt", state::formatAttemptId(head.id)},
              {"worker", head.worker},
              {"rate", fmt::to_string(worker.limit.gate()->rate())},
              {"room", fmt::to_string(worker.limit.room(now))}});
}

} // namespace dandelionstall
