// What the ingress knows of the fleet, for request_handler: configuration, views, policies and paths.
#include "ingress.h"

#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace dandelionstall {

namespace asio = boost::asio;
using transport::event;
using transport::logEvent;

namespace {

constexpr auto PoolUseReportPeriod = std::chrono::seconds(1); // minimum interval between use reports of one pool
constexpr auto RefusedKeyLinePeriod = std::chrono::seconds(1);
constexpr auto LimitedLinePeriod = std::chrono::seconds(1); // of one organisation
constexpr double AnswerBytesSmoothing = 0.2;                // weight of a new answer in the moving average of answer sizes

} // namespace

// [SECTION] Configuration

void ingress::applySnapshot(coordination::fleet_snapshot_ptr snapshot)
{
    if (snapshot->routes && (!m_routes || &m_routes->table() != snapshot->routes.get())) {
        if (m_averageAnswerBytes.size() > snapshot->routes->routes.size()) {
            m_averageAnswerBytes.clear(); // the averages include routes that the new table has removed
        }
        m_routes = std::make_unique<state::route_index>(snapshot->routes);
    }
    const bool poolsChanged = snapshot->pools && (!m_snapshot || m_snapshot->pools != snapshot->pools);
    m_snapshot = std::move(snapshot);
    if (poolsChanged) {
        endEarlierLifetimes(*m_snapshot->pools);
        std::erase_if(m_inFlight, [](const auto &entry) { return entry.second == 0; }); // workers come and go
    }
    if (m_snapshot->pools != m_fallbackViewsTable) {
        m_fallbackViews.clear();
        m_fallbackViewsTable = m_snapshot->pools;
    }
}

coordination::fleet_snapshot_ptr ingress::snapshot() const
{
    const bool complete = m_snapshot && m_snapshot->routes && m_snapshot->pools && (m_snapshot->workersDiscovered || m_settings.platformKind == "consul");
    return complete ? m_snapshot : nullptr;
}

const state::route_index &ingress::routes() const
{
    return *m_routes;
}

std::shared_ptr<const coordination::pool_view> ingress::viewOf(const state::pool &pool)
{
    const state::time_point now = state::clock::now();
    state::time_point &dueAt = m_nextPoolUseReportAt[pool.name];
    if (now >= dueAt) {
        dueAt = now + PoolUseReportPeriod;
        m_events.poolUse(pool.name);
    }
    const auto published = m_snapshot->poolViews.find(pool.name);
    if (published != m_snapshot->poolViews.end()) {
        return published->second;
    }
    std::shared_ptr<const coordination::pool_view> &fallback = m_fallbackViews[pool.name];
    if (!fallback) {
        fallback = std::make_shared<const coordination::pool_view>(coordination::makePoolView(pool));
    }
    return fallback;
}

coordination::balancer &ingress::balancerOf(const coordination::pool_view &view)
{
    std::unique_ptr<coordination::balancer> &entry = m_balancers[view.balancer];
    if (!entry) {
        auto created = coordination::makeBalancer(view.balancer);
        entry = created.ok() ? *std::move(created) : *coordination::makeBalancer("least_wait");
    }
    return *entry;
}

coordination::retry_policy &ingress::retryOf(const coordination::pool_view &view)
{
    std::unique_ptr<coordination::retry_policy> &entry = m_retryPolicies[view.name + "/" + view.retry];
    if (!entry) {
        auto created = coordination::makeRetryPolicy(view.retry, m_random());
        entry = created.ok() ? *std::move(created) : *coordination::makeRetryPolicy("budgeted", m_random());
    }
    return *entry;
}

// [SECTION] Access for request_handler

const state::settings &ingress::settings() const
{
    return m_settings;
}

peer_directory &ingress::peers()
{
    return m_peers;
}

void ingress::recordPathOutcome(const state::node_address &node, bool ok)
{
    if (ok) {
        m_pathBackoff.recordSuccess(state::formatNodeAddress(node));
    } else {
        m_pathBackoff.recordFailure(state::formatNodeAddress(node), state::clock::now());
    }
    m_events.pathOutcome(node, ok);
}

void ingress::recordUnreachable(const std::string &worker)
{
    m_pathBackoff.recordFailure(worker, state::clock::now());
}

bool ingress::isAvoided(const coordination::worker_view &worker) const
{
    const state::time_point now = state::clock::now();
    return m_pathBackoff.isAvoided(worker.id, now) || isAvoided(worker.node);
}

bool ingress::isAvoided(const state::node_address &node) const
{
    return m_pathBackoff.isAvoided(state::formatNodeAddress(node), state::clock::now());
}

transport::metrics &ingress::metrics()
{
    return m_metrics;
}

coordination::memory_budget &ingress::memory()
{
    return m_memory;
}

std::uint64_t ingress::random()
{
    return m_random();
}

state::attempt_id ingress::nextAttempt()
{
    return {m_attemptOrigin, ++m_attemptSequence};
}

std::size_t ingress::expectedAnswerBytes(const std::string &route) const
{
    const auto entry = m_averageAnswerBytes.find(route);
    return entry == m_averageAnswerBytes.end() ? 0 : static_cast<std::size_t>(entry->second);
}

void ingress::recordAnswerBytes(const std::string &route, std::size_t bytes)
{
    const auto [entry, added] = m_averageAnswerBytes.try_emplace(route, static_cast<double>(bytes));
    entry->second += (static_cast<double>(bytes) - entry->second) * AnswerBytesSmoothing;
}

std::uint32_t &ingress::inFlight(const std::string &worker)
{
    return m_inFlight[worker];
}

bool ingress::isCallOfRepeat(std::string_view request, state::time_point deadline)
{
    return m_localRuns.access([&](coordination::local_runs &runs) { return runs.isCallOfRepeat(request, deadline, state::clock::now()); });
}

std::string ingress::organisationOfParent(std::string_view request)
{
    return m_localRuns.access([&](coordination::local_runs &runs) { return runs.organisationOfParent(request); });
}

coordination::organisation_use &ingress::organisationUse()
{
    return m_organisationUse;
}

shared_rate_client &ingress::rates()
{
    return m_rates;
}

std::optional<std::uint64_t> ingress::countLimited(const std::string &organisation)
{
    limited_count &count = m_limited[organisation];
    ++count.refusals;
    const state::time_point now = state::clock::now();
    if (now < count.nextLineAt) {
        return std::nullopt;
    }
    count.nextLineAt = now + LimitedLinePeriod;
    return std::exchange(count.refusals, 0);
}

std::optional<std::uint64_t> ingress::countRefusedKey()
{
    ++m_refusedKeys;
    const state::time_point now = state::clock::now();
    if (now < m_nextRefusedKeyLine) {
        return std::nullopt;
    }
    m_nextRefusedKeyLine = now + RefusedKeyLinePeriod;
    return std::exchange(m_refusedKeys, 0);
}

void ingress::logOrganisationUse(state::time_point now)
{
    if (now < m_nextUseLines) {
        return;
    }
    m_nextUseLines = now + coordination::UseLinePeriod;
    std::erase_if(m_limited, [now](const auto &row) { return row.second.nextLineAt < now; });
    for (const coordination::organisation_count &count : m_organisationUse.consumeBusiest(coordination::UseLines)) {
        const state::organisation *row = m_snapshot && m_snapshot->organisations ? m_snapshot->organisations->findByName(count.organisation) : nullptr;
        logEvent(event::organisation_use,
                 {{"organisation", count.organisation},
                  {"offered", fmt::to_string(count.offered)},
                  {"limited", fmt::to_string(count.limited)},
                  {"not_run", fmt::to_string(count.notRun)},
                  {"rate", row != nullptr ? fmt::to_string(row->rate) : "none"},
                  {"burst", row != nullptr ? fmt::to_string(row->burst) : "none"},
                  {"revision", m_snapshot && m_snapshot->routes ? fmt::to_string(m_snapshot->routes->revision) : "none"}});
    }
}

asio::io_context &ingress::io()
{
    return m_io;
}

} // namespace dandelionstall
