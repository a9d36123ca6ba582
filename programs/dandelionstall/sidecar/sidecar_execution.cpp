// Sidecar: start, execution and end of attempts that admission lets through. Arrival: sidecar_attempts.cpp.
#include "sidecar.h"

#include <boost/asio.hpp>
#include <xxhash.h>

namespace dandelionstall {

namespace asio = boost::asio;
using coordination::refusal_reason;
using coordination::run_state;
using coordination::work_outcome;
using coordination::work_result;
using transport::measured_time;
using transport::work_class;
using transport::worker_call_outcome;

namespace {

work_outcome outcomeOf(const transport::worker_result &result)
{
    switch (result.outcome) {
    case worker_call_outcome::answered:
        return result.status >= 500 ? work_outcome::failed : work_outcome::answered;
    case worker_call_outcome::refused:
        return work_outcome::refused;
    case worker_call_outcome::timed_out:
        return work_outcome::timed_out;
    default:
        return work_outcome::failed;
    }
}

work_class workClassOf(const protocol::attempt_head &head)
{
    return head.idempotent ? work_class::idempotent : work_class::non_idempotent;
}

coordination::guarded_item guardedItemOf(const protocol::attempt_head &head)
{
    return {head.id, head.idempotent && head.ticket.empty(), head.acceptedRisk};
}

// True when the worker has ended the run, so that it makes no more calls for it.
bool hasEnded(const transport::worker_result &result)
{
    return result.outcome == worker_call_outcome::answered || result.outcome == worker_call_outcome::refused
           || result.outcome == worker_call_outcome::unreachable;
}

work_result workResultOf(const transport::worker_result &result)
{
    if (result.outcome == worker_call_outcome::answered) {
        return work_result::answered;
    }
    return result.outcome == worker_call_outcome::cancelled || result.outcome == worker_call_outcome::timed_out ? work_result::abandoned : work_result::failed;
}

} // namespace

// Forwards a worker's answer while it arrives, and keeps a copy if the attempt must not run twice.
struct sidecar::answer_sink : transport::worker_answer_sink {
    sidecar *owner = nullptr;                  // sidecar that runs the attempt
    served_worker *worker = nullptr;           // worker that runs the attempt
    state::time_point requestedAt;             // when the request is sent to the worker
    answer_writer *writer = nullptr;           // writer of the attempt's stream
    protocol::answer_head head;                // head of the answer; status and headers are set by onHead
    state::kept_answer kept;                   // copy of the answer; without body if it was too long to keep
    std::size_t maxKeptBytes = 0;              // largest body that is kept; 0 keeps no body
    std::uint64_t bodyBytes = 0;               // body bytes forwarded so far
    XXH3_state_t *digest = XXH3_createState(); // digest of the forwarded body

    answer_sink()
    {
        XXH3_64bits_reset(digest);
    }

    ~answer_sink() override
    {
        XXH3_freeState(digest);
    }

    void onSignals(const protocol::worker_signals &signals, bool isRefusal) override
    {
        owner->recordSignals(*worker, signals, !isRefusal, requestedAt);
        head.reports.front() = owner->makeReport(*worker, state::clock::now()); // the one from the start of the run lacks what this answer states
    }

    void onHead(std::uint32_t status, protocol::http_headers headers) override
    {
        head.status = status;
        head.run = run_state::ran;
        head.headers = std::move(headers);
        kept.status = status;
        kept.headers = protocol::encodeHeaders(head.headers);
        writer->sendHead(head);
    }

    asio::awaitable<void> onBody(std::string_view bytes) override
    {
        bodyBytes += bytes.size();
        XXH3_64bits_update(digest, bytes.data(), bytes.size());
        if (kept.body.size() + bytes.size() <= maxKeptBytes) {
            kept.body.append(bytes);
        } else {
            kept.truncated = true;
            kept.body.clear();
            maxKeptBytes = 0;
        }
        co_await writer->sendBody(bytes);
    }
};

// [SECTION] Checks before a run

bool sidecar::guardAdmits(const served_worker &worker, const protocol::attempt_head &head, state::time_point now) const
{
    return worker.guard->admits(guardedItemOf(head), now);
}

bool sidecar::repeatHasRoom(served_worker &worker, const protocol::attempt_head &head, state::time_point now)
{
    const coordination::repeat_verdict verdict = worker.repeatBudget->check(head.repeat, worker.retryAllowance, now);
    if (!verdict.admitted) {
        logRepeat(head, verdict);
    }
    return verdict.admitted;
}

bool sidecar::countRepeat(served_worker &worker, const protocol::attempt_head &head, state::time_point now)
{
    const coordination::repeat_verdict verdict = worker.repeatBudget->count(head.repeat, worker.retryAllowance, now);
    if (head.repeat != coordination::repeat_kind::none) {
        logRepeat(head, verdict);
    }
    return verdict.admitted;
}

// Checks again what may have changed while the attempt was queued. When there is no reason to refuse it, counts the repeat and
// records the start.
refusal_reason sidecar::beginRun(served_worker &worker, const local_attempt &attempt, state::time_point now)
{
    const protocol::attempt_head &head = attempt.stream->head();
    if (!guardAdmits(worker, head, now)) {
        return refusal_reason::worker_at_risk;
    }
    if (head.deadline <= now) { // a process pause may have followed the admission decision
        return refusal_reason::expired_in_queue;
    }
    if (worker.limit.room(now) == 0) {
        return refusal_reason::worker_limited;
    }
    if (!countRepeat(worker, head, now)) {
        return refusal_reason::retry_budget_empty;
    }
    return attempt.tracked && !m_registry.start(head.id) ? refusal_reason::expired_in_queue : refusal_reason::none;
}

void sidecar::startAttempt(served_worker &worker, const state::attempt_id &id)
{
    const auto found = m_attempts.find(id);
    const state::time_point now = state::clock::now();
    if (found == m_attempts.end()) {
        applyActions(worker, worker.admission->finish(id, work_result::abandoned, now));
        return;
    }
    local_attempt &attempt = found->second;
    const protocol::attempt_head &head = attempt.stream->head();
    if (const refusal_reason reason = beginRun(worker, attempt, now); reason != refusal_reason::none) {
        refuseAttempt(id, reason, run_state::not_run, reason == refusal_reason::worker_limited ? worker.limit.promiseRoom(now) : now);
        applyActions(worker, worker.admission->finish(id, work_result::abandoned, now));
        return;
    }
    attempt.started = true;
    recordLimitedStart(worker, head, now);
    worker.guard->recordStart(guardedItemOf(head), now);
    m_localRuns.access(
        [&](coordination::local_runs &runs) { runs.recordStart({id, head.worker, requestId(head), head.repeat, head.deadline, head.organisation}); });
    if (!head.organisation.empty()) {
        m_organisationUse.record(head.organisation, coordination::organisation_event::started);
    }
    attempt.call = std::make_shared<transport::worker_call>();
    m_metrics.observe(measured_time::queue, workClassOf(head), std::chrono::duration_cast<std::chrono::microseconds>(now - attempt.arrivedAt));
    asio::co_spawn(m_io, runAttempt(worker, id), asio::detached);
}

// [SECTION] Execution

asio::awaitable<void> sidecar::runAttempt(served_worker &worker, state::attempt_id id)
{
    local_attempt &attempt = m_attempts.at(id);
    const std::shared_ptr<attempt_stream> stream = attempt.stream;
    const std::shared_ptr<transport::worker_call> call = attempt.call;
    const state::time_point startedAt = state::clock::now();

    transport::worker_request request;
    request.method = stream->head().method;
    request.target = stream->head().target;
    request.headers = stream->head().headers;
    request.body = stream->consumeBody();
    request.deadline = stream->head().deadline;
    request.expectedWorker = worker.settings.id;

    answer_sink sink;
    sink.owner = this;
    sink.worker = &worker;
    sink.requestedAt = startedAt;
    sink.writer = &stream->writer();
    sink.head = makeAnswerHead(id, worker.settings.id);
    sink.maxKeptBytes = attempt.tracked ? m_settings.maxKeptAnswerBytes : 0;
    worker.outcomeTracker->recordStart(id, stream->head().route, startedAt);
    const transport::worker_result result = co_await worker.client->run(std::move(request), sink, call);
    finishAttempt(worker, id, result, sink, startedAt);
}

void sidecar::finishAttempt(
    served_worker &worker, const state::attempt_id &id, const transport::worker_result &result, answer_sink &sink, state::time_point startedAt)
{
    const state::time_point now = state::clock::now();
    local_attempt &attempt = m_attempts.at(id);
    const protocol::attempt_head &head = attempt.stream->head();
    // A cancelled call is no evidence of the worker's health, so it is recorded like a refusal.
    const work_outcome outcome = result.outcome == worker_call_outcome::cancelled ? work_outcome::refused : outcomeOf(result);
    worker.outcomeTracker->recordEnd(id, {head.route, outcome, startedAt, now, head.costHint});
    if (outcome == work_outcome::refused) {
        worker.guard->discardAttempt(id);
    } else {
        worker.guard->recordOutcome(id, outcome != work_outcome::answered, now);
    }
    m_localRuns.access([&](coordination::local_runs &runs) { hasEnded(result) ? runs.recordEnd(id) : runs.recordAbandoned(id); });
    m_metrics.observe(measured_time::worker, workClassOf(head), std::chrono::duration_cast<std::chrono::microseconds>(now - startedAt));
    countFault(result);
    logAttemptEnd(head, result, startedAt);
    logSuspicionChange(worker, now);
    const coordination::admission_actions actions = worker.admission->finish(id, workResultOf(result), now);

    if (result.outcome == worker_call_outcome::answered) {
        if (attempt.tracked) {
            m_registry.recordAnswer(id, std::move(sink.kept));
        }
        attempt.stream->writer().sendEnd(
            {id, sink.bodyBytes, XXH3_64bits_digest(sink.digest), std::chrono::duration_cast<std::chrono::microseconds>(now - startedAt)});
        answerWaitingQueries(id, attempt);
        m_attempts.erase(id);
    } else if (result.outcome == worker_call_outcome::refused || result.outcome == worker_call_outcome::unreachable) {
        const bool shed = result.outcome == worker_call_outcome::refused;
        if (attempt.tracked) {
            m_registry.revoke(id, coordination::reasonName(shed ? refusal_reason::worker_shed : refusal_reason::worker_unreachable));
        }
        refuseAttempt(id, shed ? refusal_reason::worker_shed : refusal_reason::worker_unreachable, run_state::not_run, now + result.retryAfter);
    } else {
        if (attempt.tracked) {
            m_registry.recordFailure(id);
        }
        if (result.answerStarted) {
            attempt.stream->writer().abort();
            answerWaitingQueries(id, attempt);
            m_attempts.erase(id);
        } else {
            const bool expired = result.outcome == worker_call_outcome::timed_out;
            refuseAttempt(id, expired ? refusal_reason::unknown_outcome : refusal_reason::none, run_state::ran, now);
        }
    }
    applyActions(worker, actions);
    refuseRiskyQueuedAttempts(worker);
}

} // namespace dandelionstall
