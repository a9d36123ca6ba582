// Messages between the control threads of nodes, in typed form. Each is one datagram; protocol/gossip_codec.h encodes them.
//
// Every message names its sender and says which revisions it knows, so any of them can start an exchange of
// configuration. Updates about members and reports of workers ride along as far as the datagram's budget allows.
#pragma once

#include <dandelionstall/coordination/config_store.h>
#include <dandelionstall/coordination/member.h>
#include <dandelionstall/coordination/pool_view.h>
#include <dandelionstall/coordination/worker_directory.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

enum class gossip_kind {
    ping,         // answered by ack
    ack,          // the sender has received the ping with that sequence
    relay,        // asks the receiver to ping the subject for the sender
    relayed_ack,  // the subject has answered the receiver of the relay
    push,         // carries updates and reports only
    member_pull,  // asks for a page of members that follow the cursor
    member_page,  // answers member_pull
    config_fetch, // asks for a chunk of a table
    config_chunk, // a chunk of a table, or of the difference between two revisions
    worker_pull,  // asks for a page of discovered workers that follow the cursor
    worker_page,  // answers worker_pull
};

// Shortened version of a table, enough to see that the other one knows something else.
struct table_hint {
    state::table_revision revision = 0;
    std::uint32_t digest = 0; // low half of the full one

    friend bool operator==(const table_hint &, const table_hint &) = default;
};

// Names a chunk of a table; the whole table when base.revision is 0, else the difference from base to target.
struct config_part {
    table_kind kind = table_kind::routes;
    table_version base;       // what the receiver has
    table_version target;     // revision 0 in a fetch asks for the newest
    std::uint32_t offset = 0; // bytes before the chunk
    std::uint32_t total = 0;  // bytes of all chunks
    std::string bytes;        // empty in a fetch
};

struct gossip_sender {
    state::node_address address;
    std::string dataCentre;
    state::incarnation incarnation = 0;
    std::uint32_t refutations = 0;
    bool leaving = false;
};

// A discovered worker on its way between nodes, whose clocks differ.
struct worker_update {
    discovered_worker entry;                    // coldUntil unused
    std::chrono::milliseconds coldRemaining{0}; // in its place
};

struct gossip_message {
    gossip_kind kind = gossip_kind::push;
    std::uint64_t sequence = 0;                                  // pairs a ping with its ack
    gossip_sender sender;                                        // who has sent this datagram
    std::array<table_hint, TableKinds.size()> tables;            // highest valid versions known to the sender
    std::uint32_t readerRound = 0;                               // see reader_choice.h; counts within the sender's data centre
    std::chrono::seconds serviceReadAge{0};                      // since the sender's data centre last read the service, as the sender knows
    std::optional<std::chrono::milliseconds> receiverContactAge; // since the sender last heard the receiver directly; empty when not lately
    std::optional<state::node_address> subject;                  // third node of relay, relayed_ack and pings on behalf of others; cursor of member_pull
    std::vector<member> updates;                                 // news about members
    std::vector<worker_report> reports;                          // of workers in the receiver's pools
    std::optional<config_part> config;                           // of config_fetch and config_chunk
    std::uint32_t workersDigest = 0;                             // of the discovered workers that the sender knows
    std::vector<worker_update> workers;                          // news of discovered workers
    std::string workersCursor;                                   // of worker_pull
};

struct outgoing_gossip {
    state::node_address to;
    gossip_message message;
};

using gossip_batch = std::vector<outgoing_gossip>;

inline constexpr std::size_t MaxDatagramBytes = 1400; // a message is kept below it
inline constexpr std::size_t ConfigChunkBytes = 1100; // of one config_chunk
inline constexpr std::size_t MaxMemberPageRows = 24;  // of one member_page

} // namespace dandelionstall::coordination
