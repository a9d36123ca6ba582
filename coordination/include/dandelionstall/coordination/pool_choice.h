// Chooses the pool of a request among those that share its route. Pure.
#pragma once

#include <dandelionstall/state/tables.h>

#include <string_view>

namespace dandelionstall::coordination {

// By weight, whatever the load: what does not fit into a pool's part is refused, not moved. The only pool where there is one.
std::string_view choosePool(const state::route &route, std::uint64_t random);

} // namespace dandelionstall::coordination
