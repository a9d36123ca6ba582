// The organisation of a request: found by the key that the caller sent, for each request anew, and passed on by its name only.
#include "request_handler.h"

#include <dandelionstall/protocol/caller_http.h>

#include <vector>

namespace dandelionstall {

using coordination::refusal_reason;

namespace {

constexpr std::string_view MissingKey = "missing";
constexpr std::string_view RepeatedKey = "repeated";
constexpr std::string_view UnknownKey = "unknown";

} // namespace

// Removes the key and whatever the caller states as its organisation, also on public routes: each attempt is made from the headers that
// are left.
refusal_reason request_handler::identifyOrganisation()
{
    const state::header_names &names = m_ingress.settings().headers;
    if (!m_snapshot->routes->organisationRules.keysRequired || names.apiKey.empty()) {
        return refusal_reason::none;
    }
    std::string_view fault = MissingKey;
    if (const std::vector<std::string_view> keys = protocol::findHeaders(m_request.headers, names.apiKey); keys.size() > 1) {
        fault = RepeatedKey;
    } else if (!keys.empty() && !keys.front().empty()) {
        fault = UnknownKey;
        m_organisation = m_snapshot->organisations->find(state::digestOfKey(keys.front()));
    }
    protocol::removeHeaders(m_request.headers, names.apiKey);
    protocol::removeHeaders(m_request.headers, names.organisation);
    if (m_organisation != nullptr) {
        m_ingress.metrics().incrementCounter("organisation_requests");
        m_ingress.organisationUse().record(m_organisation->name, coordination::organisation_event::offered);
        m_hasKey = true;
        if (!names.organisation.empty()) {
            m_request.headers.push_back({names.organisation, m_organisation->name});
        }
        return refusal_reason::none;
    }
    if (fault != MissingKey) {
        m_ingress.metrics().incrementCounter("unknown_keys");
    }
    if (!m_route->isPublic) {
        logOrganisationRefused(fault);
        return refusal_reason::unknown_key;
    }
    const std::string parent = m_ingress.organisationOfParent(protocol::findHeader(m_request.headers, names.requestId));
    m_organisation = parent.empty() ? nullptr : m_snapshot->organisations->findByName(parent);
    return refusal_reason::none;
}

// A call that a run makes is part of the request that is run: only requests with a key count.
bool request_handler::fitsRate(state::time_point now, state::time_point &retryAt)
{
    if (!m_hasKey || m_organisation->rate <= 0.0) {
        return true;
    }
    const coordination::organisation_limit limit = coordination::limitOf(*m_organisation, m_snapshot->routes->organisationRules);
    const coordination::rate_decision decision
        = m_ingress.rates().access([&](coordination::rate_client &client) { return client.decide(m_organisation->name, limit, m_route->priority, now); });
    m_isCounted = decision.admitted;
    retryAt = decision.retryAt;
    if (!decision.admitted) {
        logOrganisationLimited(decision);
    }
    return decision.admitted;
}

void request_handler::recordRefusalOfOrganisation(const protocol::caller_refusal &refusal)
{
    if (!m_hasKey || refusal.run != coordination::run_state::not_run) {
        return;
    }
    const bool isLimited = refusal.reason == refusal_reason::organisation_limit;
    m_ingress.organisationUse().record(m_organisation->name, isLimited ? coordination::organisation_event::limited : coordination::organisation_event::not_run);
    if (m_isCounted) {
        m_ingress.rates().access([&](coordination::rate_client &client) { client.recordNotRun(m_organisation->name); });
    }
}

} // namespace dandelionstall
