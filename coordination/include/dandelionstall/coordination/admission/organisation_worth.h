// Worth of a request of an organisation. Pure.
//
// Answers the load of organisations of unequal priority that compete for too few slots: their requests are ordered by the priority of the
// organisation first, then by the worth of the route.
#pragma once

#include <dandelionstall/state/tables.h>

namespace dandelionstall::coordination {

inline constexpr double WorthPerPriority = 4.0; // of one priority relative to the next; more than between two priorities of routes, which is 2

double worthWithin(const state::organisation &organisation, double routeWorth); // > 0 for routeWorth > 0

} // namespace dandelionstall::coordination
