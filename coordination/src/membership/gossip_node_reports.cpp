// Pools of the local workers, and the reports about these workers that go to other nodes. The rest is in gossip_node.cpp.
#include <dandelionstall/coordination/membership/gossip_node.h>

#include <dandelionstall/coordination/balancing/worker_subset.h>

#include <algorithm>
#include <iterator>
#include <set>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::seconds RegularReportInterval{1}; // between two regular reports to a random node of the pool
constexpr std::chrono::seconds ReportPushInterval{1};    // minimum between two pushed changes of one worker; leaving, starting and risk changes are exempt
constexpr std::size_t RegularReportReceivers = 1;
constexpr std::size_t ReportsPerMessage = 1;

} // namespace

// ---- Pools ----

void gossip_node::refreshPools()
{
    if (m_storePools == m_store.pools() && m_mergedDirectoryVersion == m_directory.version()) {
        return;
    }
    m_storePools = m_store.pools();
    m_mergedDirectoryVersion = m_directory.version();
    if (!m_storePools) {
        return;
    }
    const bool hasDiscoveredWorkers
        = std::any_of(m_storePools->pools.begin(), m_storePools->pools.end(), [](const state::pool &pool) { return pool.hasDiscoveredWorkers; });
    m_mergedPools = hasDiscoveredWorkers ? std::make_shared<const state::pool_table>(mergeDiscoveredWorkers(*m_storePools, m_directory)) : m_storePools;
    m_pools.clear();
    m_receivers.clear();
    std::vector<state::node_address> poolPeers;
    for (const state::pool &pool : m_mergedPools->pools) {
        const auto isLocalWorker = [this](const state::pool_worker &worker) {
            return worker.node == m_members.self().address;
        };
        if (std::none_of(pool.workers.begin(), pool.workers.end(), isLocalWorker)) {
            continue;
        }
        std::vector<state::node_address> &nodes = m_pools[pool.name];
        for (const state::pool_worker &worker : pool.workers) {
            nodes.push_back(worker.node);
        }
        std::sort(nodes.begin(), nodes.end());
        nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
        std::erase(nodes, m_members.self().address);
        refreshReceivers(pool);
        poolPeers.insert(poolPeers.end(), nodes.begin(), nodes.end());
    }
    m_members.setPoolPeers(std::move(poolPeers));
}

// Finds the nodes of the pool that use each local worker first.
void gossip_node::refreshReceivers(const state::pool &pool)
{
    const pool_extent extent(pool);
    for (const state::pool_worker &local : pool.workers) {
        if (local.node != m_members.self().address) {
            continue;
        }
        std::set<state::node_address> nodes;
        for (const state::pool_worker &other : pool.workers) {
            if (other.node != local.node && extent.isInSubset({other.node, other.dataCentre}, local.id, local.dataCentre)) {
                nodes.insert(other.node);
            }
        }
        m_receivers[local.id].assign(nodes.begin(), nodes.end());
    }
}

// ---- Reports ----

gossip_batch gossip_node::updateLocalReports(const std::vector<worker_report> &reports, state::time_point now)
{
    gossip_batch out;
    for (const worker_report &report : reports) {
        local_report &local = m_localReports[report.worker];
        local.latest = report;
        const bool due = hasStateChange(local.pushed, report) || local.nextPush <= now;
        const auto receivers = m_receivers.find(report.worker);
        if (receivers == m_receivers.end() || !due || !isSharpChange(local.pushed, report)) {
            continue;
        }
        local.pushed = report;
        local.nextPush = now + ReportPushInterval;
        for (const state::node_address &node : receivers->second) {
            gossip_message message;
            message.reports.push_back(report);
            out.push_back({node, std::move(message)});
        }
    }
    return fillCommonFields(std::move(out), now);
}

void gossip_node::sendRegularReport(state::time_point now, gossip_batch &out)
{
    if (m_nextRegularReport > now || m_localReports.empty()) {
        return;
    }
    m_nextRegularReport = now + RegularReportInterval;
    const worker_report &report = std::next(m_localReports.begin(), static_cast<std::ptrdiff_t>(m_nextReportIndex++ % m_localReports.size()))->second.latest;
    const auto receivers = m_receivers.find(report.worker);
    if (receivers == m_receivers.end() || receivers->second.empty()) {
        return;
    }
    for (std::size_t i = 0; i < RegularReportReceivers; ++i) {
        gossip_message message;
        message.reports.push_back(report);
        out.push_back({receivers->second[m_random(static_cast<std::uint32_t>(receivers->second.size()))], std::move(message)});
    }
}

// Attaches at most ReportsPerMessage reports, of workers in pools that the receiver has workers in too.
void gossip_node::attachReports(outgoing_gossip &out)
{
    for (const auto &[worker, local] : m_localReports) {
        const auto pool = m_pools.find(local.latest.pool);
        const bool shared = pool != m_pools.end() && std::binary_search(pool->second.begin(), pool->second.end(), out.to);
        if (shared && out.message.reports.size() < ReportsPerMessage) {
            out.message.reports.push_back(local.latest);
        }
    }
}

} // namespace dandelionstall::coordination
