#include "control.h"

#include "control_sources.h"

#include <dandelionstall/coordination/gossip_node.h>
#include <dandelionstall/coordination/pool_tracker.h>
#include <dandelionstall/protocol/gossip_codec.h>
#include <dandelionstall/state/text.h>
#include <dandelionstall/transport/events.h>
#include <dandelionstall/transport/gossip_socket.h>

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <mutex>

namespace dandelionstall {

namespace asio = boost::asio;
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

node_condition conditionOf(const member &changed)
{
    if (changed.state == member_state::dead) {
        return node_condition::dead;
    }
    return changed.leaving ? node_condition::leaving : node_condition::live;
}

} // namespace

class control::detail
{
public:
    detail(asio::io_context &io, const state::settings &settings, state::incarnation own, transport::metrics &metrics);

    void subscribe(subscriber handler);
    void start();
    void post(std::function<void()> task); // runs it on the control thread
    void noteReports(const std::vector<coordination::worker_report> &reports);
    void notePath(const state::node_address &node, bool ok);
    void noteInterest(const std::string &pool);
    void beginShutdown();
    control_description describe() const;
    coordination::snapshot_ptr current() const;

private:
    source_events sourceEvents();
    void scheduleTick();
    void tick();
    void receive(std::string_view datagram);
    void send(const coordination::gossip_batch &batch);
    void afterInput(state::time_point now);
    void takeTables();
    void takeMembers(state::time_point now);
    void takePaths(state::time_point now);
    void takeReports(state::time_point now);
    void noteTrust(state::time_point now);
    void noteReader(state::time_point now);
    void noteAccepted(table_kind kind, state::table_revision before);
    void noteRefusal(table_kind kind, coordination::offer_verdict verdict, const absl::Status &reason, const std::string &source);
    void publish();

    asio::io_context &m_io;
    state::settings m_settings;
    state::incarnation m_own;
    transport::metrics &m_metrics;
    coordination::gossip_node m_node;
    coordination::pool_tracker m_tracker;
    transport::gossip_socket m_socket;
    control_sources m_sources;
    asio::steady_timer m_tickTimer;
    std::array<std::string, coordination::TableKinds.size()> m_lastRefusals;
    std::vector<subscriber> m_subscribers;
    state::time_point m_nextJudgement;
    bool m_reader = false;
    bool m_doubts = false;
    bool m_vmListRead = false;
    bool m_publishDue = false;
    std::uint64_t m_generation = 0;
    mutable std::mutex m_currentMutex; // guards m_current
    coordination::snapshot_ptr m_current = std::make_shared<coordination::fleet_snapshot>();
};

control::detail::detail(asio::io_context &io, const state::settings &settings, state::incarnation own, transport::metrics &metrics)
    : m_io(io)
    , m_settings(settings)
    , m_own(own)
    , m_metrics(metrics)
    , m_node({settings.advertise, settings.dataCentre, own}, own ^ std::hash<std::string>{}(state::formatNodeAddress(settings.advertise)))
    , m_tracker(own, settings.dataCentre)
    , m_socket(io, settings.listen)
    , m_sources(io, settings, metrics, sourceEvents(), own)
    , m_tickTimer(io)
{ }

source_events control::detail::sourceEvents()
{
    source_events events;
    events.table = [this](table_kind kind, std::string text) {
        m_node.offerFromService(kind, std::move(text), state::clock::now());
        afterInput(state::clock::now());
    };
    events.broken = [this](table_kind kind, const absl::Status &reason) {
        noteRefusal(kind, coordination::offer_verdict::broken, reason, "service");
    };
    events.vmList = [this](const std::vector<coordination::vm_record> &vms) {
        m_vmListRead = true;
        m_node.setVmList(vms, state::clock::now());
        afterInput(state::clock::now());
    };
    events.read = [this] {
        m_node.noteRead(state::clock::now());
    };
    return events;
}

void control::detail::subscribe(subscriber handler)
{
    m_subscribers.push_back(std::move(handler));
}

void control::detail::post(std::function<void()> task)
{
    asio::post(m_io, std::move(task));
}

void control::detail::start()
{
    if (const absl::Status opened = m_socket.open(); opened.ok()) {
        m_socket.receive([this](std::string_view datagram) { receive(datagram); });
    } else {
        logEvent(event::listen_failed, {{"reason", std::string(state::messageOf(opened))}});
    }
    m_node.start(m_settings.seeds, state::clock::now());
    for (const state::local_worker &worker : m_settings.workers) {
        m_tracker.noteOwnPool(worker.pool);
    }
    m_sources.setActive(false, true);
    m_sources.start();
    tick();
}

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
        m_publishDue = !m_tracker.judge(now).empty() || m_publishDue;
    }
    if (std::exchange(m_publishDue, false)) {
        publish();
    }
    scheduleTick();
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
    for (const coordination::gossip_out &out : batch) {
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
    if (m_node.members().isLeaving() != current()->leaving) {
        publish();
    }
}

void control::detail::takeTables()
{
    for (const coordination::offered_table &offered : m_node.takeResults()) {
        if (offered.result.verdict != coordination::offer_verdict::accepted) {
            noteRefusal(offered.kind, offered.result.verdict, offered.result.reason, offered.source);
        }
    }
    const coordination::snapshot_ptr before = current();
    if (m_node.store().pools() != before->pools) {
        m_tracker.setTable(m_node.store().pools(), state::clock::now());
    }
    if (m_node.store().pools() != before->pools || m_node.store().routes() != before->routes) {
        noteAccepted(table_kind::routes, before->routes ? before->routes->revision : 0);
        noteAccepted(table_kind::pools, before->pools ? before->pools->revision : 0);
        publish();
    }
}

void control::detail::noteAccepted(table_kind kind, state::table_revision before)
{
    const state::table_revision revision = m_node.store().inForce(kind).revision;
    if (revision != before) {
        m_metrics.countNamed("config_accepted");
        m_metrics.setGauge(fmt::format("config_{}_revision", tableName(kind)), static_cast<double>(revision));
        logEvent(event::config_accepted, {{"table", std::string(tableName(kind))}, {"revision", fmt::to_string(revision)}});
    }
}

void control::detail::noteRefusal(table_kind kind, coordination::offer_verdict verdict, const absl::Status &reason, const std::string &source)
{
    m_metrics.countNamed(fmt::format("config_{}", verdictName(verdict)));
    std::string text = reason.ok() ? fmt::format("{} knows other content under the revision in force", source) : std::string(state::messageOf(reason));
    std::string &last = m_lastRefusals[static_cast<std::size_t>(kind)];
    if (last != text) { // repeated by every message of that node
        logEvent(eventOf(verdict), {{"table", std::string(tableName(kind))}, {"source", source}, {"reason", text}});
        last = std::move(text);
    }
}

void control::detail::takeMembers(state::time_point now)
{
    for (const member &changed : m_node.members().takeChanges()) {
        m_tracker.noteNode(changed.address, conditionOf(changed), now);
        logEvent(eventOf(changed), {{"member", state::formatNodeAddress(changed.address)}, {"incarnation", fmt::to_string(changed.incarnation)}});
        m_publishDue = true;
    }
}

void control::detail::takePaths(state::time_point now)
{
    for (const coordination::path_observation &path : m_node.members().takePaths()) {
        m_tracker.notePath(path.node, path.iHearIt ? path_event::heard : path_event::silent, now);
        if (path.iHearIt) {
            m_tracker.notePath(path.node, path.itHearsMe ? path_event::hears_me : path_event::hears_me_not, now);
        }
    }
}

void control::detail::takeReports(state::time_point now)
{
    for (const coordination::worker_report &report : m_node.takeReports()) {
        m_tracker.noteReport(report, now);
    }
}

void control::detail::noteTrust(state::time_point now)
{
    if (m_node.members().takePause()) {
        m_metrics.countNamed("pauses_noticed");
        m_tracker.notePause(now);
    }
    m_tracker.setIsolated(m_node.members().isIsolated(now));
    const bool doubts = m_node.members().doubtsItself(now);
    if (std::exchange(m_doubts, doubts) != doubts) {
        logEvent(doubts ? event::self_doubt : event::self_trust, {});
    }
}

void control::detail::noteReader(state::time_point now)
{
    const bool reader = m_node.readsService(now);
    if (std::exchange(m_reader, reader) != reader) {
        logEvent(event::reader_changed, {{"reader", reader ? "yes" : "no"}});
        m_metrics.setGauge("service_reader", reader ? 1 : 0);
    }
    m_sources.setActive(reader, reader || !m_vmListRead);
}

void control::detail::publish()
{
    auto next = std::make_shared<coordination::fleet_snapshot>();
    next->generation = ++m_generation;
    next->routes = m_node.store().routes();
    next->pools = m_node.store().pools();
    next->views = m_tracker.views();
    next->liveNodes = static_cast<std::uint32_t>(m_node.members().countLive());
    next->leaving = m_node.members().isLeaving();
    {
        const std::lock_guard lock(m_currentMutex);
        m_current = next;
    }
    for (const subscriber &handler : m_subscribers) {
        handler(next);
    }
}

// ---- From the other threads ----

void control::detail::noteReports(const std::vector<coordination::worker_report> &reports)
{
    const state::time_point now = state::clock::now();
    std::vector<coordination::worker_report> own;
    for (const coordination::worker_report &report : reports) {
        m_tracker.noteReport(report, now);
        if (report.node == m_settings.advertise) {
            own.push_back(report);
        }
    }
    send(m_node.noteOwnReports(own, now));
}

void control::detail::notePath(const state::node_address &node, bool ok)
{
    m_tracker.notePath(node, ok ? path_event::success : path_event::failure, state::clock::now());
}

void control::detail::noteInterest(const std::string &pool)
{
    m_tracker.noteInterest(pool, state::clock::now());
}

void control::detail::beginShutdown()
{
    send(m_node.leave(state::clock::now()));
    afterInput(state::clock::now());
}

control_description control::detail::describe() const
{
    const auto describeTable = [this](table_kind kind) {
        return described_table{m_node.store().inForce(kind), m_node.store().known(kind), m_lastRefusals[static_cast<std::size_t>(kind)]};
    };
    control_description result;
    result.self = m_settings.advertise;
    result.incarnation = m_own;
    result.dataCentre = m_settings.dataCentre;
    result.leaving = m_node.members().isLeaving();
    result.doubtsItself = m_doubts;
    result.reader = m_reader;
    result.routes = describeTable(table_kind::routes);
    result.pools = describeTable(table_kind::pools);
    for (member &known : m_node.members().members()) {
        const auto hints = m_node.hintsOf(known.address);
        result.members.push_back({std::move(known), hints[0].revision, hints[1].revision});
    }
    return result;
}

coordination::snapshot_ptr control::detail::current() const
{
    const std::lock_guard lock(m_currentMutex);
    return m_current;
}

control::control(asio::io_context &io, const state::settings &settings, state::incarnation own, transport::metrics &metrics)
    : m_detail(std::make_unique<detail>(io, settings, own, metrics))
{ }

control::~control() = default;

void control::subscribe(subscriber handler)
{
    m_detail->subscribe(std::move(handler));
}

void control::start()
{
    m_detail->start();
}

void control::noteReports(std::vector<coordination::worker_report> reports)
{
    m_detail->post([this, reports = std::move(reports)] { m_detail->noteReports(reports); });
}

void control::notePath(state::node_address node, bool ok)
{
    m_detail->post([this, node = std::move(node), ok] { m_detail->notePath(node, ok); });
}

void control::noteInterest(std::string pool)
{
    m_detail->post([this, pool = std::move(pool)] { m_detail->noteInterest(pool); });
}

void control::beginShutdown()
{
    m_detail->post([this] { m_detail->beginShutdown(); });
}

coordination::snapshot_ptr control::current() const
{
    return m_detail->current();
}

void control::describe(description_handler handler)
{
    m_detail->post([this, handler = std::move(handler)] { handler(m_detail->describe()); });
}

} // namespace dandelionstall
