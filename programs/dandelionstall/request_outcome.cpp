// When an attempt brought no answer: its outcome is asked for, or its failure is described for the retry policy.
#include "request_attempt.h"

#include <dandelionstall/protocol/caller_http.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>

#include <algorithm>
#include <optional>

namespace dandelionstall {

namespace asio = boost::asio;
using coordination::refusal_reason;
using coordination::retry_reason;
using coordination::run_state;
using protocol::frame_type;
using transport::logEvent;

namespace {

constexpr auto QueryTimeout = std::chrono::milliseconds(1200); // for one try, dial included, beyond the deadline

} // namespace

// [SECTION] Recovery

// A node that may still reach the one that this node cannot: the one of the pool that was heard last, in that node's data
// centre if possible. Those asked before are left out.
std::optional<state::node_address> request_handler::chooseRelay(const sent_attempt &sent)
{
    const auto view = m_ingress.viewOf(*m_pool);
    const auto there = std::find_if(view->workers.begin(), view->workers.end(), [&](const auto &worker) { return worker.node == sent.node; });
    std::optional<state::node_address> best;
    std::pair<state::time_point, bool> bestRank;
    for (const coordination::worker_view &worker : view->workers) {
        const bool asked = std::find(sent.relays.begin(), sent.relays.end(), worker.node) != sent.relays.end();
        const bool avoided = m_ingress.isAvoided(worker);
        if (!coordination::isUsable(worker) || asked || avoided || worker.node == sent.node || worker.node == m_ingress.settings().advertiseAddress) {
            continue;
        }
        const bool isNear = there != view->workers.end() && worker.dataCentre == there->dataCentre;
        const std::pair rank(m_ingress.peers().lastContactAt(worker.node), isNear);
        if (!best || rank > bestRank) {
            best = worker.node;
            bestRank = rank;
        }
    }
    return best;
}

// Over a new connection and through a third node in turn; only through others while the path has just failed.
asio::awaitable<attempt_outcome> request_handler::recoverOutcome(sent_attempt &sent)
{
    const state::time_point giveUpAt = m_deadline + AnswerGrace;
    while (state::clock::now() < giveUpAt && !m_callerDisconnected) {
        const bool avoided = m_ingress.isAvoided(sent.node);
        const bool wantsRelay = avoided || sent.queries % 2 == 1;
        ++sent.queries;
        const std::optional<state::node_address> relay = wantsRelay ? chooseRelay(sent) : std::nullopt;
        if (relay) {
            sent.relays.push_back(*relay);
        }
        const state::node_address asked = relay ? *relay : sent.node;
        m_ingress.metrics().incrementCounter("outcomes_asked_for");
        logEvent(transport::event::outcome_asked,
                 {{"request", requestId()},
                  {"attempt", state::formatAttemptId(sent.id)},
                  {"node", state::formatNodeAddress(sent.node)},
                  {"asked", state::formatNodeAddress(asked)}});
        const auto link = co_await m_ingress.peers().connect(asked, std::min(giveUpAt, state::clock::now() + QueryTimeout));
        if (!link.ok()) {
            m_ingress.recordPathOutcome(asked, false);
            asio::steady_timer pause(m_ingress.io(), QueryPause);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        if (!relay && (*link)->incarnation != sent.sidecarIncarnation) {
            co_return sent.answer.streaming ? abortAnswer(sent)
                                            : makeFailureOutcome(retry_reason::path_silent, refusal_reason::stale_incarnation, run_state::unknown);
        }
        m_reader = std::make_shared<stream_reader>(m_ingress.io().get_executor());
        sent.link = *link;
        sent.headArrived = false;
        sent.recovering = true;
        sent.answer.restart();
        sent.stream = sent.link->session->open("/control", m_reader);
        if (sent.stream < 0) {
            m_ingress.peers().removeLink(asked, *link);
            continue;
        }
        m_reader->attach(sent.link->session, sent.stream);
        protocol::attempt_query query{sent.id, sent.link->clock.toPeerClock(m_deadline, state::clock::now()), sent.sidecarIncarnation, {}};
        query.relayTo = relay ? state::formatNodeAddress(sent.node) : std::string();
        sent.contactedNode = asked;
        sent.link->session->write(sent.stream, protocol::makeFrame(frame_type::query, protocol::encode(query)), true);
        co_return co_await readAnswer(sent);
    }
    if (m_callerDisconnected) {
        co_return attempt_outcome{attempt_end::caller_disconnected, {}, {}, -1.0, false};
    }
    co_return sent.answer.streaming ? abortAnswer(sent) : makeFailureOutcome(retry_reason::path_silent, refusal_reason::unknown_outcome, run_state::unknown);
}

// [SECTION] Failures

attempt_outcome request_handler::makeRefusalOutcome(const sent_attempt &sent, const protocol::answer_head &head)
{
    retry_reason kind = retry_reason::refused;
    refusal_reason reason = head.refusal;
    if (sent.recovering && head.run == run_state::not_run) {
        kind = retry_reason::path_silent; // the path failed, and the sidecar has fenced the attempt
    } else if (reason == refusal_reason::worker_shed) {
        kind = retry_reason::worker_refused;
    } else if (head.run != run_state::not_run) {
        kind = retry_reason::worker_failed;
        reason = reason == refusal_reason::none ? refusal_reason::unknown_outcome : reason;
    }
    attempt_outcome outcome = makeFailureOutcome(kind, reason, head.run);
    if (head.retryAfter.count() > 0) {
        outcome.failure.retryAt = state::clock::now() + head.retryAfter;
    }
    outcome.alternativeWorker = head.alternativeWorker;
    outcome.risk = !head.reports.empty() ? head.reports.front().risk : -1.0;
    return outcome;
}

attempt_outcome request_handler::makeFailureOutcome(retry_reason kind, refusal_reason reason, run_state run) const
{
    attempt_outcome outcome;
    outcome.end = attempt_end::failed;
    outcome.failure.retryReason = kind;
    outcome.failure.refusal = reason;
    outcome.failure.run = run;
    outcome.failure.idempotent = m_route->idempotent && m_ticket.empty();
    outcome.failure.attempts = m_attempts;
    outcome.failure.deadline = m_deadline;
    outcome.failure.expectedCost = m_route->costHint;
    outcome.failure.arrivals = m_arrivals;
    outcome.failure.maxArrivals = m_route->maxAttempts;
    outcome.failure.allowance = m_pool->retryAllowance;
    outcome.failure.nodes = m_snapshot->liveNodeCount;
    return outcome;
}

attempt_outcome request_handler::abortAnswer(const sent_attempt &sent)
{
    if (sent.answer.streaming) {
        m_ingress.metrics().incrementCounter("answers_broken_off");
        m_connection.abort();
        return attempt_outcome{attempt_end::aborted, {}, {}, -1.0, false};
    }
    return makeFailureOutcome(retry_reason::cut_answer, refusal_reason::unknown_outcome, run_state::unknown);
}

} // namespace dandelionstall
