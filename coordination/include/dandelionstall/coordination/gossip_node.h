// The gossip of one node as a whole: membership, configuration, choice of readers and worker reports, each in a module
// of its own. Pure: messages, time points and a seed come in, messages to send come out. Used from one thread.
//
// Usage:
//   gossip_node node(identity, seed);
//   node.start(settings.seeds, now);
//   send(node.tick(now));                  // every TickInterval
//   send(node.receive(message, now));
//   if (node.isServiceReader(now)) ...     // keep watches of the platform's service open
#pragma once

#include <dandelionstall/coordination/config_dissemination.h>
#include <dandelionstall/coordination/membership.h>
#include <dandelionstall/coordination/reader_choice.h>
#include <dandelionstall/coordination/worker_dissemination.h>

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
    gossip_batch updateLocalReports(const std::vector<worker_report> &reports, state::time_point now); // sharp changes go to the pool's nodes at once

    offer_result offerFromService(table_kind kind, std::string text, state::time_point now);
    void setVmList(const std::vector<vm_record> &vms, state::time_point now);
    void markLeavingVms(const std::vector<vm_record> &vms, state::time_point now);                                 // a part of the list
    void offerWorker(const discovered_worker &entry, state::time_point now);                                       // from the service
    void replaceWorkers(const std::vector<discovered_worker> &entries, std::uint64_t asOf, state::time_point now); // all of them, from the service
    void offerWorkerRemoval(std::string_view id, std::uint64_t revision, state::time_point now);                   // from the service
    void recordServiceReadFailure(state::time_point now);   // a call at the platform's service has failed
    void recordServiceRead(state::time_point now);          // a call at the platform's service has succeeded
    bool isServiceReader(state::time_point now) const;      // this node is a reader now
    bool isServiceReadAllowed(state::time_point now) const; // peers have been asked, or nobody answers

    membership &members();
    const membership &members() const;
    const config_store &store() const;
    const worker_directory &workers() const;                // discovered workers
    std::shared_ptr<const state::pool_table> pools() const; // in force, with the discovered workers filled in; null when none
    std::vector<offered_table> consumeOfferedTables();      // tables offered since the last call, from the service and from peers
    std::vector<worker_report> consumePeerReports();        // received from other nodes since the last call
    std::array<table_hint, TableKinds.size()> tableHintsOf(const state::node_address &node) const; // as last heard
    std::vector<std::string> localPools() const;                                                   // pools with a worker on this node

private:
    struct own_report {
        worker_report latest;
        worker_report pushed; // as last sent to all nodes of the pool
        state::time_point nextPush;
    };

    void refreshPools();
    void refreshMembers(state::time_point now);
    void pushWorkers(state::time_point now, gossip_batch &out);
    void refreshReader();
    void askPeers(state::time_point now, gossip_batch &out);
    void shareReport(state::time_point now, gossip_batch &out);
    void attachReports(outgoing_gossip &out);
    gossip_batch stamp(gossip_batch batch, state::time_point now);

    config_store m_store;
    config_dissemination m_spread;
    worker_directory m_directory;
    worker_dissemination m_workerSpread;
    membership m_members;
    reader_choice m_readers;
    pcg32 m_random;
    std::map<std::string, own_report, std::less<>> m_ownReports;                  // by worker
    std::map<std::string, std::vector<state::node_address>, std::less<>> m_pools; // nodes of the pools with a worker on this node
    std::map<state::node_address, std::array<table_hint, TableKinds.size()>> m_hints;
    std::vector<worker_report> m_reports;
    std::shared_ptr<const state::pool_table> m_poolsSeen;
    std::shared_ptr<const state::pool_table> m_joined; // m_poolsSeen with the discovered workers
    std::uint64_t m_membersSeen = 0;                   // version of the directory in the list of members
    std::uint64_t m_directorySeen = 0;                 // version of the directory in m_joined
    std::size_t m_nextReport = 0;
    std::uint64_t m_readerVersion = 0; // of membership, when m_isReader was worked out
    std::uint32_t m_readerRound = 0;   // likewise
    bool m_isReader = false;
    bool m_hasPeers = false;
    state::time_point m_askUntil;    // the service is not trusted before, while a peer is ahead
    state::time_point m_trustedFrom; // without any answer of a peer
    state::time_point m_nextAsk;
    state::time_point m_nextShare;
};

} // namespace dandelionstall::coordination
