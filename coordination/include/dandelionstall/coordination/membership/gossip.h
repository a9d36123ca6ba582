// Messages between the control threads of nodes, in typed form. Each is one datagram; protocol/gossip_codec.h encodes them.
//
// Every message carries its sender and the table revisions that the sender knows, so any message can start a transfer of
// configuration. Updates about members and reports of workers are piggybacked as far as the size of the datagram allows.
#pragma once

#include <dandelionstall/coordination/configuration/config_store.h>
#include <dandelionstall/coordination/configuration/reader_choice.h>
#include <dandelionstall/coordination/configuration/worker_directory.h>
#include <dandelionstall/coordination/health/pool_view.h>
#include <dandelionstall/coordination/membership/member.h>
#include <dandelionstall/coordination/rates/rate_messages.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

enum class gossip_kind {
    ping,         // the receiver answers with an ack
    ack,          // answers the ping with the same sequence number
    relay,        // requests that the receiver ping the subject on behalf of the sender
    relayed_ack,  // reports to the sender of a relay that the subject has answered
    push,         // carries updates and reports only
    member_pull,  // requests the page of members that follow the cursor
    member_page,  // answers member_pull
    config_fetch, // requests a chunk of a table
    config_chunk, // carries a chunk of a table or of the difference between two revisions
    worker_pull,  // requests the page of discovered workers that follow the cursor
    worker_page,  // answers worker_pull; its cursor is set when more rows follow
    rates,        // carries what the nodes count of organisations, or answers it; nothing else
};

// Abbreviated version of a table. Shows whether another node has a different version.
struct table_hint {
    state::table_revision revision = 0;
    std::uint32_t digest = 0; // lower 32 bits of the full digest

    friend bool operator==(const table_hint &, const table_hint &) = default;
};

// Identifies a chunk: of the whole table when base.revision is 0, else of the difference from base to target.
struct config_part {
    table_kind kind = table_kind::routes;
    table_version base;       // version that the receiver has; revision 0 when none
    table_version target;     // version to transfer; revision 0 in a fetch requests the newest one
    std::uint32_t offset = 0; // position of the chunk in bytes
    std::uint32_t total = 0;  // size of all chunks together in bytes
    std::string bytes;        // content of the chunk; empty in a fetch
};

struct gossip_sender {
    state::node_address address;
    std::string dataCentre;
    state::incarnation incarnation = 0;
    std::uint32_t refutations = 0;
    bool leaving = false;
};

// A discovered worker as sent between nodes. Nodes have different clocks, so the time of coldUntil is sent as a duration.
struct worker_update {
    discovered_worker entry;                    // coldUntil is unused
    std::chrono::milliseconds coldRemaining{0}; // time left until coldUntil, independent of the clocks of the nodes
};

struct gossip_message {
    gossip_kind kind = gossip_kind::push;
    std::uint64_t sequence = 0;                       // matches a ping with its ack
    gossip_sender sender;                             // node that sent this datagram
    std::array<table_hint, TableKinds.size()> tables; // highest valid versions that the sender knows
    reader_window readers;                            // which nodes of the sender's data centre read the service; see reader_choice.h
    std::chrono::milliseconds serviceReadAge{0};      // time since a node of the sender's data centre last read the service, as far as the sender knows
    std::chrono::milliseconds removalHold{0};         // for how much longer the sender keeps removals pending after an outage; see worker_directory.h
    std::optional<std::chrono::milliseconds> receiverContactAge; // time since the sender last received directly from the receiver; empty when not recent
    std::optional<state::node_address> subject;                  // third node of relay, relayed_ack and relayed pings; cursor of member_pull
    std::vector<member> updates;                                 // member records that have changed, or the rows of a member_page
    std::vector<worker_report> reports;                          // reports of workers in the receiver's pools
    std::optional<config_part> config;                           // set in config_fetch and config_chunk
    std::uint32_t workersDigest = 0;                             // digest of the discovered workers that the sender knows
    std::vector<worker_update> workers;                          // discovered workers that have changed, or the rows of a worker_page
    std::uint64_t storeEra = 0;                                  // highest era of the platform's store that the sender knows
    std::optional<bucket_digests> workersBuckets;                // of the sender of a worker_pull: the answer holds the entries of other buckets only
    std::string workersCursor; // of a worker_pull: the id of the last worker already received, empty for the first page; of a page: its last id if more follow
    rate_message rates;        // of a message of this kind
    std::size_t unusableRows = 0; // rows of a received message that describe nothing usable; they are left out
};

struct outgoing_gossip {
    state::node_address to;
    gossip_message message;
};

using gossip_batch = std::vector<outgoing_gossip>;

inline constexpr std::size_t MaxDatagramBytes = 1400; // an encoded message stays below this size
inline constexpr std::size_t ConfigChunkBytes = 1100; // maximum content of one config_chunk
inline constexpr std::size_t MaxMemberPageRows = 24;  // maximum rows of one member_page

} // namespace dandelionstall::coordination
