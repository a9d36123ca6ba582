// Spreads the configuration between nodes: who is ahead is learnt from the revisions that every gossip message names; the
// one behind fetches what it lacks in chunks. Pure; used from one thread.
//
// A node that accepts a newer table pushes the difference to a few others at once. Whoever is missed sees the revision
// in a later message and fetches. A transfer is driven by its receiver, which asks again for chunks that do not come and
// turns to another node when the first one stays silent; the sender keeps no state for it.
//
// Usage:
//   config_dissemination spread(store, seed);
//   offer_result result = spread.offerFromService(table_kind::routes, text, now);
//   send(spread.receive(message, now));
//   send(spread.tick(now));
//   for (const offer_result &result : spread.consumeOfferedTables()) ...
//   if (spread.hasPendingPush()) ... // see pushParts()
//
// Index:
//   [SECTION] Results
//   [SECTION] Spread
#pragma once

#include <dandelionstall/coordination/config_store.h>
#include <dandelionstall/coordination/gossip.h>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <vector>

namespace dandelionstall::coordination {

// [SECTION] Results

// One table that came from another node or from the service, and what became of it.
struct offered_table {
    table_kind kind = table_kind::routes;
    offer_result result;
    std::string source; // "service" or the address of a node
};

// [SECTION] Spread

class config_dissemination
{
public:
    explicit config_dissemination(config_store &store, std::uint64_t seed);

    offer_result offer(table_kind kind, std::string text, const std::string &source, state::time_point now); // from the service or a finished transfer
    gossip_batch receive(const gossip_message &message, state::time_point now);                              // any message: its revisions count
    gossip_batch tick(state::time_point now);                                                                // repeats what was not answered
    gossip_batch push(const std::vector<state::node_address> &peers);          // what was accepted since the last call, to a few peers
    gossip_batch requestTables(const std::vector<state::node_address> &peers); // asks for the newest tables, as a fresh node does
    bool hasPendingPush() const;                                               // something was accepted since the last push()

    std::array<table_hint, TableKinds.size()> tableHints() const; // for every message
    bool receivedPeerRevision() const;                            // a peer has answered or named a revision
    std::vector<offered_table> consumeOfferedTables();            // since the last call, without unchanged ones

private:
    // A table that is being fetched from another node.
    struct transfer {
        state::node_address from;
        config_part part;                               // bytes unused
        std::vector<std::optional<std::string>> chunks; // empty until the first one has come
        std::size_t nextChunk = 0;                      // the first one that has not been asked for
        std::uint32_t attempts = 0;                     // in a row without an answer
        state::time_point retryAt;
    };

    // A version whose text is kept to make differences from it.
    struct old_text {
        table_version version;
        table_text text;
    };

    struct cached_blob {
        table_version base;
        table_version target;
        std::string bytes;
    };

    void noteHints(const gossip_message &message, state::time_point now, gossip_batch &out);
    void beginTransfer(table_kind kind, const state::node_address &from, state::time_point now, gossip_batch &out);
    void serve(const gossip_message &message, gossip_batch &out);
    void takeChunk(const gossip_message &message, state::time_point now, gossip_batch &out);
    void askMore(transfer &current, state::time_point now, gossip_batch &out);
    void finish(table_kind kind, const transfer &done, state::time_point now);
    void remember(table_kind kind, const table_version &version);
    std::optional<config_part> chunkOf(table_kind kind, const table_version &base, const table_version &target, std::uint32_t offset);
    const std::string *blobOf(table_kind kind, const table_version &base, const table_version &target);
    table_text textOf(table_kind kind, const table_version &version) const;
    table_version bestFor(table_kind kind, const table_version &base) const;
    gossip_message fetch(const config_part &part) const;
    std::optional<transfer> &transferOf(table_kind kind);

    config_store &m_store;
    pcg32 m_random;
    std::array<std::optional<transfer>, TableKinds.size()> m_transfers;
    std::array<std::deque<old_text>, TableKinds.size()> m_history;
    std::array<std::deque<cached_blob>, TableKinds.size()> m_blobs;
    std::array<bool, TableKinds.size()> m_pushDue{};
    std::array<table_version, TableKinds.size()> m_pushBase{};
    std::array<state::time_point, TableKinds.size()> m_nextHeldFetch{};
    std::vector<offered_table> m_results;
    bool m_heardFromPeer = false;
};

} // namespace dandelionstall::coordination
