// Disseminates the entries of discovered workers between nodes. Pure; used from one thread.
//
// A node pushes what it has read from the service to a few other nodes, and each change to the worker's own node, which refuses
// work for a worker that leaves, whatever the other nodes know. Each node that hears news passes it on to a few. Every message
// carries a digest of all entries of its sender. A node with another digest, which has had no news for a while or has seen other
// digests for some time, pulls the sender's entries of the buckets that differ, so a node that misses a push catches up. The
// messages for one change grow with the number of nodes, not with the number of workers.
//
// Usage:
//   worker_dissemination dissemination(directory);
//   dissemination.collectChanges(change_source::service, now);
//   send(dissemination.push(change_source::service, peers, now));
//   send(dissemination.receive(message, now));  // any message
#pragma once

#include <dandelionstall/coordination/configuration/worker_directory.h>
#include <dandelionstall/coordination/membership/gossip.h>

#include <optional>

namespace dandelionstall::coordination {

// Where changes of the directory come from.
enum class change_source {
    service, // read by this node from the service, or applied by itself
    peer,    // heard from another node
};

class worker_dissemination
{
public:
    explicit worker_dissemination(worker_directory &directory);

    gossip_batch receive(const gossip_message &message, state::time_point now); // collects the changes that the message brings
    gossip_batch push(change_source source, const std::vector<state::node_address> &peers, state::time_point now); // sends the collected changes
    bool hasPendingPush(change_source source) const;                  // true when changes were collected since the last push()
    void collectChanges(change_source source, state::time_point now); // consumes the changes of the directory

private:
    static void pushToOwnNodes(const std::vector<discovered_worker> &changes, state::time_point now, gossip_batch &out);
    bool isPullDue(std::uint32_t otherDigest, state::time_point now);
    void requestPage(const state::node_address &from, std::string cursor, gossip_batch &out) const;
    void servePage(const gossip_message &message, state::time_point now, gossip_batch &out) const;

    worker_directory &m_directory;
    std::array<std::vector<discovered_worker>, 2> m_pendingPush; // by change_source
    state::time_point m_lastNewsAt;                              // last change of the directory
    std::optional<state::time_point> m_repairAt;                 // set while the digests of other nodes differ: a pull is due by then
    state::time_point m_nextPull;                                // earliest start of the next pull, which leaves a running pull time to finish
};

} // namespace dandelionstall::coordination
