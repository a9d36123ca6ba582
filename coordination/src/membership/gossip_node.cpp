// Time and messages, configuration, discovered workers and members. Reads of the service: gossip_node_reads.cpp. Pools and reports of the
// local workers: gossip_node_reports.cpp.
#include <dandelionstall/coordination/membership/gossip_node.h>

#include <algorithm>
#include <iterator>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::milliseconds TableRequestInterval{250};      // between table requests of a node that has no tables yet
constexpr std::chrono::milliseconds UnresponsivePeersTimeout{1500}; // after the start, time for any peer to answer before the service is read
constexpr std::chrono::seconds PeerTransferTimeout{8}; // after the start, time for the first tables to arrive from peers before the service is read
constexpr std::size_t TableRequestPeers = 3;
constexpr std::chrono::seconds JoinTime{5}; // after the start, time for contact with the members that are running

constexpr std::size_t ConfigLocalPushes = 3;
constexpr std::size_t ConfigRemotePushes = 2;
constexpr std::size_t WorkerLocalRelays = 2;  // nodes of the data centre to which a change of a worker is passed on
constexpr std::size_t WorkerRemoteRelays = 1; // nodes of other data centres

// Between two merges of changed workers into the pool table: merging takes time that grows with the number of workers.
constexpr std::chrono::microseconds MergeIntervalPerWorker{500};
constexpr std::chrono::milliseconds MaxMergeInterval{500};

constexpr std::uint64_t DisseminationSalt = 0x73707264;
constexpr std::uint64_t ReportSalt = 0x72657074;

} // namespace

gossip_node::gossip_node(const self_identity &identity, std::uint64_t seed)
    : m_configDissemination(m_store, seed ^ DisseminationSalt)
    , m_workerDissemination(m_directory)
    , m_members(identity, seed)
    , m_readers(identity.address)
    , m_random(seed ^ ReportSalt)
{ }

void gossip_node::start(const std::vector<state::node_address> &seeds, state::time_point now)
{
    m_members.addSeeds(seeds);
    m_hasPeers = !m_members.members().empty();
    m_peerTransferDeadline = now + PeerTransferTimeout;
    m_unresponsivePeersDeadline = now + UnresponsivePeersTimeout;
    m_joinedAt = now + JoinTime;
    m_readers.start(now);
}

// ---- Time and messages ----

gossip_batch gossip_node::tick(state::time_point now)
{
    gossip_batch out = m_members.tick(now);
    refreshReaders(now);
    if (isServiceReadAllowed(now)) {
        m_readers.tick(now);
    } else {
        m_readers.start(now); // nobody reads yet
    }
    pushReaders(now, out);
    std::ranges::move(m_configDissemination.tick(now), std::back_inserter(out));
    if (m_configDissemination.hasPendingPush()) {
        std::ranges::move(m_configDissemination.push(m_members.samplePeers(ConfigLocalPushes, ConfigRemotePushes)), std::back_inserter(out));
    }
    m_directory.tick(now);
    pushWorkers(now, out);
    requestTablesFromPeers(now, out);
    applyWorkerChanges(now);
    sendRegularReport(now, out);
    return fillCommonFields(std::move(out), now);
}

gossip_batch gossip_node::receive(const gossip_message &message, state::time_point now)
{
    if (message.sender.address == m_members.self().address) {
        return {};
    }
    gossip_batch out = m_members.receive(message, now);
    std::ranges::move(m_configDissemination.receive(message, now), std::back_inserter(out));
    if (m_configDissemination.hasPendingPush()) {
        std::ranges::move(m_configDissemination.push(m_members.samplePeers(ConfigLocalPushes, ConfigRemotePushes)), std::back_inserter(out));
    }
    m_directory.learnEra(message.storeEra);
    if (now < m_joinedAt && message.removalHold.count() > 0) { // before the entries that the message brings
        m_directory.adoptRemovalHold(now + std::min(message.removalHold, EntryReturnTime));
    }
    std::ranges::move(m_workerDissemination.receive(message, now), std::back_inserter(out));
    followTable();
    if (message.sender.dataCentre == m_members.self().dataCentre) {
        const std::chrono::milliseconds ageBefore = m_readers.serviceReadAge(now);
        m_readers.recordPeerState(message.readers, message.serviceReadAge, now);
        recordReadGap(ageBefore, m_readers.serviceReadAge(now), now);
        pushReaders(now, out);
    }
    m_tableHints[message.sender.address] = message.tables;
    m_peerReports.insert(m_peerReports.end(), message.reports.begin(), message.reports.end());
    return fillCommonFields(std::move(out), now);
}

gossip_batch gossip_node::leave(state::time_point now)
{
    return fillCommonFields(m_members.leave(now), now);
}

gossip_batch gossip_node::fillCommonFields(gossip_batch batch, state::time_point now)
{
    const auto hints = m_configDissemination.tableHints();
    const std::chrono::milliseconds serviceReadAge = m_readers.serviceReadAge(now);
    const std::chrono::milliseconds hold = removalHold(now);
    for (outgoing_gossip &out : batch) {
        out.message.sender = m_members.self();
        out.message.tables = hints;
        out.message.readers = m_readers.window();
        out.message.serviceReadAge = serviceReadAge;
        out.message.removalHold = hold;
        out.message.workersDigest = m_directory.digest();
        out.message.storeEra = m_directory.era();
        if (out.message.kind == gossip_kind::ping || out.message.kind == gossip_kind::ack) {
            attachReports(out);
        }
    }
    return batch;
}

// ---- Configuration ----

void gossip_node::requestTablesFromPeers(state::time_point now, gossip_batch &out)
{
    const bool complete = m_store.inForce(table_kind::routes).revision != 0 && m_store.inForce(table_kind::pools).revision != 0;
    if (complete || m_nextTableRequest > now || m_peerTransferDeadline <= now) { // afterwards, the revisions in every message start the transfers
        return;
    }
    m_nextTableRequest = now + TableRequestInterval;
    std::vector<state::node_address> peers = m_members.samplePeers(TableRequestPeers, TableRequestPeers);
    if (peers.empty()) {
        for (const member &known : m_members.members()) {
            peers.push_back(known.address);
        }
    }
    while (peers.size() > TableRequestPeers) {
        peers.erase(peers.begin() + m_random(static_cast<std::uint32_t>(peers.size())));
    }
    std::ranges::move(m_configDissemination.requestTables(peers), std::back_inserter(out));
}

offer_result gossip_node::offerFromService(table_kind kind, std::string text, state::time_point now)
{
    offer_result result = m_configDissemination.offer(kind, std::move(text), "service", now);
    followTable();
    return result;
}

// ---- Discovered workers ----

void gossip_node::offerWorker(const discovered_worker &entry, state::time_point now)
{
    m_directory.offer(entry, now);
    m_workerDissemination.collectChanges(change_source::service, now); // before a message of another node makes them look like its own
}

void gossip_node::replaceWorkers(const worker_list &list, store_revision asOf, state::time_point now)
{
    m_listRead = true;
    m_directory.replaceAll(list, asOf, now);
    m_workerDissemination.collectChanges(change_source::service, now);
    refreshPools();
    refreshMembers(now);
}

void gossip_node::offerWorkerRemoval(std::string_view id, store_revision revision, state::time_point now)
{
    m_directory.offerRemoval(id, revision, now);
    m_workerDissemination.collectChanges(change_source::service, now);
}

void gossip_node::recordWorkersReadUpTo(store_revision asOf)
{
    m_directory.recordReadUpTo(asOf);
}

void gossip_node::recordUnreadableWorker(const std::string &id)
{
    m_directory.recordUnreadable(id);
}

void gossip_node::learnStoreEra(std::uint64_t era)
{
    m_directory.learnEra(era);
}

void gossip_node::pushWorkers(state::time_point now, gossip_batch &out)
{
    m_workerDissemination.collectChanges(change_source::service, now);
    if (m_workerDissemination.hasPendingPush(change_source::service)) {
        const std::vector<state::node_address> peers = m_members.samplePeers(ConfigLocalPushes, ConfigRemotePushes);
        std::ranges::move(m_workerDissemination.push(change_source::service, peers, now), std::back_inserter(out));
        std::erase_if(out, [this](const outgoing_gossip &message) { return message.to == m_members.self().address; });
    }
    if (m_workerDissemination.hasPendingPush(change_source::peer)) {
        const std::vector<state::node_address> peers = m_members.samplePeers(WorkerLocalRelays, WorkerRemoteRelays);
        std::ranges::move(m_workerDissemination.push(change_source::peer, peers, now), std::back_inserter(out));
    }
}

// Merges the changes of the workers that have come since the last merge.
void gossip_node::applyWorkerChanges(state::time_point now)
{
    const bool applied = m_mergedDirectoryVersion == m_directory.version() && m_memberListDirectoryVersion == m_directory.version();
    if (applied || m_nextMerge > now) {
        return;
    }
    const auto workers = static_cast<std::chrono::microseconds::rep>(m_directory.entries().size());
    m_nextMerge = now + std::min<state::duration>(MergeIntervalPerWorker * workers, MaxMergeInterval);
    refreshPools();
    refreshMembers(now);
}

// Routes that the same table brings may name its pools: a new table is merged at once.
void gossip_node::followTable()
{
    if (m_storePools != m_store.pools()) {
        refreshPools();
    }
}

// Adds the nodes of discovered workers to the members, whether there was contact with them or not.
void gossip_node::refreshMembers(state::time_point now)
{
    if (m_memberListDirectoryVersion == m_directory.version()) {
        return;
    }
    m_memberListDirectoryVersion = m_directory.version();
    std::map<state::node_address, vm_record> rows;
    for (const auto &[id, entry] : m_directory.entries()) {
        if (entry.phase != worker_phase::removed && entry.node != m_members.self().address) {
            rows[entry.node] = {entry.node, entry.dataCentre, false};
        }
    }
    std::vector<vm_record> vms;
    vms.reserve(rows.size());
    for (auto &[address, row] : rows) {
        vms.push_back(std::move(row));
    }
    setVmList(vms, now);
}

void gossip_node::setVmList(const std::vector<vm_record> &vms, state::time_point now)
{
    m_listRead = true;
    m_members.setVmList(vms, now);
    m_hasPeers = m_hasPeers || !m_members.members().empty();
}

void gossip_node::markLeavingVms(const std::vector<vm_record> &vms, state::time_point now)
{
    m_members.markLeavingVms(vms, now);
}

// ---- Views ----

membership &gossip_node::members()
{
    return m_members;
}

const membership &gossip_node::members() const
{
    return m_members;
}

const config_store &gossip_node::store() const
{
    return m_store;
}

const worker_directory &gossip_node::workers() const
{
    return m_directory;
}

std::shared_ptr<const state::pool_table> gossip_node::pools() const
{
    return m_mergedPools;
}

std::vector<offered_table> gossip_node::consumeOfferedTables()
{
    return m_configDissemination.consumeOfferedTables();
}

std::vector<worker_report> gossip_node::consumePeerReports()
{
    return std::exchange(m_peerReports, {});
}

std::array<table_hint, TableKinds.size()> gossip_node::tableHintsOf(const state::node_address &node) const
{
    const auto known = m_tableHints.find(node);
    return known == m_tableHints.end() ? std::array<table_hint, TableKinds.size()>{} : known->second;
}

std::vector<std::string> gossip_node::localPools() const
{
    std::vector<std::string> result;
    result.reserve(m_pools.size());
    for (const auto &[name, nodes] : m_pools) {
        result.push_back(name);
    }
    return result;
}

} // namespace dandelionstall::coordination
