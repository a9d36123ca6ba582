// Spreads the entries of discovered workers between nodes. Pure; used from one thread.
//
// What a node learns it pushes to a few others at once, which push it on. Every message names a digest of all entries;
// a node that sees another digest than its own pulls the sender's entries page by page, so that whoever was missed
// catches up with the next message it gets.
//
// Usage:
//   worker_dissemination spread(directory);
//   send(spread.push(peers));            // after anything was learnt
//   send(spread.receive(message, now));  // any message
#pragma once

#include <dandelionstall/coordination/gossip.h>
#include <dandelionstall/coordination/worker_directory.h>

namespace dandelionstall::coordination {

class worker_dissemination
{
public:
    explicit worker_dissemination(worker_directory &directory);

    gossip_batch receive(const gossip_message &message, state::time_point now);
    gossip_batch push(const std::vector<state::node_address> &peers, state::time_point now); // what was learnt since the last call
    bool hasPendingPush() const;                                                             // something was learnt since the last push()
    void collectChanges();                                                                   // takes the changes of the directory; before hasPendingPush()

private:
    void askPage(const state::node_address &from, std::string cursor, gossip_batch &out) const;
    void servePage(const gossip_message &message, state::time_point now, gossip_batch &out) const;

    worker_directory &m_directory;
    std::vector<discovered_worker> m_pushDue;
    std::string m_cursor;         // last id of the latest page; a pull that was cut off goes on from there
    state::time_point m_nextPull; // a pull under way gets this long before another may begin
};

} // namespace dandelionstall::coordination
