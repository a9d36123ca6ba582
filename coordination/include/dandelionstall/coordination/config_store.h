// Holds the configuration of a node: the two tables in force, and newer ones that cannot be put in force yet.
//
// The revision written in a table decides. The highest one that can be used wins and is never given up for an older one,
// whoever offers it. A route table that names an unknown pool is held back until the pool table comes, and a pool table
// that drops a pool in use until the route table comes; the last good pair stays in force. Pure; used from one thread.
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
    state::table_revision revision = 0; // 0 when there is none
    std::uint64_t digest = 0;           // hash of the text

    friend bool operator==(const table_version &, const table_version &) = default;
};

using table_text = std::shared_ptr<const std::string>; // shared between the store and messages that carry it

std::string_view tableKindName(table_kind kind); // "routes" or "pools"

// [SECTION] Offers

enum class offer_verdict {
    accepted,  // in force now
    held,      // kept until the other table fits
    unchanged, // in force or held already
    stale,     // older than what is known
    conflict,  // same revision as a known one, other content
    broken,    // cannot be parsed
};

struct offer_result {
    offer_verdict verdict = offer_verdict::unchanged;
    table_version version; // of the offered table; revision 0 when broken
    absl::Status reason;   // why it is not in force; OK when accepted or unchanged
};

std::string_view offerVerdictName(offer_verdict verdict); // "accepted", ...

// [SECTION] Store

class config_store
{
public:
    offer_result offer(table_kind kind, std::string text, std::string_view source); // source stands in the reason, e.g. "10.0.0.1:7400"

    std::shared_ptr<const state::route_table> routes() const;             // in force; null when none
    std::shared_ptr<const state::pool_table> pools() const;               // in force; null when none
    table_version inForce(table_kind kind) const;                         // revision 0 when none
    table_version newestKnown(table_kind kind) const;                     // highest valid one seen: the one held back, else the one in force
    table_text text(table_kind kind, const table_version &version) const; // null unless it is in force or held back

private:
    template<typename table>
    struct slot {
        std::shared_ptr<const table> parsed;
        table_text text;
    };

    template<typename table>
    struct pair_of {
        slot<table> inForce;
        slot<table> held; // newer than inForce; empty when none
    };

    template<typename table>
    offer_result take(pair_of<table> &tables, table_kind kind, absl::StatusOr<table> parsed, std::string text);
    template<typename table>
    bool takeBetween(pair_of<table> &tables, const table &parsed, const std::string &text);
    absl::Status settle();
    bool tryInForce(const slot<state::route_table> &routes, const slot<state::pool_table> &pools, absl::Status &reason);

    pair_of<state::route_table> m_routes;
    pair_of<state::pool_table> m_pools;
};

} // namespace dandelionstall::coordination
