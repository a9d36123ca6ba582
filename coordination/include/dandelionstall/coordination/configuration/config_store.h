// Stores the configuration of a node: the two tables in force, and newer ones that cannot be put in force yet.
//
// The revision written in a table decides. The highest usable revision is put in force and is never replaced by an older one,
// whatever the source of the offer. A route table that refers to an unknown pool stays pending until the pool table arrives;
// a pool table that removes a pool in use stays pending until a route table without it arrives. Meanwhile the last valid pair
// stays in force. Pure; used from one thread.
//
// Usage:
//   config_store store;
//   offer_result result = store.offer(table_kind::routes, text, "service");
//   if (result.verdict == offer_verdict::accepted) publish(store.routes(), store.pools());
//
// Index:
//   [SECTION] Revisions
//   [SECTION] Offers
//   [SECTION] Store
#pragma once

#include <dandelionstall/state/tables.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionstall::coordination {

// [SECTION] Revisions

enum class table_kind { routes, pools };

inline constexpr std::array TableKinds{table_kind::routes, table_kind::pools};

struct table_version {
    state::table_revision revision = 0; // 0 when there is no table
    std::uint64_t digest = 0;           // hash of the text

    friend bool operator==(const table_version &, const table_version &) = default;
};

using table_text = std::shared_ptr<const std::string>; // shared between the store and the messages that carry it

std::string_view tableKindName(table_kind kind); // "routes" or "pools"

// [SECTION] Offers

enum class offer_verdict {
    accepted,  // in force now
    held,      // pending until the other table matches it
    unchanged, // already in force or pending
    stale,     // older than the newest known revision
    conflict,  // same revision as a known table but different content
    broken,    // cannot be parsed
};

struct offer_result {
    offer_verdict verdict = offer_verdict::unchanged;
    table_version version; // version of the offered table; revision 0 when broken
    absl::Status reason;   // why the table is not in force; OK when accepted or unchanged
};

std::string_view offerVerdictName(offer_verdict verdict); // text form: "accepted", "held", ...

// [SECTION] Store

class config_store
{
public:
    offer_result offer(table_kind kind, std::string text, std::string_view source); // source is quoted in the reason, e.g. "10.0.0.1:7400"

    std::shared_ptr<const state::route_table> routes() const;             // route table in force; null when none
    std::shared_ptr<const state::pool_table> pools() const;               // pool table in force; null when none
    table_version inForce(table_kind kind) const;                         // revision 0 when none is in force
    table_version newestKnown(table_kind kind) const;                     // highest valid version: the pending table, else the one in force
    table_text text(table_kind kind, const table_version &version) const; // null unless that version is in force or pending

private:
    template<typename table>
    struct slot {
        std::shared_ptr<const table> parsed;
        table_text text;
    };

    template<typename table>
    struct table_slots {
        slot<table> inForce;
        slot<table> pending; // newer than inForce; empty when none
    };

    template<typename table>
    offer_result handleParsed(table_slots<table> &tables, table_kind kind, absl::StatusOr<table> parsed, std::string text);
    template<typename table>
    bool acceptIntermediate(table_slots<table> &tables, const table &parsed, const std::string &text);
    absl::Status applyNewestPair();
    bool tryInForce(const slot<state::route_table> &routes, const slot<state::pool_table> &pools, absl::Status &reason);

    table_slots<state::route_table> m_routes;
    table_slots<state::pool_table> m_pools;
};

} // namespace dandelionstall::coordination
