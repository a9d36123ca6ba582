// Sidecar: what the local workers state in their answers, their rate limit and that they are leaving.
#include "sidecar.h"

#include <dandelionstall/transport/events.h>

#include <fmt/format.h>

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
    logLimitChange(worker, change, "answer");
    if (signals.leaving && !worker.statesLeaving) {
        worker.statesLeaving = true;
        m_metrics.incrementCounter("workers_leaving_stated");
        logEvent(event::worker_states_leaving, {{"worker", worker.settings.id}, {"lifetime", fmt::to_string(worker.lifetime)}});
    }
}

void sidecar::beginLifetime(served_worker &worker, std::uint64_t lifetime)
{
    if (worker.lifetime == lifetime) {
        return;
    }
    worker.lifetime = lifetime;
    worker.statesLeaving = false;
    logLimitChange(worker, worker.limit.forget(), "lifetime");
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

} // namespace dandelionstall
