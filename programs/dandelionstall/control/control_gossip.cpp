#include "control_detail.h"

#include <dandelionstall/protocol/gossip_codec.h>
#include <dandelionstall/state/text.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <unordered_map>

namespace dandelionstall {

using coordination::member;
using coordination::member_state;
using coordination::node_condition;
using coordination::path_event;
using coordination::reader_role;
using coordination::table_kind;
using transport::event;
using transport::logEvent;

namespace {

constexpr std::chrono::seconds EraSettlingTime{5};           // by then, the workers of a new era of the store have written their entries again
constexpr std::chrono::milliseconds EvaluationInterval{100}; // interval between two evaluations of the pools
constexpr std::chrono::seconds TotalsInterval{10};           // interval between two lines with the totals

event eventOf(coordination::offer_verdict verdict)
{
    switch (verdict) {
    case coordination::offer_verdict::held:
        return event::config_held;
    case coordination::offer_verdict::stale:
        return event::config_stale;
    case coordination::offer_verdict::conflict:
        return event::config_conflict;
    case coordination::offer_verdict::broken:
        return event::config_refused;
    default:
        return event::config_accepted;
    }
}

event eventOf(const member &changed)
{
    if (changed.state == member_state::dead) {
        return event::member_dead;
    }
    if (changed.state == member_state::suspect) {
        return event::member_suspected;
    }
    return changed.leaving ? event::member_leaving : event::member_alive;
}

// Returns the discovered workers of a table by id.
std::unordered_map<std::string_view, const state::pool_worker *> discoveredWorkers(const state::pool_table *table)
{
    std::unordered_map<std::string_view, const state::pool_worker *> rows;
    if (table == nullptr) {
        return rows;
    }
    for (const state::pool &pool : table->pools) {
        for (const state::pool_worker &worker : pool.workers) {
            if (pool.hasDiscoveredWorkers) {
                rows.emplace(worker.id, &worker);
            }
        }
    }
    return rows;
}

node_condition conditionOf(const member &changed)
{
    if (changed.state == member_state::dead) {
        return node_condition::dead;
    }
    return changed.leaving ? node_condition::leaving : node_condition::live;
}

} // namespace

// [SECTION] Gossip

void control::detail::scheduleTick()
{
    m_tickTimer.expires_after(coordination::TickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void control::detail::tick()
{
    const state::time_point now = state::clock::now();
    send(m_gossipNode.tick(now));
    tickRates(now);
    updateSelfSuspicion(now);
    updateReaderRole(now);
    applyUpdates(now);
    logSettledEra(now);
    if (m_nextEvaluationAt <= now) {
        m_nextEvaluationAt = now + EvaluationInterval;
        m_publishDue = !m_tracker.evaluate(now).empty() || m_publishDue;
        logWorkerStateChanges(now);
    }
    if (std::exchange(m_publishDue, false)) {
        publish();
    }
    logTotals(now);
    scheduleTick();
}

void control::detail::logTotals(state::time_point now)
{
    if (now < m_nextTotalsAt) {
        return;
    }
    const bool firstTick = std::exchange(m_nextTotalsAt, now + TotalsInterval) == state::time_point{};
    if (firstTick) {
        return;
    }
    logEvent(event::control_totals,
             {{"gossip_sent", fmt::to_string(m_totals.gossipSent)},
              {"gossip_received", fmt::to_string(m_totals.gossipReceived)},
              {"reports_received", fmt::to_string(m_totals.reportsReceived)},
              {"platform_calls", fmt::to_string(m_totals.platformCalls)},
              {"published", fmt::to_string(m_totals.published)},
              {"live_members", fmt::to_string(m_gossipNode.members().countLive())}});
}

// Logs one line for each worker whose state as seen by this node has changed.
void control::detail::logWorkerStateChanges(state::time_point now)
{
    for (const coordination::worker_explanation &worker : m_tracker.consumeStateChanges(now)) {
        const bool isFirstReport = worker.state == coordination::worker_state::healthy && worker.recentEjections == 0;
        if (isFirstReport && now < m_firstContactsUntil) {
            continue;
        }
        logEvent(event::worker_judged,
                 {{"worker", worker.worker},
                  {"pool", worker.pool},
                  {"state", std::string(coordination::stateName(worker.state))},
                  {"reason", std::string(coordination::reasonName(worker.reason))},
                  {"weight", fmt::format("{:.2f}", worker.weight)},
                  {"text", worker.summary}});
    }
}

void control::detail::receive(std::string_view datagram)
{
    m_metrics.incrementCounter("gossip_received");
    ++m_totals.gossipReceived;
    const absl::StatusOr<coordination::gossip_message> message = protocol::decodeGossip(datagram);
    if (!message.ok()) {
        m_metrics.incrementCounter("gossip_refused");
        logEvent(event::gossip_refused, {{"reason", std::string(state::messageOf(message.status()))}});
        return;
    }
    if (message->unusableRows > 0) {
        m_metrics.incrementCounter("gossip_rows_unusable");
        logEvent(event::gossip_refused,
                 {{"reason", fmt::format("{} unusable rows", message->unusableRows)}, {"sender", state::formatNodeAddress(message->sender.address)}});
    }
    const state::time_point now = state::clock::now();
    if (message->kind == coordination::gossip_kind::rates) {
        receiveRates(*message, now);
        return;
    }
    send(m_gossipNode.receive(*message, now));
    recordStoreEra(state::formatNodeAddress(message->sender.address), {m_loggedEra, 0});
    applyUpdates(now);
}

void control::detail::send(const coordination::gossip_batch &batch)
{
    for (const coordination::outgoing_gossip &out : batch) {
        ++m_totals.gossipSent;
        m_metrics.incrementCounter(m_socket.send(out.to, protocol::encodeGossip(out.message)) ? "gossip_sent" : "gossip_send_failed");
    }
}

// [SECTION] Updates from gossip and the platform

void control::detail::applyUpdates(state::time_point now)
{
    applyTableUpdates();
    applyMemberChanges(now);
    applyPathObservations(now);
    applyReports(now);
    const coordination::gossip_sender &self = m_gossipNode.members().self();
    if (self.leaving != current()->leaving || self.incarnation != current()->selfIncarnation) {
        publish();
    }
}

void control::detail::applyTableUpdates()
{
    for (const coordination::offered_table &offered : m_gossipNode.consumeOfferedTables()) {
        if (offered.result.verdict != coordination::offer_verdict::accepted) {
            recordTableRefusal(offered.kind, offered.result.verdict, offered.result.reason, offered.source);
        }
    }
    const coordination::fleet_snapshot_ptr before = current();
    const bool routesChanged = m_gossipNode.store().routes() != before->routes;
    const bool poolsChanged = m_gossipNode.pools() != before->pools;
    if (poolsChanged) {
        m_tracker.setTable(m_gossipNode.pools(), state::clock::now());
    }
    if (routesChanged || poolsChanged) {
        recordTableAccepted(table_kind::routes, before->routes ? before->routes->revision : 0);
        recordTableAccepted(table_kind::pools, before->pools ? before->pools->revision : 0);
        if (poolsChanged) {
            logWorkerChanges(before->pools.get());
        }
        publish();
    }
}

// Logs one line for each discovered worker that appears, disappears or starts or stops leaving; for the first list, one in all.
void control::detail::logWorkerChanges(const state::pool_table *before)
{
    const auto previousRows = discoveredWorkers(before);
    const auto currentRows = discoveredWorkers(m_gossipNode.pools().get());
    if (previousRows.empty() && !currentRows.empty()) {
        logEvent(event::workers_listed, {{"workers", fmt::to_string(currentRows.size())}});
        return;
    }
    for (const auto &[id, row] : currentRows) {
        const auto previousRow = previousRows.find(id);
        if (previousRow == previousRows.end() || previousRow->second->leaving != row->leaving) {
            const auto entry = m_gossipNode.workers().entries().find(id);
            const std::string revision = entry != m_gossipNode.workers().entries().end() ? fmt::to_string(entry->second.revision.revision) : "0";
            logEvent(event::worker_known, {{"worker", row->id}, {"phase", row->leaving ? "leaving" : "ready"}, {"revision", revision}});
        }
    }
    for (const auto &[id, row] : previousRows) {
        if (!currentRows.contains(id)) {
            logEvent(event::worker_gone, {{"worker", row->id}});
        }
    }
}

void control::detail::recordTableAccepted(table_kind kind, state::table_revision before)
{
    const state::table_revision revision = m_gossipNode.store().inForce(kind).revision;
    if (revision != before) {
        m_metrics.incrementCounter("config_accepted");
        m_metrics.setGauge(fmt::format("config_{}_revision", tableKindName(kind)), static_cast<double>(revision));
        logEvent(event::config_accepted, {{"table", std::string(tableKindName(kind))}, {"revision", fmt::to_string(revision)}});
    }
}

void control::detail::recordTableRefusal(table_kind kind, coordination::offer_verdict verdict, const absl::Status &reason, const std::string &source)
{
    m_metrics.incrementCounter(fmt::format("config_{}", offerVerdictName(verdict)));
    std::string text = reason.ok() ? fmt::format("{} has different content under the revision in force", source) : std::string(state::messageOf(reason));
    std::string &last = m_lastRefusals[static_cast<std::size_t>(kind)];
    if (last != text) { // the refusal recurs with every message of that source
        logEvent(eventOf(verdict), {{"table", std::string(tableKindName(kind))}, {"source", source}, {"reason", text}});
        last = std::move(text);
    }
}

void control::detail::applyMemberChanges(state::time_point now)
{
    for (const member &changed : m_gossipNode.members().consumeChanges()) {
        m_tracker.recordNodeCondition(changed.address, conditionOf(changed), now);
        const event what = eventOf(changed);
        if (what != event::member_alive || now >= m_firstContactsUntil) {
            logEvent(what, {{"member", state::formatNodeAddress(changed.address)}, {"incarnation", fmt::to_string(changed.incarnation)}});
        }
    }
}

void control::detail::applyPathObservations(state::time_point now)
{
    for (const coordination::path_observation &path : m_gossipNode.members().consumePathObservations()) {
        m_tracker.recordPathEvent(path.node, path.inboundUp ? path_event::inbound_up : path_event::inbound_down, now);
        if (path.inboundUp) {
            m_tracker.recordPathEvent(path.node, path.outboundUp ? path_event::outbound_up : path_event::outbound_down, now);
        }
    }
}

void control::detail::applyReports(state::time_point now)
{
    for (const coordination::worker_report &report : m_gossipNode.consumePeerReports()) {
        ++m_totals.reportsReceived;
        m_tracker.recordReport(report, now);
    }
}

void control::detail::recordStoreEra(const std::string &source, coordination::store_revision before)
{
    const std::uint64_t era = m_gossipNode.workers().era();
    const std::uint64_t logged = std::exchange(m_loggedEra, std::max(m_loggedEra, era));
    if (era <= logged || logged == 0) { // the first era that a node hears of is no change
        return;
    }
    m_eraLearnedAt = state::clock::now();
    m_eraSettlesAt = m_eraLearnedAt + EraSettlingTime;
    m_metrics.incrementCounter("store_eras_learned");
    logEvent(event::store_era_learned,
             {{"era", fmt::to_string(era)},
              {"before", fmt::to_string(logged)},
              {"source", source},
              {"revision_before", fmt::to_string(before.revision)},
              {"workers", fmt::to_string(m_gossipNode.workers().entries().size())}});
}

void control::detail::logSettledEra(state::time_point now)
{
    if (now < m_eraSettlesAt) {
        return;
    }
    m_eraSettlesAt = state::time_point::max();
    std::size_t replaced = 0;
    std::size_t dropped = 0;
    std::size_t kept = 0;
    std::uint64_t revision = 0;
    for (const auto &[id, entry] : m_gossipNode.workers().entries()) {
        const bool isNew = entry.revision.era == m_loggedEra;
        revision = isNew ? std::max(revision, entry.revision.revision) : revision;
        if (entry.phase == coordination::worker_phase::removed) {
            dropped += isNew ? 1 : 0;
        } else {
            ++(isNew ? replaced : kept);
        }
    }
    logEvent(event::store_era_settled,
             {{"era", fmt::to_string(m_loggedEra)},
              {"revision", fmt::to_string(revision)},
              {"kept", fmt::to_string(kept)},
              {"replaced", fmt::to_string(replaced)},
              {"dropped", fmt::to_string(dropped)},
              {"config", fmt::to_string(m_gossipNode.store().inForce(table_kind::routes).revision)},
              {"after_ms", fmt::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(now - m_eraLearnedAt).count())}});
}

void control::detail::updateSelfSuspicion(state::time_point now)
{
    if (m_gossipNode.members().consumePauseDetected()) {
        m_metrics.incrementCounter("pauses_noticed");
        m_tracker.recordPause(now);
    }
    m_tracker.setIsolated(m_gossipNode.members().isIsolated(now));
    const bool selfSuspected = m_gossipNode.members().isSelfSuspected(now);
    if (std::exchange(m_selfSuspected, selfSuspected) != selfSuspected) {
        logEvent(selfSuspected ? event::self_doubt : event::self_trust, {});
    }
}

void control::detail::updateReaderRole(state::time_point now)
{
    const reader_role role = m_gossipNode.serviceRole(now);
    const coordination::reader_choice &readers = m_gossipNode.readers();
    if (std::exchange(m_readerRole, role) != role) {
        logEvent(event::reader_changed,
                 {{"reader", coordination::reads(role) ? "yes" : "no"},
                  {"role", std::string(coordination::roleName(role))},
                  {"round", fmt::to_string(readers.window().round)},
                  {"width", fmt::to_string(readers.window().width)},
                  {"read_age_ms", fmt::to_string(readers.serviceReadAge(now).count())}});
        m_metrics.setGauge("service_reader", coordination::reads(role) ? 1 : 0);
    }
    if (m_gossipNode.consumeSearchStarted()) {
        m_metrics.incrementCounter("reader_searches");
        logEvent(event::reader_search_started,
                 {{"round", fmt::to_string(readers.window().round)}, {"read_age_ms", fmt::to_string(readers.serviceReadAge(now).count())}});
    }
    m_configSource->setRole(role, !(m_vmListRead || m_workersRead));
}

} // namespace dandelionstall
