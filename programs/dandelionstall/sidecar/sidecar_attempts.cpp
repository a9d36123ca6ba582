// Sidecar: checks, records and admission of attempts. Execution: sidecar_execution.cpp. Outcomes: sidecar_outcomes.cpp.
#include "sidecar.h"
#include "wall_clock.h"

#include <algorithm>

namespace dandelionstall {

using coordination::refusal_reason;
using coordination::run_state;

// [SECTION] Arrival

void sidecar::handleAttempt(const std::shared_ptr<attempt_stream> &stream)
{
    const state::time_point now = state::clock::now();
    const protocol::attempt_head &head = stream->head();
    if (served_worker *worker = findWorker(head.worker); worker != nullptr && head.firstSent && head.repeat == coordination::repeat_kind::none) {
        worker->repeatBudget->recordRequest(worker->retryAllowance, now);
    }
    const refusal_reason reason = checkAttempt(head, now);
    if (reason != refusal_reason::none) {
        const bool otherIncarnation = reason == refusal_reason::stale_incarnation && !head.ticket.empty();
        sendRefusal(stream->writer(), head, reason, otherIncarnation ? run_state::unknown : run_state::not_run);
        return;
    }
    if (!admitOrganisation(stream, now)) {
        return;
    }
    if (refuseBeyondLimit(stream, now)) {
        return;
    }
    if (!guardAdmits(*findWorker(head.worker), head, now)) {
        sendRefusal(stream->writer(), head, refusal_reason::worker_at_risk, run_state::not_run);
        return;
    }
    if (!repeatHasRoom(*findWorker(head.worker), head, now)) {
        sendRefusal(stream->writer(), head, refusal_reason::retry_budget_empty, run_state::not_run);
        return;
    }
    const bool tracked = !head.idempotent || !head.ticket.empty();
    if (tracked && !beginRecord(stream, now)) {
        return;
    }
    if (!tracked && m_registry.find(head.id) != nullptr) { // it was withdrawn before its frames arrived
        sendRefusal(stream->writer(), head, refusal_reason::draining, run_state::not_run);
        return;
    }
    if (m_attempts.contains(head.id)) {
        sendRefusal(stream->writer(), head, refusal_reason::duplicate_attempt, run_state::unknown);
        return;
    }
    local_attempt attempt;
    attempt.stream = stream;
    attempt.tracked = tracked;
    attempt.arrivedAt = now;
    m_attempts.emplace(head.id, std::move(attempt));

    coordination::work_item item;
    item.id = head.id;
    item.route = head.route;
    item.worth = head.worth;
    item.deadline = head.deadline;
    item.targetAt = head.targetAt;
    item.costHint = head.costHint;
    item.bodyBytes = head.bodyBytes;
    served_worker &worker = *findWorker(head.worker);
    applyActions(worker, worker.admission->offer(item, now));
}

// The frames of the body are dropped, so that the attempt cannot run later.
void sidecar::refuseUnread(attempt_stream &stream)
{
    sendRefusal(stream.writer(), stream.head(), refusal_reason::memory_full, run_state::not_run);
}

// Refuses the attempt, and returns true, when the rate limit of the worker has no room for it. A repeated ticket needs no room: its
// outcome is known.
bool sidecar::refuseBeyondLimit(const std::shared_ptr<attempt_stream> &stream, state::time_point now)
{
    const protocol::attempt_head &head = stream->head();
    served_worker &worker = *findWorker(head.worker);
    adoptLimit(worker, head);
    const bool isRepeated = !head.ticket.empty() && m_registry.findByTicket(head.ticket) != nullptr;
    if (isRepeated || hasRoomInQueue(worker, now)) {
        return false;
    }
    sendRefusal(stream->writer(), head, refusal_reason::worker_limited, run_state::not_run, worker.limit.promiseRoom(now));
    return true;
}

refusal_reason sidecar::checkAttempt(const protocol::attempt_head &head, state::time_point now)
{
    const served_worker *worker = findWorker(head.worker);
    if (worker == nullptr || !worker->admission) {
        return refusal_reason::no_capacity;
    }
    if (head.sidecarIncarnation != m_incarnation) {
        return refusal_reason::stale_incarnation;
    }
    if (head.deadline <= now) {
        return refusal_reason::late_frame;
    }
    if (!head.ticket.empty()) {
        const absl::StatusOr<state::ticket> ticket = state::parseTicket(head.ticket);
        const std::int64_t nowMs = systemNowMs();
        if (!ticket.ok() || ticket->worker != head.worker || ticket->expiresAtMs > nowMs + m_settings.ticketLifetime.count()) {
            return refusal_reason::bad_request;
        }
        if (ticket->sidecarIncarnation != m_incarnation || ticket->expiresAtMs <= nowMs) {
            return refusal_reason::stale_incarnation;
        }
    }
    if (refusesWork(*worker)) {
        const bool known = !head.ticket.empty() && m_registry.findByTicket(head.ticket) != nullptr;
        return known ? refusal_reason::none : refusal_reason::draining;
    }
    return refusal_reason::none;
}

// Work is distributed evenly over a pool's workers, so each sidecar enforces its share of an organisation's rate.
bool sidecar::admitOrganisation(const std::shared_ptr<attempt_stream> &stream, state::time_point now)
{
    const protocol::attempt_head &head = stream->head();
    if (head.organisationRate <= 0.0) {
        return true;
    }
    const coordination::limit_request request{head.organisation, head.route, head.organisationRate, countSidecars(head.pool)};
    const coordination::limit_verdict verdict = m_limiter->admit(request, now);
    if (!verdict.admitted) {
        sendRefusal(stream->writer(), head, refusal_reason::organisation_limit, run_state::not_run, verdict.retryAt);
    }
    return verdict.admitted;
}

std::uint32_t sidecar::countSidecars(std::string_view pool) const
{
    if (!m_snapshot || !m_snapshot->poolViews.contains(pool)) {
        return 1;
    }
    return std::max(1U, coordination::countSharingNodes(*m_snapshot->poolViews.find(pool)->second));
}

bool sidecar::beginRecord(const std::shared_ptr<attempt_stream> &stream, state::time_point now)
{
    const protocol::attempt_head &head = stream->head();
    const state::attempt_record *earlier = head.ticket.empty() ? nullptr : m_registry.findByTicket(head.ticket);
    const state::time_point expiresAt = head.ticket.empty() ? head.deadline + RecordRetention : now + m_settings.ticketLifetime + RecordRetention;
    switch (m_registry.begin(head.id, head.ticket, expiresAt)) {
    case state::begin_verdict::accepted:
        return true;
    case state::begin_verdict::full:
        sendRefusal(stream->writer(), head, refusal_reason::queue_full, run_state::not_run);
        return false;
    case state::begin_verdict::duplicate:
        answerDuplicate(stream, earlier != nullptr ? earlier : m_registry.find(head.id));
        return false;
    }
    return false;
}

// Answers a repeated ticket or attempt id with the outcome of the first run, or refuses it as a duplicate.
void sidecar::answerDuplicate(const std::shared_ptr<attempt_stream> &stream, const state::attempt_record *earlier)
{
    const protocol::attempt_head &head = stream->head();
    if (earlier != nullptr && earlier->phase == state::attempt_phase::answered) {
        sendOutcome(head.id, *earlier, stream->writer());
        return;
    }
    const bool fenced = earlier != nullptr && earlier->phase == state::attempt_phase::not_run;
    const bool queued = earlier != nullptr && earlier->phase == state::attempt_phase::queued;
    run_state run = queued ? run_state::unknown : run_state::ran;
    if (fenced) {
        run = run_state::not_run;
    }
    sendRefusal(stream->writer(), head, refusal_reason::duplicate_attempt, run);
}

// [SECTION] Admission

void sidecar::applyActions(served_worker &worker, const coordination::admission_actions &actions)
{
    for (const coordination::admission_refusal &refusal : actions.refuse) {
        refuseAttempt(refusal.id, refusal.reason, run_state::not_run, refusal.retryAt);
    }
    for (const state::attempt_id &id : actions.start) {
        startAttempt(worker, id);
    }
    scheduleAdvance(worker);
}

void sidecar::refuseRiskyQueuedAttempts(served_worker &worker)
{
    const state::time_point now = state::clock::now();
    std::vector<state::attempt_id> refused;
    for (const auto &[id, attempt] : m_attempts) {
        const protocol::attempt_head &head = attempt.stream->head();
        if (!attempt.started && head.worker == worker.settings.id && !guardAdmits(worker, head, now)) {
            refused.push_back(id);
        }
    }
    for (const state::attempt_id &id : refused) {
        const coordination::admission_actions actions = worker.admission->cancel(id, now);
        refuseAttempt(id, refusal_reason::worker_at_risk, run_state::not_run, now);
        applyActions(worker, actions);
    }
}

void sidecar::scheduleAdvance(served_worker &worker)
{
    const state::time_point due = worker.admission->nextAdvanceAt();
    if (due == state::time_point::max()) {
        worker.admissionTimer->cancel();
        return;
    }
    worker.admissionTimer->expires_at(due);
    // The timer may expire just before the worker is removed, with the handler running just after the removal.
    worker.admissionTimer->async_wait([this, id = worker.settings.id, timer = std::weak_ptr(worker.admissionTimer)](const boost::system::error_code &error) {
        served_worker *present = error || timer.expired() ? nullptr : findWorker(id);
        if (present != nullptr) {
            applyActions(*present, present->admission->advance(state::clock::now()));
        }
    });
}

} // namespace dandelionstall
