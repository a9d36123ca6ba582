// Chooses the pool of a request among the pools that share its route. Stateless.
#pragma once

#include <dandelionstall/state/tables.h>

#include <string_view>

namespace dandelionstall::coordination {

// Draws a pool by weight, regardless of load: work that exceeds the capacity of its pool is refused and not moved to another
// pool. Returns route.pool when the route has no pool shares. `random` must be fresh random bits.
std::string_view choosePool(const state::route &route, std::uint64_t random);

} // namespace dandelionstall::coordination
