// Gossip of one node. Combines membership, dissemination of configuration and of discovered workers, reader selection and
// worker reports, each in a module of its own. Pure: takes messages, time points and a seed; returns messages to send. Used
// from one thread.
//
// Usage:
//   gossip_node node(identity, seed);
//   node.start(settings.seeds, now);
//   send(node.tick(now));                  // every TickInterval
//   send(node.receive(message, now));
//   if (reads(node.serviceRole(now))) ... // keep watches of the platform's service open
#pragma once

#include <dandelionstall/coordination/configuration/config_dissemination.h>
#include <dandelionstall/coordination/configuration/reader_choice.h>
#include <dandelionstall/coordination/configuration/worker_dissemination.h>
#include <dandelionstall/coordination/membership/membership.h>

#include <map>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

class gossip_node
{
public:
    gossip_node(const self_identity &identity, std::uint64_t seed);
    gossip_node(const gossip_node &) = delete;
    gossip_node &operator=(const gossip_node &) = delete;

    void start(const std::vector<state::node_address> &seeds, state::time_point now);
    gossip_batch tick(state::time_point now);
    gossip_batch receive(const gossip_message &message, state::time_point now);
    gossip_batch leave(state::time_point now);
    gossip_batch updateLocalReports(const std::vector<worker_report> &reports,
                                    state::time_point now); // sends sharp changes at once to the pool's nodes that use the worker first; see worker_subset.h

    offer_result offerFromService(table_kind kind, std::string text, state::time_point now);
    void setVmList(const std::vector<vm_record> &vms, state::time_point now);
    void markLeavingVms(const std::vector<vm_record> &vms, state::time_point now);                // marks leaving VMs from a partial list
    void offerWorker(const discovered_worker &entry, state::time_point now);                      // entry read from the service
    void replaceWorkers(const worker_list &list, store_revision asOf, state::time_point now);     // complete list read from the service
    void offerWorkerRemoval(std::string_view id, store_revision revision, state::time_point now); // removal reported by the service
    void recordWorkersReadUpTo(store_revision asOf);                                              // the service has reported all changes up to this revision
    void recordUnreadableWorker(const std::string &id);                                           // the service has an entry of it that cannot be read
    void learnStoreEra(std::uint64_t era);                                                        // era named by the service
    void recordServiceRead(state::time_point now);                                                // a call to the platform's service has succeeded
    reader_role serviceRole(state::time_point now) const;                                         // whether this node reads the service for its data centre now
    bool isServiceReader(state::time_point now) const;                                            // true when its role is to read
    void setServiceReadGap(std::chrono::milliseconds gap); // longest time between two successful calls of the primary while the service works
    const reader_choice &readers() const;
    bool consumeSearchStarted();                            // see reader_choice.h
    bool isServiceReadAllowed(state::time_point now) const; // false while this node still waits for tables from its peers after the start

    membership &members();
    const membership &members() const;
    const config_store &store() const;
    const worker_directory &workers() const;                // discovered workers
    std::shared_ptr<const state::pool_table> pools() const; // pool table in force including the discovered workers; null when none
    std::vector<offered_table> consumeOfferedTables();      // tables offered since the last call, by the service and by peers
    std::vector<worker_report> consumePeerReports();        // reports received from other nodes since the last call
    std::array<table_hint, TableKinds.size()> tableHintsOf(const state::node_address &node) const; // versions in its latest message; revision 0 when none
    std::vector<std::string> localPools() const;                                                   // names of the pools with a worker on this node

private:
    struct local_report {
        worker_report latest;
        worker_report pushed; // report as last sent to all receivers
        state::time_point nextPush;
    };

    void applyWorkerChanges(state::time_point now);
    void followTable();
    void refreshPools();
    void refreshReceivers(const state::pool &pool);
    void refreshMembers(state::time_point now);
    void pushWorkers(state::time_point now, gossip_batch &out);
    void refreshReaders(state::time_point now);
    std::chrono::milliseconds removalHold(state::time_point now) const;
    void recordReadGap(std::chrono::milliseconds ageBefore, std::chrono::milliseconds age, state::time_point now);
    void pushReaders(state::time_point now, gossip_batch &out);
    void requestTablesFromPeers(state::time_point now, gossip_batch &out);
    void sendRegularReport(state::time_point now, gossip_batch &out);
    void attachReports(outgoing_gossip &out);
    gossip_batch fillCommonFields(gossip_batch batch, state::time_point now);

    config_store m_store;
    config_dissemination m_configDissemination;
    worker_directory m_directory;
    worker_dissemination m_workerDissemination;
    membership m_members;
    reader_choice m_readers;
    pcg32 m_random;
    std::map<std::string, local_report, std::less<>> m_localReports;                  // by worker id
    std::map<std::string, std::vector<state::node_address>, std::less<>> m_pools;     // other nodes of each pool with a worker on this node
    std::map<std::string, std::vector<state::node_address>, std::less<>> m_receivers; // by local worker, other nodes of its pool that use it first
    std::map<state::node_address, std::array<table_hint, TableKinds.size()>> m_tableHints;
    std::vector<worker_report> m_peerReports;
    std::shared_ptr<const state::pool_table> m_storePools;  // pool table in force without the discovered workers
    std::shared_ptr<const state::pool_table> m_mergedPools; // m_storePools including the discovered workers
    std::uint64_t m_memberListDirectoryVersion = 0;         // version of the worker directory that the list of members reflects
    std::uint64_t m_mergedDirectoryVersion = 0;             // version of the worker directory that m_mergedPools reflects
    std::size_t m_nextReportIndex = 0;
    std::uint64_t m_readersVersion = 0;  // membership version that the choice of readers reflects, plus 1; 0 when none
    bool m_readersWhileJoining = false;  // the choice counts members without contact
    bool m_readersWhileIsolated = false; // the choice counts this node only
    reader_window m_pushedReaders;       // the readers as last pushed to other nodes
    bool m_readPushDue = false;          // this node has read the service since the last push of that
    state::time_point m_nextReadPush;
    bool m_hasPeers = false;
    bool m_listRead = false;                       // the VMs or the workers have been listed at least once, by the service or by peers
    state::time_point m_peerTransferDeadline;      // no service reads before this time while tables are missing and a peer has named a revision
    state::time_point m_unresponsivePeersDeadline; // no service reads before this time while tables are missing and no peer has named a revision
    state::time_point m_joinedAt;                  // until then, members without contact count for the choice of readers
    state::time_point m_nextTableRequest;
    state::time_point m_nextMerge; // changed workers are not merged into the pool table before this time
    state::time_point m_nextRegularReport;
};

} // namespace dandelionstall::coordination
