// Snapshot of configuration and pool views that the control thread publishes to the traffic threads. A snapshot is
// immutable; an update replaces it as a whole.
#pragma once

#include <dandelionstall/coordination/health/pool_view.h>
#include <dandelionstall/state/organisation_index.h>

#include <map>
#include <memory>
#include <string>

namespace dandelionstall::coordination {

struct fleet_snapshot {
    std::uint64_t generation = 0;                                   // increases with every published snapshot
    std::shared_ptr<const state::route_table> routes;               // route table in force; null before the first configuration
    std::shared_ptr<const state::organisation_index> organisations; // index over the organisations of routes; null before the first configuration
    std::shared_ptr<const state::pool_table> pools;                 // pool table in force; null before the first configuration
    std::map<std::string, std::shared_ptr<const pool_view>, std::less<>> poolViews; // views of the tracked pools; for all others use makePoolView()
    state::incarnation selfIncarnation = 0; // incarnation of this node; higher than any earlier one that the fleet knows
    bool workersDiscovered = false;         // the discovered workers have been read from the store or received from a peer
    bool leaving = false;                   // this node is shutting down and accepts no new work
};

using fleet_snapshot_ptr = std::shared_ptr<const fleet_snapshot>;

} // namespace dandelionstall::coordination
