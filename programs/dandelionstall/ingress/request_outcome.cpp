// Handles attempts without a complete answer: queries the outcome, or describes the failure for the retry policy.
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

constexpr auto QueryTimeout = std::chrono::milliseconds(1200); // maximum time for connecting to the queried node; or until the deadline of the request

} // namespace

// [SECTION] Recovery

// Chooses a third node that may still reach the node of the attempt: the usable node of the pool with the most recent contact. If
// the times are equal, a node in the data centre of the attempt's node is preferred. Relays used before are not chosen again.
std::optional<state::node_address> request_handler::chooseRelay(const sent_attempt &sent)
{
    const auto view = m_ingress.viewOf(*m_pool);
    const auto targetWorker = std::find_if(view->workers.begin(), view->workers.end(), [&](const auto &worker) { return worker.node == sent.node; });
    std::optional<state::node_address> best;
    std::pair<state::time_point, bool> bestRank;
    for (const coordination::worker_view &worker : view->workers) {
        const bool alreadyUsed = std::find(sent.relays.begin(), sent.relays.end(), worker.node) != sent.relays.end();
        const bool avoided = m_ingress.isAvoided(worker);
        if (!coordination::isUsable(worker) || alreadyUsed || avoided || worker.node == sent.node || worker.node == m_ingress.settings().advertiseAddress) {
            continue;
        }
        const bool inSameDataCentre = targetWorker != view->workers.end() && worker.dataCentre == targetWorker->dataCentre;
        const std::pair rank(m_ingress.peers().lastContactAt(worker.node), inSameDataCentre);
        if (!best || rank > bestRank) {
            best = worker.node;
            bestRank = rank;
        }
    }
    return best;
}

// Queries the outcome, alternating between the node itself and a relay. While the node is in path backoff, every query goes through
// a relay. If no relay is available, the node itself is queried.
asio::awaitable<attempt_outcome> request_handler::recoverOutcome(sent_attempt &sent)
{
    while (state::clock::now() < m_deadline + AnswerGrace && !m_callerDisconnected) { // a stop of this node brings the deadline forward
        const bool avoided = m_ingress.isAvoided(sent.node);
        const bool useRelay = avoided || sent.queries % 2 == 1;
        ++sent.queries;
        const std::optional<state::node_address> relay = useRelay ? chooseRelay(sent) : std::nullopt;
        if (relay) {
            sent.relays.push_back(*relay);
        }
        const state::node_address queriedNode = relay ? *relay : sent.node;
        m_ingress.metrics().incrementCounter("outcomes_asked_for");
        logEvent(transport::event::outcome_asked,
                 {{"request", requestId()},
                  {"attempt", state::formatAttemptId(sent.id)},
                  {"node", state::formatNodeAddress(sent.node)},
                  {"asked", state::formatNodeAddress(queriedNode)}});
        const auto link
            = co_await m_ingress.peers().connect(queriedNode, std::min<state::time_point>(m_deadline + AnswerGrace, state::clock::now() + QueryTimeout));
        if (!link.ok()) {
            m_ingress.recordPathOutcome(queriedNode, false);
            asio::steady_timer retryTimer(m_ingress.io(), QueryRetryDelay);
            co_await retryTimer.async_wait(asio::as_tuple(asio::use_awaitable));
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
            m_ingress.peers().removeLink(queriedNode, *link);
            continue;
        }
        m_reader->attach(sent.link->session, sent.stream);
        protocol::attempt_query query{sent.id, sent.link->clock.toPeerClock(m_deadline, state::clock::now()), sent.sidecarIncarnation, {}};
        query.relayTo = relay ? state::formatNodeAddress(sent.node) : std::string();
        sent.contactedNode = queriedNode;
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
    retry_reason retryReason = retry_reason::refused;
    refusal_reason reason = head.refusal;
    if (sent.recovering && head.run == run_state::not_run) {
        retryReason = retry_reason::path_silent; // the path failed, and the sidecar has fenced the attempt so that it cannot run later
    } else if (reason == refusal_reason::worker_shed) {
        retryReason = retry_reason::worker_refused;
    } else if (head.run != run_state::not_run) {
        retryReason = retry_reason::worker_failed;
        reason = reason == refusal_reason::none ? refusal_reason::unknown_outcome : reason;
    }
    attempt_outcome outcome = makeFailureOutcome(retryReason, reason, head.run);
    if (head.retryAfter.count() > 0) {
        outcome.failure.retryAt = state::clock::now() + head.retryAfter;
    }
    outcome.alternativeWorker = head.alternativeWorker;
    outcome.risk = !head.reports.empty() ? head.reports.front().risk : -1.0;
    return outcome;
}

attempt_outcome request_handler::makeFailureOutcome(retry_reason retryReason, refusal_reason reason, run_state run) const
{
    attempt_outcome outcome;
    outcome.end = attempt_end::failed;
    outcome.failure.retryReason = retryReason;
    outcome.failure.refusal = reason;
    outcome.failure.run = run;
    outcome.failure.idempotent = m_route->idempotent && m_ticket.empty();
    outcome.failure.attempts = m_attempts;
    outcome.failure.deadline = m_deadline;
    outcome.failure.expectedCost = m_route->costHint;
    outcome.failure.arrivals = m_arrivals;
    outcome.failure.maxArrivals = m_route->maxAttempts;
    outcome.failure.hasAllowance = m_pool->retryAllowance.isLimited;
    outcome.failure.budgetRefusals = m_budgetRefusals + (reason == refusal_reason::retry_budget_empty ? 1 : 0);
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
