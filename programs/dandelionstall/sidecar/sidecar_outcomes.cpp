// Sidecar: refusals, outcome queries, acknowledgements, lost streams and answer heads.
#include "sidecar.h"

#include <dandelionstall/coordination/admission/failure_guard.h>
#include <dandelionstall/protocol/caller_http.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace dandelionstall {

namespace asio = boost::asio;
using coordination::refusal_reason;
using coordination::run_state;
using transport::event;
using transport::logEvent;

namespace {

constexpr auto DuplicateRetryAfter = std::chrono::milliseconds(1000); // Retry-After of a refused duplicate; the first run may have an answer by then
constexpr auto RelayTimeout = std::chrono::seconds(10);               // maximum time for relaying one query, also if the attempt expires meanwhile
constexpr std::size_t MaxEjectedPeerReports = 2;                      // ejected pool peers reported in one answer
constexpr std::size_t MaxPeerReports = 2;                             // usable pool peers reported in one answer

// Adds reports on other workers of the pool. Reports on ejected workers let nodes outside the pool avoid them without sending
// them an attempt. The usable workers with the shortest expected wait follow; the first is the alternative for a refused attempt.
void appendPoolPeers(const coordination::pool_view &view, std::string_view worker, state::time_point now, protocol::answer_head &head)
{
    std::vector<const coordination::worker_view *> usablePeers;
    std::size_t ejected = 0;
    for (const coordination::worker_view &row : view.workers) {
        if (row.id == worker || row.report.version == 0) {
            continue;
        }
        if (coordination::isUsable(row)) {
            usablePeers.push_back(&row);
        } else if (row.state == coordination::worker_state::ejected && ejected < MaxEjectedPeerReports) {
            head.reports.push_back(row.report);
            ++ejected;
        }
    }
    const std::size_t count = std::min(usablePeers.size(), MaxPeerReports);
    const auto rankOf = [now](const coordination::worker_view *row) { // unhealthy workers rank last: they fail fast, so their expected wait is short
        return std::pair(coordination::currentRisk(*row, now) > coordination::LowRiskLimit, row->report.expectedWait);
    };
    std::partial_sort(usablePeers.begin(), usablePeers.begin() + static_cast<std::ptrdiff_t>(count), usablePeers.end(), [&](const auto *a, const auto *b) {
        return rankOf(a) < rankOf(b);
    });
    for (std::size_t i = 0; i < count; ++i) {
        head.reports.push_back(usablePeers[i]->report);
    }
    if (count > 0) {
        head.alternativeWorker = usablePeers.front()->id;
    }
}

} // namespace

// [SECTION] Outcomes

std::string sidecar::requestId(const protocol::attempt_head &head) const
{
    return std::string(protocol::findHeader(head.headers, m_settings.headers.requestId));
}

void sidecar::logRefusal(const protocol::attempt_head &head, refusal_reason reason, run_state run) const
{
    const auto worker = m_workers.find(head.worker);
    const bool known = worker != m_workers.end() && worker->second.admission;
    const state::time_point now = state::clock::now();
    const coordination::admission_load load = known ? worker->second.admission->load(now) : coordination::admission_load{};
    const auto timeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(head.deadline - now);
    logEvent(event::attempt_refused,
             {{"request", requestId(head)},
              {"attempt", state::formatAttemptId(head.id)},
              {"worker", head.worker},
              {"reason", std::string(coordination::reasonName(reason))},
              {"run", std::string(coordination::runStateName(run))},
              {"busy", fmt::to_string(load.busy)},
              {"queued", fmt::to_string(load.queued)},
              {"risk", fmt::format("{:.2f}", known ? worker->second.guard->risk(now) : -1.0)},
              {"left_ms", fmt::to_string(timeLeft.count())}});
}

void sidecar::logAttemptEnd(const protocol::attempt_head &head, const transport::worker_result &result, state::time_point startedAt) const
{
    const auto runTime = std::chrono::duration_cast<std::chrono::milliseconds>(state::clock::now() - startedAt);
    const state::time_point sentAt = result.sentAt == state::time_point{} ? startedAt : result.sentAt;
    const auto waitTime = std::chrono::duration_cast<std::chrono::milliseconds>(sentAt - startedAt);
    const auto worker = m_workers.find(head.worker);
    const double risk = worker == m_workers.end() ? -1.0 : worker->second.guard->risk(state::clock::now());
    logEvent(result.outcome == transport::worker_call_outcome::answered ? event::attempt_ended : event::attempt_broken,
             {{"request", requestId(head)},
              {"attempt", state::formatAttemptId(head.id)},
              {"worker", head.worker},
              {"end", std::string(transport::outcomeName(result.outcome))},
              {"status", fmt::to_string(result.status)},
              {"run_ms", fmt::to_string(runTime.count())},
              {"wait_ms", fmt::to_string(waitTime.count())},
              {"handed_ms", fmt::to_string(result.handed.count())},
              {"risk", fmt::format("{:.2f}", risk)},
              {"fault", std::string(transport::faultName(result.fault))}});
}

void sidecar::countFault(const transport::worker_result &result)
{
    if (result.fault != transport::answer_fault::none) {
        m_metrics.incrementCounter(std::string("broken_answers_") + std::string(transport::faultName(result.fault)));
    }
}

void sidecar::logRepeat(const protocol::attempt_head &head, const coordination::repeat_verdict &verdict)
{
    const std::string kind(coordination::repeatName(head.repeat));
    const coordination::repeat_counts &counts = verdict.counts;
    m_metrics.incrementCounter((verdict.admitted ? "repeats_counted_" : "repeats_denied_") + kind);
    logEvent(verdict.admitted ? event::repeat_counted : event::repeat_denied,
             {{"request", requestId(head)},
              {"attempt", state::formatAttemptId(head.id)},
              {"pool", head.pool},
              {"worker", head.worker},
              {"kind", kind},
              {"requests", fmt::to_string(counts.requests)},
              {"repeats", fmt::to_string(counts.repeats)},
              {"workers", fmt::to_string(counts.sharers)},
              {"allowed", fmt::format("{:.2f}", counts.allowed)}});
}

void sidecar::logRepeatPartChange(served_worker &worker, state::time_point now)
{
    const coordination::repeat_part part = worker.repeatBudget->part(worker.retryAllowance, now);
    if (std::exchange(worker.loggedRepeatPart, part.extra) == part.extra) {
        return;
    }
    logEvent(event::repeat_part_changed,
             {{"pool", worker.settings.pool},
              {"worker", worker.settings.id},
              {"workers", fmt::to_string(part.sharers)},
              {"part", fmt::format("{:.3f}", part.extra)}});
}

void sidecar::refuseAttempt(const state::attempt_id &id, refusal_reason reason, run_state run, state::time_point retryAt)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    local_attempt attempt = std::move(found->second);
    m_attempts.erase(found);
    if (attempt.tracked && run == run_state::not_run) {
        m_registry.refuse(id, coordination::reasonName(reason));
    }
    m_metrics.incrementCounter(std::string("attempts_refused_") + std::string(coordination::reasonName(reason)));
    logRefusal(attempt.stream->head(), reason, run);
    protocol::answer_head head = makeAnswerHead(id, attempt.stream->head().worker);
    head.run = run;
    head.refusal = reason;
    const state::time_point now = state::clock::now();
    head.retryAfter = std::chrono::duration_cast<std::chrono::microseconds>(std::max(retryAt - now, state::duration::zero()));
    attempt.stream->writer().sendAnswer(head, {});
    answerWaitingQueries(id, attempt);
}

void sidecar::sendRefusal(
    answer_writer &writer, const protocol::attempt_head &attempt, refusal_reason reason, run_state run, std::optional<state::time_point> retryAt)
{
    m_metrics.incrementCounter(std::string("attempts_refused_") + std::string(coordination::reasonName(reason)));
    logRefusal(attempt, reason, run);
    protocol::answer_head head = makeAnswerHead(attempt.id, attempt.worker);
    head.run = run;
    head.refusal = reason;
    if (reason == refusal_reason::duplicate_attempt) {
        head.retryAfter = DuplicateRetryAfter;
    } else if (retryAt) {
        head.retryAfter = std::chrono::duration_cast<std::chrono::microseconds>(std::max(*retryAt - state::clock::now(), state::duration::zero()));
    }
    writer.sendAnswer(head, {});
}

void sidecar::answerWaitingQueries(const state::attempt_id &id, local_attempt &attempt)
{
    const state::attempt_record *record = m_registry.find(id);
    for (const std::shared_ptr<control_stream> &query : attempt.waitingQueries) {
        if (record != nullptr) {
            sendOutcome(id, *record, query->writer());
        } else {
            query->writer().abort();
        }
    }
    attempt.waitingQueries.clear();
}

void sidecar::sendOutcome(const state::attempt_id &id, const state::attempt_record &record, answer_writer &writer)
{
    protocol::answer_head head = makeAnswerHead(id, {});
    switch (record.phase) {
    case state::attempt_phase::not_run:
        head.run = run_state::not_run;
        head.refusal = coordination::parseRefusalReason(record.refusal);
        break;
    case state::attempt_phase::answered:
        head.run = run_state::ran;
        if (record.answer.truncated) {
            head.refusal = refusal_reason::unknown_outcome; // the attempt ran, but its answer was too long to keep
            break;
        }
        head.status = record.answer.status;
        if (auto headers = protocol::decodeHeaders(record.answer.headers); headers.ok()) {
            head.headers = *std::move(headers);
        }
        writer.sendAnswer(head, record.answer.body);
        return;
    default:
        head.run = run_state::ran;
        head.refusal = refusal_reason::unknown_outcome;
        break;
    }
    writer.sendAnswer(head, {});
}

void sidecar::handleQuery(const protocol::attempt_query &query, const std::shared_ptr<control_stream> &stream)
{
    m_metrics.incrementCounter("attempt_queries");
    if (!query.relayTo.empty()) {
        asio::co_spawn(m_io, relayQuery(query, stream), asio::detached);
        return;
    }
    if (query.sidecarIncarnation != m_incarnation) {
        protocol::answer_head head = makeAnswerHead(query.id, {});
        head.run = run_state::unknown;
        head.refusal = refusal_reason::stale_incarnation;
        stream->writer().sendAnswer(head, {});
        return;
    }
    const state::attempt_record &record = m_registry.findOrFence(query.id, query.expiresAt + RecordRetention);
    const auto active = m_attempts.find(query.id);
    if (active != m_attempts.end()) {
        active->second.waitingQueries.push_back(stream);
        return;
    }
    sendOutcome(query.id, record, stream->writer());
}

// Forwards the frames of the answer unchanged: the querying node validates them.
asio::awaitable<void> sidecar::relayQuery(protocol::attempt_query query, std::shared_ptr<control_stream> stream)
{
    const state::time_point deadline = state::clock::now() + RelayTimeout;
    const absl::StatusOr<state::node_address> target = state::parseNodeAddress(query.relayTo);
    if (!target.ok() || *target == m_settings.advertiseAddress) {
        stream->writer().abort();
        co_return;
    }
    const auto link = co_await m_peers.connect(*target, deadline);
    const auto reader = std::make_shared<stream_reader>(m_io.get_executor());
    const transport::stream_id id = link.ok() ? (*link)->session->open("/control", reader) : -1;
    if (id < 0) {
        stream->writer().abort();
        co_return;
    }
    reader->attach((*link)->session, id);
    query.relayTo.clear();
    query.expiresAt = (*link)->clock.toPeerClock(query.expiresAt, state::clock::now());
    (*link)->session->write(id, protocol::makeFrame(protocol::frame_type::query, protocol::encode(query)), true);
    while (stream->writer().isOpen()) {
        const read_event event = co_await reader->next(deadline);
        if (event.kind != read_kind::frame) {
            (*link)->session->reset(id);
            stream->writer().abort();
            co_return;
        }
        const bool last = event.frame.type == protocol::frame_type::answer_end;
        stream->sendFrame(event.frame, last);
        if (last) {
            co_return;
        }
    }
}

void sidecar::handleAcknowledgement(const protocol::attempt_acknowledge &message)
{
    m_registry.acknowledge(message.id);
}

void sidecar::handleWithdrawal(const protocol::attempt_withdrawal &message)
{
    m_metrics.incrementCounter("attempts_withdrawn");
    const auto found = m_attempts.find(message.id);
    if (found == m_attempts.end()) {
        m_registry.findOrFence(message.id, message.expiresAt + RecordRetention); // its frames may still be on the way
        return;
    }
    if (!found->second.started) {
        refuseWaitingAttempt(found->second, refusal_reason::draining);
    }
}

void sidecar::refuseWaitingAttempt(const local_attempt &attempt, refusal_reason reason)
{
    const protocol::attempt_head &head = attempt.stream->head();
    served_worker &worker = *findWorker(head.worker);
    const coordination::admission_actions actions = worker.admission->cancel(head.id, state::clock::now());
    refuseAttempt(state::attempt_id(head.id), reason, run_state::not_run, state::clock::now());
    applyActions(worker, actions);
}

void sidecar::handleStreamLost(const state::attempt_id &id, transport::stream_close_reason)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        return;
    }
    local_attempt &attempt = found->second;
    if (!attempt.started) {
        refuseWaitingAttempt(attempt, refusal_reason::cancelled);
    } else if (!attempt.tracked) {
        attempt.call->cancel();
    }
}

// [SECTION] Answer heads

protocol::answer_head sidecar::makeAnswerHead(const state::attempt_id &id, std::string_view worker) const
{
    protocol::answer_head head;
    head.id = id;
    head.incarnation = m_incarnation;
    const auto localWorker = m_workers.find(worker);
    if (localWorker == m_workers.end()) {
        return head;
    }
    head.reports.push_back(makeReport(localWorker->second, state::clock::now()));
    if (!m_snapshot) {
        return head;
    }
    const auto view = m_snapshot->poolViews.find(localWorker->second.settings.pool);
    if (view == m_snapshot->poolViews.end()) {
        return head;
    }
    appendPoolPeers(*view->second, worker, state::clock::now(), head);
    return head;
}

} // namespace dandelionstall
