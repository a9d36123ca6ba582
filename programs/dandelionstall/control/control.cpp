#include "control_detail.h"
#include "key_value_source.h"

#include <dandelionstall/platform/store_adapter.h>
#include <dandelionstall/state/text.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>
#include <fmt/format.h>

namespace dandelionstall {

namespace asio = boost::asio;
using coordination::member;
using coordination::path_event;
using coordination::table_kind;
using transport::event;
using transport::logEvent;

namespace {

constexpr std::chrono::seconds FirstContactsTime{10}; // after the start, time in which a node finds the members that are running

std::unique_ptr<transport::config_source>
makeSource(asio::io_context &io, const state::settings &settings, transport::metrics &metrics, transport::source_events events, std::uint64_t seed)
{
    if (settings.platformKind == "keyed_store") {
        return std::make_unique<key_value_source>(io, settings, platform::makeStoreDialect(settings), metrics, std::move(events), seed);
    }
    return std::make_unique<consul_source>(io, settings, metrics, std::move(events), seed);
}

} // namespace

control::detail::detail(
    asio::io_context &io, const state::settings &settings, state::incarnation selfIncarnation, transport::metrics &metrics, shared_rate_client &rateClient)
    : m_io(io)
    , m_settings(settings)
    , m_incarnation(selfIncarnation)
    , m_metrics(metrics)
    , m_gossipNode({settings.advertiseAddress, settings.dataCentre, selfIncarnation},
                   selfIncarnation ^ std::hash<std::string>{}(state::formatNodeAddress(settings.advertiseAddress)))
    , m_tracker(selfIncarnation, settings.dataCentre, settings.advertiseAddress)
    , m_rateClient(rateClient)
    , m_rates(settings.advertiseAddress, selfIncarnation ^ std::hash<std::string>{}(settings.advertiseAddress.ip))
    , m_socket(io, settings.listenAddress)
    , m_configSource(makeSource(io, m_settings, metrics, sourceEvents(), selfIncarnation))
    , m_tickTimer(io)
{ }

transport::source_events control::detail::sourceEvents()
{
    transport::source_events events;
    events.tableReceived = [this](table_kind kind, std::string text) {
        m_gossipNode.offerFromService(kind, std::move(text), state::clock::now());
        applyUpdates(state::clock::now());
    };
    events.tableInvalid = [this](table_kind kind, const absl::Status &reason) {
        recordTableRefusal(kind, coordination::offer_verdict::broken, reason, "service");
    };
    events.vmListReceived = [this](const std::vector<coordination::vm_record> &vms) {
        m_vmListRead = true;
        m_gossipNode.setVmList(vms, state::clock::now());
        applyUpdates(state::clock::now());
    };
    events.leavingVmsReceived = [this](const std::vector<coordination::vm_record> &vms) {
        m_gossipNode.markLeavingVms(vms, state::clock::now());
        applyUpdates(state::clock::now());
    };
    events.workerListReceived = [this](const coordination::worker_list &list, coordination::store_revision asOf) {
        m_workersRead = true;
        m_gossipNode.replaceWorkers(list, asOf, state::clock::now());
        applyUpdates(state::clock::now());
    };
    events.workerUpdated = [this](const coordination::discovered_worker &entry) {
        m_gossipNode.offerWorker(entry, state::clock::now());
        applyUpdates(state::clock::now());
    };
    events.workerRemoved = [this](const std::string &id, coordination::store_revision revision) {
        m_gossipNode.offerWorkerRemoval(id, revision, state::clock::now());
        applyUpdates(state::clock::now());
    };
    events.workerUnreadable = [this](const std::string &id) {
        m_gossipNode.recordUnreadableWorker(id);
    };
    events.workersReadUpTo = [this](coordination::store_revision asOf) {
        m_gossipNode.recordWorkersReadUpTo(asOf);
    };
    events.entryRefused = [this](const std::string &key, const std::string &reason) {
        m_metrics.incrementCounter("worker_entries_refused");
        logEvent(event::worker_entry_refused, {{"key", key}, {"reason", reason}});
    };
    events.eraRaised = [this](std::uint64_t era, coordination::store_revision before) {
        m_gossipNode.learnStoreEra(era);
        recordStoreEra("store", before);
    };
    events.readSucceeded = [this] {
        ++m_totals.platformCalls;
        m_gossipNode.recordServiceRead(state::clock::now());
    };
    events.readFailed = [this] {
        ++m_totals.platformCalls;
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
    m_gossipNode.start(m_settings.seeds, state::clock::now());
    m_firstContactsUntil = state::clock::now() + FirstContactsTime;
    for (const state::local_worker &worker : m_settings.workers) {
        m_tracker.addLocalPool(worker.pool);
    }
    if (!m_settings.discoveredWorkerPool.empty()) {
        m_tracker.addLocalPool(m_settings.discoveredWorkerPool);
    }
    m_gossipNode.setServiceReadGap(m_configSource->readGap());
    m_configSource->setRole(coordination::reader_role::none, true);
    m_configSource->start();
    tick();
}

void control::detail::publish()
{
    auto next = std::make_shared<coordination::fleet_snapshot>();
    next->generation = ++m_generation;
    ++m_totals.published;
    next->routes = m_gossipNode.store().routes();
    next->organisations = indexOrganisations(next->routes);
    next->pools = m_gossipNode.pools();
    next->workersDiscovered = m_workersRead || !m_gossipNode.workers().isEmpty();
    next->poolViews = m_tracker.views();
    next->selfIncarnation = m_gossipNode.members().self().incarnation;
    next->leaving = m_gossipNode.members().isLeaving();
    {
        const std::lock_guard lock(m_currentMutex);
        m_current = next;
    }
    for (const subscriber &handler : m_subscribers) {
        handler(next);
    }
}

// One index for each table: it takes milliseconds with many organisations.
std::shared_ptr<const state::organisation_index> control::detail::indexOrganisations(const std::shared_ptr<const state::route_table> &routes) const
{
    if (!routes) {
        return nullptr;
    }
    if (m_current && m_current->routes == routes) {
        return m_current->organisations;
    }
    m_metrics.setGauge("organisations", static_cast<double>(routes->organisations.size()));
    return std::make_shared<const state::organisation_index>(routes);
}

// [SECTION] Calls from other threads

void control::detail::recordReports(const std::vector<coordination::worker_report> &reports)
{
    const state::time_point now = state::clock::now();
    std::vector<coordination::worker_report> localReports;
    for (const coordination::worker_report &report : reports) {
        m_tracker.recordReport(report, now);
        if (report.node == m_settings.advertiseAddress) {
            localReports.push_back(report);
        }
    }
    send(m_gossipNode.updateLocalReports(localReports, now));
}

void control::detail::recordPathOutcome(const state::node_address &node, bool ok)
{
    m_tracker.recordPathEvent(node, ok ? path_event::attempt_succeeded : path_event::attempt_failed, state::clock::now());
}

void control::detail::recordPoolUse(const std::string &pool)
{
    m_tracker.recordPoolUse(pool, state::clock::now());
}

void control::detail::beginShutdown()
{
    send(m_gossipNode.leave(state::clock::now()));
    applyUpdates(state::clock::now());
}

protocol::fleet_status control::detail::describe() const
{
    const auto describeTable = [this](table_kind kind) {
        return protocol::table_status{
            m_gossipNode.store().inForce(kind), m_gossipNode.store().newestKnown(kind), m_lastRefusals[static_cast<std::size_t>(kind)]};
    };
    protocol::fleet_status result;
    result.self = m_settings.advertiseAddress;
    result.incarnation = m_gossipNode.members().self().incarnation;
    result.dataCentre = m_settings.dataCentre;
    result.leaving = m_gossipNode.members().isLeaving();
    result.selfSuspected = m_selfSuspected;
    result.reader = coordination::reads(m_readerRole);
    result.routes = describeTable(table_kind::routes);
    result.pools = describeTable(table_kind::pools);
    for (member &known : m_gossipNode.members().members()) {
        const auto hints = m_gossipNode.tableHintsOf(known.address);
        result.members.push_back({std::move(known), hints[0].revision, hints[1].revision});
    }
    return result;
}

coordination::fleet_snapshot_ptr control::detail::current() const
{
    const std::lock_guard lock(m_currentMutex);
    return m_current;
}

control::control(
    asio::io_context &io, const state::settings &settings, state::incarnation selfIncarnation, transport::metrics &metrics, shared_rate_client &rateClient)
    : m_detail(std::make_unique<detail>(io, settings, selfIncarnation, metrics, rateClient))
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

void control::recordReports(std::vector<coordination::worker_report> reports)
{
    m_detail->post([this, reports = std::move(reports)] { m_detail->recordReports(reports); });
}

void control::recordPathOutcome(state::node_address node, bool ok)
{
    m_detail->post([this, node = std::move(node), ok] { m_detail->recordPathOutcome(node, ok); });
}

void control::recordPoolUse(std::string pool)
{
    m_detail->post([this, pool = std::move(pool)] { m_detail->recordPoolUse(pool); });
}

void control::beginShutdown()
{
    m_detail->post([this] { m_detail->beginShutdown(); });
}

coordination::fleet_snapshot_ptr control::current() const
{
    return m_detail->current();
}

protocol::fleet_status control::describe() const
{
    return m_detail->describe();
}

} // namespace dandelionstall
