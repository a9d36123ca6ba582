// Routing, limits, tickets and the loop over attempts; request_attempt.cpp handles one attempt.
#include "request_attempt.h"
#include "wall_clock.h"

#include <dandelionstall/coordination/admission/failure_guard.h>
#include <dandelionstall/coordination/balancing/pool_choice.h>
#include <dandelionstall/protocol/caller_http.h>

#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace dandelionstall {

namespace asio = boost::asio;
using coordination::refusal_reason;
using coordination::run_state;
using transport::event;
using transport::logEvent;

namespace {

constexpr std::size_t MaxGuardRefusals = 3;                            // guard refusals after which the request overrides the guard of the least risky worker
constexpr auto NotReadyRetryAfter = std::chrono::milliseconds(1000);   // Retry-After before the first configuration
constexpr auto NoCapacityRetryAfter = std::chrono::milliseconds(1000); // Retry-After when no worker can be chosen
constexpr auto OutcomeRetryAfter = std::chrono::milliseconds(1000);    // minimum Retry-After of a request with a ticket, whose outcome can be queried again

// Parses the header in which the caller states the time left in milliseconds. The result is at most the timeout of the route;
// it is that timeout if the header is empty, and nullopt if the header is invalid.
std::optional<std::chrono::milliseconds> parseTimeLeft(std::string_view text, std::chrono::milliseconds routeTimeout)
{
    if (text.empty()) {
        return routeTimeout;
    }
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.begin(), text.end(), value);
    if (parsed.ec != std::errc() || parsed.ptr != text.end() || value < 0) {
        return std::nullopt;
    }
    return std::min(std::chrono::milliseconds(value), routeTimeout);
}

// Returns whether the attempt may have reached a worker, which may or may not have run it.
bool mayHaveReachedWorker(const coordination::failed_attempt &failure)
{
    switch (failure.retryReason) {
    case coordination::retry_reason::refused:
    case coordination::retry_reason::connect_failed:
    case coordination::retry_reason::stream_refused:
        return false;
    default:
        return true;
    }
}

} // namespace

request_handler::request_handler(ingress &owner, caller_connection &connection, caller_request &request)
    : m_ingress(owner)
    , m_connection(connection)
    , m_request(request)
{ }

// [SECTION] Shutdown

void request_handler::withdraw()
{
    m_deadline = std::min(m_deadline, m_ingress.answersBy());
    if (m_reader) {
        m_reader->limitDeadline(m_deadline + AnswerGrace);
    }
    const bool isAtSidecar = m_current != nullptr && m_current->contactedNode == m_current->node;
    if (isAtSidecar && !m_current->headArrived) {
        sendWithdrawal(*m_current);
    }
}

// [SECTION] Routing

asio::awaitable<bool> request_handler::run()
{
    m_connection.watchForClose([this] {
        m_callerDisconnected = true;
        if (m_reader) {
            m_reader->cancel();
        }
    });
    const bool proceed = co_await routeRequest();
    m_connection.stopWatching();
    co_return proceed && !m_callerDisconnected;
}

asio::awaitable<bool> request_handler::routeRequest()
{
    m_snapshot = m_ingress.snapshot();
    const state::time_point now = state::clock::now();
    if (!m_snapshot) {
        co_return co_await refuse(refusal_reason::not_ready, run_state::not_run, now + NotReadyRetryAfter);
    }
    const std::string_view path = protocol::pathOf(m_request.target);
    if (path == protocol::TicketTarget) {
        co_return co_await issueTicket();
    }
    if (const absl::Status found = findRoute(path, m_request.method); !found.ok()) {
        co_return co_await refuse(refusal_reason::no_route, run_state::not_run, now);
    }
    if (const refusal_reason reason = identifyOrganisation(); reason != refusal_reason::none) {
        co_return co_await refuse(reason, run_state::not_run, now);
    }
    if (state::time_point retryAt; !fitsRate(now, retryAt)) {
        co_return co_await refuse(refusal_reason::organisation_limit, run_state::not_run, retryAt);
    }
    const auto timeLeft = parseTimeLeft(protocol::findHeader(m_request.headers, m_ingress.settings().headers.timeLeft), m_route->timeout);
    if (!timeLeft) {
        co_return co_await refuse(refusal_reason::bad_request, run_state::not_run, now);
    }
    if (m_ingress.isTooLate(m_request.arrivedAt + *timeLeft)) {
        co_return co_await refuse(refusal_reason::draining, run_state::not_run, now + StoppingRetryAfter);
    }
    m_deadline = std::min(m_request.arrivedAt + *timeLeft, m_ingress.answersBy());
    m_isCallOfRepeat = m_ingress.isCallOfRepeat(protocol::findHeader(m_request.headers, m_ingress.settings().headers.requestId), m_deadline);
    if (const refusal_reason reason = readTicket(); reason != refusal_reason::none) {
        co_return co_await refuse(reason, reason == refusal_reason::bad_request ? run_state::not_run : run_state::unknown, now);
    }
    if (m_ticket.empty() && state::clock::now() >= m_deadline) { // the body took all the time of the request
        co_return co_await refuse(refusal_reason::deadline_unreachable, run_state::not_run, now);
    }
    co_return co_await runAttempts();
}

absl::Status request_handler::findRoute(std::string_view path, std::string_view method)
{
    m_route = m_ingress.routes().match(m_request.host, path, method);
    m_pool = m_route == nullptr ? nullptr : state::findPool(*m_snapshot->pools, coordination::choosePool(*m_route, m_ingress.random()));
    return m_pool != nullptr ? absl::OkStatus() : state::makeError(state::state_error::unresolved, "no route matches the request");
}

// [SECTION] Tickets

refusal_reason request_handler::readTicket()
{
    const std::string_view text = protocol::findHeader(m_request.headers, protocol::TicketHeader);
    if (!text.starts_with("dst1.")) {
        return refusal_reason::none; // an idempotency key chosen by the caller, or none; forwarded to the worker unchanged
    }
    const absl::StatusOr<state::ticket> ticket = state::parseTicket(text);
    if (!ticket.ok()) {
        return refusal_reason::bad_request;
    }
    m_ticket = std::string(text);
    m_parsedTicket = *ticket;
    return refusal_reason::none;
}

asio::awaitable<bool> request_handler::issueTicket()
{
    const std::string path(protocol::findHeader(m_request.headers, protocol::TicketPathHeader));
    const std::string method(protocol::findHeader(m_request.headers, protocol::TicketMethodHeader));
    const state::time_point now = state::clock::now();
    if (m_request.method != "POST" || path.empty()) {
        co_return co_await refuse(refusal_reason::bad_request, run_state::not_run, now);
    }
    if (const absl::Status found = findRoute(protocol::pathOf(path), method.empty() ? "POST" : method); !found.ok()) {
        co_return co_await refuse(refusal_reason::no_route, run_state::not_run, now);
    }
    if (const refusal_reason reason = identifyOrganisation(); reason != refusal_reason::none) {
        co_return co_await refuse(reason, run_state::not_run, now);
    }
    m_deadline = m_request.arrivedAt + m_route->timeout;
    const auto view = m_ingress.viewOf(*m_pool);
    while (state::clock::now() < m_deadline) {
        const std::size_t index = chooseWorker(*view, {});
        if (index == coordination::NoWorker) {
            break;
        }
        const coordination::worker_view &worker = view->workers[index];
        const auto link = co_await m_ingress.peers().connect(worker.node, m_deadline);
        if (!link.ok()) {
            m_ingress.recordPathOutcome(worker.node, false);
            m_triedWorkers.push_back(worker.id);
            continue;
        }
        const std::int64_t expiresAtMs = systemNowMs() + m_ingress.settings().ticketLifetime.count() / 2;
        const state::ticket ticket{worker.id, (*link)->incarnation, m_ingress.nextAttempt(), expiresAtMs};
        boost::json::object body;
        body["ticket"] = state::formatTicket(ticket);
        body["expires_at_ms"] = expiresAtMs;
        protocol::http_headers headers;
        headers.push_back({"Content-Type", "application/json"});
        co_return co_await m_connection.sendAnswer(201, headers, boost::json::serialize(body) + "\n");
    }
    co_return co_await refuse(refusal_reason::no_capacity, run_state::not_run, state::clock::now() + NoCapacityRetryAfter);
}

// [SECTION] Attempts

std::size_t request_handler::chooseWorker(const coordination::pool_view &view, const std::string &preferred)
{
    if (!m_ticket.empty()) {
        const auto found = std::find_if(view.workers.begin(), view.workers.end(), [&](const auto &worker) { return worker.id == m_parsedTicket.worker; });
        return found == view.workers.end() ? coordination::NoWorker : static_cast<std::size_t>(found - view.workers.begin());
    }
    std::vector<std::uint32_t> inFlight;
    inFlight.reserve(view.workers.size());
    for (const coordination::worker_view &worker : view.workers) {
        inFlight.push_back(m_ingress.inFlight(worker.id));
    }
    coordination::pick_request pick;
    pick.dataCentre = m_ingress.settings().dataCentre;
    pick.route = m_route->name;
    std::vector<std::string> barred = m_ingress.barredWorkers(view);
    barred.insert(barred.end(), m_triedWorkers.begin(), m_triedWorkers.end());
    std::vector<std::string> exclude = barred;
    for (const coordination::worker_view &worker : view.workers) {
        if (m_ingress.isAvoided(worker)) {
            exclude.push_back(worker.id);
        }
    }
    pick.exclude = exclude;
    pick.preferredWorker = preferred;
    pick.inFlight = inFlight;
    pick.random = m_ingress.random();
    pick.answerBytes = m_ingress.expectedAnswerBytes(m_route->name);
    pick.isRetry = m_arrivals > 0;
    pick.wholePool = !m_triedWorkers.empty();
    pick.acceptedRisk = acceptedRisk();
    pick.idempotent = m_route->idempotent && m_ticket.empty();
    pick.now = state::clock::now();
    const std::size_t chosen = m_ingress.balancerOf(view).pick(view, pick);
    if (chosen != coordination::NoWorker || exclude.size() == barred.size()) {
        return chosen;
    }
    pick.exclude = barred; // without another choice, workers in path backoff are included
    return m_ingress.balancerOf(view).pick(view, pick);
}

double request_handler::acceptedRisk() const
{
    return m_overridesGuard ? coordination::MaxAcceptedRisk : coordination::acceptedRisk(m_refusedRisks.size());
}

std::size_t request_handler::chooseLeastRisky(const coordination::pool_view &view)
{
    const std::vector<std::string> barred = m_ingress.barredWorkers(view);
    std::size_t best = coordination::NoWorker;
    double bestRisk = 0.0;
    for (std::size_t i = 0; i < view.workers.size(); ++i) {
        const auto refused = m_refusedRisks.find(view.workers[i].id);
        const bool isBarred = std::find(barred.begin(), barred.end(), view.workers[i].id) != barred.end();
        if (refused != m_refusedRisks.end() && !isBarred && (best == coordination::NoWorker || refused->second < bestRisk)) {
            best = i;
            bestRisk = refused->second;
        }
    }
    m_overridesGuard = best != coordination::NoWorker;
    return best;
}

asio::awaitable<bool> request_handler::runAttempts()
{
    auto view = m_ingress.viewOf(*m_pool);
    coordination::retry_policy &retry = m_ingress.retryOf(*view);
    retry.recordRequest(state::clock::now());
    coordination::failed_attempt lastFailure;
    std::string preferred;
    while (true) {
        view = m_ingress.viewOf(*m_pool); // the view may have been replaced during the last attempt
        const bool guardLimitReached = m_refusedRisks.size() >= MaxGuardRefusals;
        std::size_t index = guardLimitReached ? coordination::NoWorker : chooseWorker(*view, preferred);
        if (index == coordination::NoWorker && !m_overridesGuard) {
            index = chooseLeastRisky(*view);
        }
        if (index == coordination::NoWorker) {
            co_return co_await refuseWithoutWorker(*view, lastFailure);
        }
        const coordination::worker_view worker = view->workers[index]; // copied, since the view may be replaced during the attempt
        ++m_attempts;
        ++m_ingress.inFlight(worker.id);
        m_ingress.recordSent(worker.id);
        attempt_outcome outcome = co_await sendAttempt(worker);
        --m_ingress.inFlight(worker.id);
        if (outcome.end != attempt_end::failed) {
            logEnded(outcome.end, worker.id);
            co_return outcome.end == attempt_end::delivered;
        }
        if (mayHaveReachedWorker(outcome.failure)) {
            ++m_arrivals;
        } else {
            m_ingress.recordNotArrived(worker.id);
        }
        outcome.failure.arrivals = m_arrivals;
        m_budgetRefusals = outcome.failure.budgetRefusals;
        lastFailure = outcome.failure;
        if (lastFailure.refusal == refusal_reason::worker_unreachable) {
            m_ingress.recordUnreachable(worker.id);
        }
        if (m_overridesGuard) {
            m_refusedRisks.erase(worker.id); // the guard was overridden, so the failure has another cause: the next override uses another worker
        } else if (lastFailure.refusal == refusal_reason::worker_at_risk) {
            m_refusedRisks[worker.id] = outcome.risk;
        }
        m_overridesGuard = false;
        m_runState = coordination::combineRunStates(m_runState, lastFailure.run);
        if (!m_ticket.empty()) {
            logAttemptFailed(worker, lastFailure);
            co_return co_await refuse(lastFailure.refusal, m_runState, std::max(lastFailure.retryAt, state::clock::now() + OutcomeRetryAfter));
        }
        if (!outcome.retryGranted) {
            const coordination::retry_verdict verdict = retry.decide(lastFailure, state::clock::now());
            if (!verdict.retry) {
                logAttemptFailed(worker, lastFailure);
                co_return co_await refuse(verdict.refusal, m_runState, verdict.retryAt);
            }
        }
        logAttemptFailed(worker, lastFailure);
        m_ingress.metrics().countRetry(lastFailure.retryReason);
        m_triedWorkers.push_back(worker.id);
        preferred = outcome.alternativeWorker;
    }
}

// [SECTION] Refusals

// No worker can be chosen. When workers have no room within their rate limits, the caller is told when the first of them has.
asio::awaitable<bool> request_handler::refuseWithoutWorker(const coordination::pool_view &view, const coordination::failed_attempt &lastFailure)
{
    if (!m_ticket.empty()) {
        co_return co_await refuse(refusal_reason::unknown_outcome, run_state::unknown, state::clock::now() + NoCapacityRetryAfter);
    }
    const std::optional<state::time_point> roomAt = m_ingress.promiseRoom(view);
    const refusal_reason withoutAttempt = roomAt ? refusal_reason::worker_limited : refusal_reason::no_capacity;
    co_return co_await refuse(m_attempts > 0 ? lastFailure.refusal : withoutAttempt, m_runState, roomAt ? *roomAt : state::clock::now() + NoCapacityRetryAfter);
}

asio::awaitable<bool> request_handler::sendFailedAnswer()
{
    m_answerStatus = m_failedAnswer->status;
    const bool sent = co_await m_connection.sendAnswer(m_answerStatus, m_failedAnswer->headers, std::move(m_failedAnswer->body));
    m_ingress.metrics().countRequest(m_route->name, m_answerStatus);
    logEnded(sent ? attempt_end::delivered : attempt_end::caller_disconnected, m_failedAnswer->worker);
    co_return sent;
}

asio::awaitable<bool> request_handler::refuse(refusal_reason reason, run_state run, state::time_point retryAt)
{
    if (m_callerDisconnected) {
        logEvent(event::request_gone, {{"request", requestId()}, {"route", m_route != nullptr ? m_route->name : ""}, {"attempts", std::to_string(m_attempts)}});
        co_return false;
    }
    if (m_failedAnswer) {
        co_return co_await sendFailedAnswer();
    }
    const state::time_point now = state::clock::now();
    protocol::caller_refusal refusal;
    refusal.reason = reason == refusal_reason::none ? refusal_reason::unknown_outcome : reason;
    refusal.run = run;
    refusal.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(std::max(retryAt - now, state::duration::zero()));
    recordRefusalOfOrganisation(refusal);
    logRefused(refusal);
    m_ingress.metrics().countRefusal(refusal.reason);
    m_ingress.metrics().countRequest(m_route != nullptr ? m_route->name : "none", protocol::httpStatusOf(refusal));
    co_return co_await m_connection.sendRefusal(refusal);
}

} // namespace dandelionstall
