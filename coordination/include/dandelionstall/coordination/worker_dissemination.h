// Disseminates the entries of discovered workers between nodes. Pure; used from one thread.
//
// A node pushes new or changed entries to a few other nodes at once, which push them on. Every message carries a digest of
// all entries of its sender. A node with another digest pulls the sender's entries page by page, so a node that misses a
// push catches up after the next message that it receives.
//
// Usage:
//   worker_dissemination dissemination(directory);
//   dissemination.collectChanges();
//   if (dissemination.hasPendingPush()) send(dissemination.push(peers, now));
//   send(dissemination.receive(message, now));  // any message
#pragma once

#include <dandelionstall/coordination/gossip.h>
#include <dandelionstall/coordination/worker_directory.h>

namespace dandelionstall::coordination {

class worker_dissemination
{
public:
    explicit worker_dissemination(worker_directory &directory);

    gossip_batch receive(const gossip_message &message, state::time_point now);
    gossip_batch push(const std::vector<state::node_address> &peers, state::time_point now); // sends the collected changes to the peers
    bool hasPendingPush() const;                                                             // true when changes were collected since the last push()
    void collectChanges(); // consumes the changes of the directory; call before hasPendingPush()

private:
    void requestPage(const state::node_address &from, std::string cursor, gossip_batch &out) const;
    void servePage(const gossip_message &message, state::time_point now, gossip_batch &out) const;

    worker_directory &m_directory;
    std::vector<discovered_worker> m_pendingPush;
    std::string m_cursor;         // last id of the latest page; an interrupted pull continues from it
    state::time_point m_nextPull; // earliest start of the next pull, which leaves a running pull time to finish
};

} // namespace dandelionstall::coordination
