#include "control_detail.h"

#include <dandelionstall/protocol/gossip_codec.h>
#include <dandelionstall/state/text.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>
#include <fmt/format.h>

namespace dandelionstall {

using coordination::member;
using coordination::member_state;
using coordination::node_condition;
using coordination::path_event;
using coordination::table_kind;
using transport::event;
using transport::logEvent;

namespace {

constexpr std::chrono::milliseconds JudgeInterval{100}; // between two judgements of the pools

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

// Discovered workers of a table: whether each is leaving, by id.
std::map<std::string, bool> workerRows(const state::pool_table &table)
{
    std::map<std::string, bool> rows;
    for (const state::pool &pool : table.pools) {
        for (const state::pool_worker &worker : pool.workers) {
            if (pool.hasDiscoveredWorkers) {
                rows.emplace(worker.id, worker.leaving);
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

// ---- Gossip ----

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
    send(m_node.tick(now));
    noteTrust(now);
    noteReader(now);
    afterInput(now);
    if (m_nextJudgement <= now) {
        m_nextJudgement = now + JudgeInterval;
        const std::vector<std::string> changed = m_tracker.evaluate(now);
        m_publishDue = !changed.empty() || m_publishDue;
        for (const std::string &pool : changed) {
            noteVerdicts(pool, now);
        }
    }
    if (std::exchange(m_publishDue, false)) {
        publish();
    }
    scheduleTick();
}

// One line for each worker whose use by this node has changed.
void control::detail::noteVerdicts(const std::string &pool, state::time_point now)
{
    for (const coordination::worker_explanation &worker : m_tracker.explain(pool, now)) {
        const auto [known, added] = m_verdicts.try_emplace(worker.worker, coordination::worker_state::unknown);
        if (std::exchange(known->second, worker.state) == worker.state) {
            continue;
        }
        logEvent(event::worker_judged,
                 {{"worker", worker.worker},
                  {"pool", pool},
                  {"state", std::string(coordination::stateName(worker.state))},
                  {"reason", std::string(coordination::reasonName(worker.reason))},
                  {"weight", fmt::format("{:.2f}", worker.weight)},
                  {"text", worker.summary}});
    }
}

void control::detail::receive(std::string_view datagram)
{
    m_metrics.countNamed("gossip_received");
    const absl::StatusOr<coordination::gossip_message> message = protocol::decodeGossip(datagram);
    if (!message.ok()) {
        m_metrics.countNamed("gossip_refused");
        logEvent(event::gossip_refused, {{"reason", std::string(state::messageOf(message.status()))}});
        return;
    }
    const state::time_point now = state::clock::now();
    send(m_node.receive(*message, now));
    afterInput(now);
}

void control::detail::send(const coordination::gossip_batch &batch)
{
    for (const coordination::outgoing_gossip &out : batch) {
        m_metrics.countNamed(m_socket.send(out.to, protocol::encodeGossip(out.message)) ? "gossip_sent" : "gossip_send_failed");
    }
}

// ---- What follows from gossip and from the platform ----

void control::detail::afterInput(state::time_point now)
{
    takeTables();
    takeMembers(now);
    takePaths(now);
    takeReports(now);
    const coordination::gossip_sender &self = m_node.members().self();
    if (self.leaving != current()->leaving || self.incarnation != current()->selfIncarnation) {
        publish();
    }
}

void control::detail::takeTables()
{
    for (const coordination::offered_table &offered : m_node.consumeOfferedTables()) {
        if (offered.result.verdict != coordination::offer_verdict::accepted) {
            noteRefusal(offered.kind, offered.result.verdict, offered.result.reason, offered.source);
        }
    }
    const coordination::fleet_snapshot_ptr before = current();
    const bool routesChanged = m_node.store().routes() != before->routes;
    const bool poolsChanged = m_node.pools() != before->pools;
    if (poolsChanged) {
        m_tracker.setTable(m_node.pools(), state::clock::now());
    }
    if (routesChanged || poolsChanged) {
        noteAccepted(table_kind::routes, before->routes ? before->routes->revision : 0);
        noteAccepted(table_kind::pools, before->pools ? before->pools->revision : 0);
        noteWorkers(before->pools.get());
        publish();
    }
}

// One line for each worker that came, went or changed its announcement.
void control::detail::noteWorkers(const state::pool_table *before)
{
    if (m_workersSeen == m_node.workers().version()) {
        return;
    }
    m_workersSeen = m_node.workers().version();
    const std::map<std::string, bool> known = before != nullptr ? workerRows(*before) : std::map<std::string, bool>{};
    const std::map<std::string, bool> present = workerRows(*m_node.pools());
    for (const auto &[id, leaving] : present) {
        const auto was = known.find(id);
        if (was == known.end() || was->second != leaving) {
            const auto entry = m_node.workers().entries().find(id);
            const std::string revision = entry != m_node.workers().entries().end() ? fmt::to_string(entry->second.revision) : "0";
            logEvent(event::worker_known, {{"worker", id}, {"phase", leaving ? "leaving" : "ready"}, {"revision", revision}});
        }
    }
    for (const auto &[id, leaving] : known) {
        if (!present.contains(id)) {
            m_verdicts.erase(id);
            logEvent(event::worker_gone, {{"worker", id}});
        }
    }
}

void control::detail::noteAccepted(table_kind kind, state::table_revision before)
{
    const state::table_revision revision = m_node.store().inForce(kind).revision;
    if (revision != before) {
        m_metrics.countNamed("config_accepted");
        m_metrics.setGauge(fmt::format("config_{}_revision", tableKindName(kind)), static_cast<double>(revision));
        logEvent(event::config_accepted, {{"table", std::string(tableKindName(kind))}, {"revision", fmt::to_string(revision)}});
    }
}

void control::detail::noteRefusal(table_kind kind, coordination::offer_verdict verdict, const absl::Status &reason, const std::string &source)
{
    m_metrics.countNamed(fmt::format("config_{}", offerVerdictName(verdict)));
    std::string text = reason.ok() ? fmt::format("{} knows other content under the revision in force", source) : std::string(state::messageOf(reason));
    std::string &last = m_lastRefusals[static_cast<std::size_t>(kind)];
    if (last != text) { // repeated by every message of that node
        logEvent(eventOf(verdict), {{"table", std::string(tableKindName(kind))}, {"source", source}, {"reason", text}});
        last = std::move(text);
    }
}

void control::detail::takeMembers(state::time_point now)
{
    for (const member &changed : m_node.members().consumeChanges()) {
        m_tracker.recordNodeCondition(changed.address, conditionOf(changed), now);
        logEvent(eventOf(changed), {{"member", state::formatNodeAddress(changed.address)}, {"incarnation", fmt::to_string(changed.incarnation)}});
        m_publishDue = true;
    }
}

void control::detail::takePaths(state::time_point now)
{
    for (const coordination::path_observation &path : m_node.members().consumePathObservations()) {
        m_tracker.recordPathEvent(path.node, path.inboundUp ? path_event::inbound_up : path_event::inbound_down, now);
        if (path.inboundUp) {
            m_tracker.recordPathEvent(path.node, path.outboundUp ? path_event::outbound_up : path_event::outbound_down, now);
        }
    }
}

void control::detail::takeReports(state::time_point now)
{
    for (const coordination::worker_report &report : m_node.consumePeerReports()) {
        m_tracker.recordReport(report, now);
    }
}

void control::detail::noteTrust(state::time_point now)
{
    if (m_node.members().consumePauseDetected()) {
        m_metrics.countNamed("pauses_noticed");
        m_tracker.recordPause(now);
    }
    m_tracker.setIsolated(m_node.members().isIsolated(now));
    const bool doubts = m_node.members().isSelfSuspected(now);
    if (std::exchange(m_doubts, doubts) != doubts) {
        logEvent(doubts ? event::self_doubt : event::self_trust, {});
    }
}

void control::detail::noteReader(state::time_point now)
{
    const bool reader = m_node.isServiceReader(now);
    if (std::exchange(m_reader, reader) != reader) {
        logEvent(event::reader_changed, {{"reader", reader ? "yes" : "no"}});
        m_metrics.setGauge("service_reader", reader ? 1 : 0);
    }
    m_sources->setActive(reader, reader || !(m_vmListRead || m_workersRead));
}

} // namespace dandelionstall
