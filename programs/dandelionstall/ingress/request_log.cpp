// Log lines of one request: the worker chosen for each attempt with the values on which the choice was based, failures, and the end.
#include "request_handler.h"

#include <dandelionstall/protocol/caller_http.h>
#include <dandelionstall/transport/events.h>

#include <fmt/format.h>

namespace dandelionstall {

using transport::event;
using transport::logEvent;

namespace {

std::int64_t millisSince(state::time_point from)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(state::clock::now() - from).count();
}

std::string reportAgeMs(const coordination::worker_view &worker)
{
    return worker.report.version == 0 ? "none" : fmt::to_string(millisSince(worker.reportReceivedAt));
}

} // namespace

std::string request_handler::requestId() const
{
    const std::string_view callerRequestId = protocol::findHeader(m_request.headers, m_ingress.settings().headers.requestId);
    return callerRequestId.empty() ? m_lastAttemptId : std::string(callerRequestId);
}

void request_handler::logPlaced(const coordination::worker_view &worker, const state::attempt_id &id) const
{
    logEvent(event::attempt_placed,
             {{"request", requestId()},
              {"attempt", state::formatAttemptId(id)},
              {"route", m_route->name},
              {"organisation", m_organisation != nullptr ? m_organisation->name : "none"},
              {"revision", fmt::to_string(m_snapshot->routes->revision)},
              {"worker", worker.id},
              {"node", state::formatNodeAddress(worker.node)},
              {"state", std::string(coordination::stateName(worker.state))},
              {"risk", fmt::format("{:.2f}", worker.report.risk)},
              {"wait_us", fmt::to_string(worker.report.expectedWait.count())},
              {"report_age_ms", reportAgeMs(worker)},
              {"accepted_risk", fmt::format("{:.2f}", acceptedRisk())},
              {"attempts", fmt::to_string(m_attempts)},
              {"left_ms", fmt::to_string(-millisSince(m_deadline))}});
}

void request_handler::logAttemptFailed(const coordination::worker_view &worker, const coordination::failed_attempt &failure) const
{
    logEvent(event::attempt_failed,
             {{"request", requestId()},
              {"attempt", m_lastAttemptId},
              {"worker", worker.id},
              {"kind", std::string(coordination::reasonName(failure.retryReason))},
              {"refusal", std::string(coordination::reasonName(failure.refusal))},
              {"run", std::string(coordination::runStateName(failure.run))},
              {"arrivals", fmt::to_string(failure.arrivals)},
              {"waited_ms", fmt::to_string(millisSince(m_request.arrivedAt))}});
}

void request_handler::logEnded(attempt_end end, const std::string &worker) const
{
    event id = event::request_answered;
    if (end != attempt_end::delivered) {
        id = end == attempt_end::aborted ? event::request_broken : event::request_gone;
    }
    logEvent(id,
             {{"request", requestId()},
              {"route", m_route->name},
              {"status", fmt::to_string(m_answerStatus)},
              {"worker", worker},
              {"attempts", fmt::to_string(m_attempts)},
              {"waited_ms", fmt::to_string(millisSince(m_request.arrivedAt))}});
}

void request_handler::logRefused(const protocol::caller_refusal &refusal) const
{
    logEvent(event::request_refused,
             {{"request", requestId()},
              {"route", m_route != nullptr ? m_route->name : ""},
              {"revision", m_snapshot ? fmt::to_string(m_snapshot->routes->revision) : "none"},
              {"status", fmt::to_string(protocol::httpStatusOf(refusal))},
              {"reason", std::string(coordination::reasonName(refusal.reason))},
              {"run", std::string(coordination::runStateName(refusal.run))},
              {"retry_after_ms", fmt::to_string(refusal.retryAfter.count())},
              {"attempts", fmt::to_string(m_attempts)},
              {"waited_ms", fmt::to_string(millisSince(m_request.arrivedAt))}});
}

// Never contains what the caller sent as a key.
void request_handler::logOrganisationRefused(std::string_view fault) const
{
    if (const std::optional<std::uint64_t> refusals = m_ingress.countRefusedKey()) {
        logEvent(event::organisation_refused,
                 {{"request", requestId()},
                  {"route", m_route->name},
                  {"revision", fmt::to_string(m_snapshot->routes->revision)},
                  {"key", std::string(fault)},
                  {"refusals", fmt::to_string(*refusals)}});
    }
}

void request_handler::logOrganisationLimited(const coordination::rate_decision &decision) const
{
    m_ingress.metrics().incrementCounter("organisation_refusals");
    if (const std::optional<std::uint64_t> refusals = m_ingress.countLimited(m_organisation->name)) {
        logEvent(event::organisation_limited,
                 {{"request", requestId()},
                  {"organisation", m_organisation->name},
                  {"rate", fmt::to_string(m_organisation->rate)},
                  {"revision", fmt::to_string(m_snapshot->routes->revision)},
                  {"fraction", fmt::format("{:.3f}", decision.fraction)},
                  {"own_share", decision.onOwnShare ? "yes" : "no"},
                  {"answer_age_ms", fmt::to_string(decision.age.count())},
                  {"refusals", fmt::to_string(*refusals)}});
    }
}

} // namespace dandelionstall
