// Disseminates the configuration between nodes. Every gossip message names the table revisions that its sender knows; a node
// with an older revision fetches the newer table from the sender in chunks. Pure; used from one thread.
//
// A node that receives a newer valid table pushes the difference to a few other nodes at once if it fits into one message;
// otherwise the message only names the new revision. A node that misses the push sees the revision in a later message and
// fetches the table. The receiver drives a transfer: it requests missing chunks again and switches to another node when the
// first one does not answer. The sender keeps no state for a transfer.
//
// Usage:
//   config_dissemination dissemination(store, seed);
//   offer_result result = dissemination.offer(table_kind::routes, text, "service", now);
//   send(dissemination.receive(message, now));
//   send(dissemination.tick(now));
//   for (const offered_table &offered : dissemination.consumeOfferedTables()) ...
//   if (dissemination.hasPendingPush()) send(dissemination.push(peers));
//
// Index:
//   [SECTION] Results
//   [SECTION] Dissemination
#pragma once

#include <dandelionstall/coordination/configuration/config_store.h>
#include <dandelionstall/coordination/membership/gossip.h>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace dandelionstall::coordination {

// [SECTION] Results

// A table offered by another node or by the service, with the result of the offer; or a conflict, when a message of another
// node names a known revision with different content.
struct offered_table {
    table_kind kind = table_kind::routes;
    offer_result result;
    std::string source; // "service" or the address of a node
};

// [SECTION] Dissemination

class config_dissemination
{
public:
    explicit config_dissemination(config_store &store, std::uint64_t seed);

    offer_result
    offer(table_kind kind, std::string text, const std::string &source, state::time_point now); // table from the service or from a completed transfer
    gossip_batch receive(const gossip_message &message, state::time_point now);                 // call for every message, since each one names revisions
    gossip_batch tick(state::time_point now);                                                   // requests missing chunks again after a timeout
    gossip_batch push(const std::vector<state::node_address> &peers);          // messages about the tables that became the newest known since the last call
    gossip_batch requestTables(const std::vector<state::node_address> &peers); // requests the newest version of each table that this node lacks
    bool hasPendingPush() const;                                               // true when a newer valid table has arrived since the last push()

    std::array<table_hint, TableKinds.size()> tableHints() const; // versions for the common fields of every message
    bool receivedPeerRevision() const;                            // true when a peer has named a revision other than 0
    std::vector<offered_table> consumeOfferedTables();            // offers and conflicts since the last call, without offers with verdict unchanged

private:
    // A table that is being fetched from another node.
    struct transfer {
        state::node_address from;
        config_part part;                               // versions and size of the transfer; bytes unused
        std::vector<std::optional<std::string>> chunks; // empty until the first chunk has arrived
        std::size_t nextChunk = 0;                      // first chunk that has not been requested
        std::uint32_t attempts = 0;                     // consecutive attempts without an answer
        state::time_point retryAt;
    };

    // A table version whose text is kept as base of differences.
    struct old_text {
        table_version version;
        table_text text;
    };

    // A compressed text or difference that is kept for sending.
    struct cached_blob {
        table_version base;
        table_version target;
        std::string bytes;
    };

    void handleTableHints(const gossip_message &message, state::time_point now, gossip_batch &out);
    void beginTransfer(table_kind kind, const state::node_address &from, state::time_point now, gossip_batch &out);
    void answerFetch(const gossip_message &message, gossip_batch &out);
    void handleChunk(const gossip_message &message, state::time_point now, gossip_batch &out);
    void requestMoreChunks(transfer &current, state::time_point now, gossip_batch &out);
    void completeTransfer(table_kind kind, const transfer &completed, state::time_point now);
    void storeOldText(table_kind kind, const table_version &version);
    std::optional<config_part> chunkOf(table_kind kind, const table_version &base, const table_version &target, std::uint32_t offset);
    const std::string *blobOf(table_kind kind, const table_version &base, const table_version &target);
    table_text textOf(table_kind kind, const table_version &version) const;
    table_version bestTargetFor(table_kind kind, const table_version &base) const;
    gossip_message makeFetch(const config_part &part) const;
    std::optional<transfer> &transferOf(table_kind kind);

    config_store &m_store;
    pcg32 m_random;
    std::array<std::optional<transfer>, TableKinds.size()> m_transfers;
    std::array<std::deque<old_text>, TableKinds.size()> m_history;
    std::array<std::deque<cached_blob>, TableKinds.size()> m_blobs;
    std::array<bool, TableKinds.size()> m_pushPending{};
    std::array<table_version, TableKinds.size()> m_pushBase{};
    std::array<state::time_point, TableKinds.size()> m_nextPendingFetch{};
    std::vector<offered_table> m_offeredTables;
    bool m_receivedPeerRevision = false;
};

} // namespace dandelionstall::coordination
