// What the control thread publishes to the traffic threads: immutable, replaced as a whole.
#pragma once

#include <dandelionstall/coordination/pool_view.h>

#include <map>
#include <memory>
#include <string>

namespace dandelionstall::coordination {

struct fleet_snapshot {
    std::uint64_t generation = 0;                                                   // grows with every publication
    std::shared_ptr<const state::route_table> routes;                               // in force; null before the first configuration
    std::shared_ptr<const state::pool_table> pools;                                 // in force; null before the first configuration
    std::map<std::string, std::shared_ptr<const pool_view>, std::less<>> poolViews; // pools of interest; others: makePoolView()
    state::incarnation selfIncarnation = 0;                                         // above all that the fleet knows of this node
    std::uint32_t liveNodeCount = 1;                                                // nodes believed to take callers, this one included
    bool workersDiscovered = false;                                                 // the discovered workers have been read or heard of
    bool leaving = false;                                                           // this node takes no new work
};

using fleet_snapshot_ptr = std::shared_ptr<const fleet_snapshot>;

} // namespace dandelionstall::coordination
