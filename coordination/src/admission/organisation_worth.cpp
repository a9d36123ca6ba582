#include <dandelionstall/coordination/admission/organisation_worth.h>

#include <algorithm>
#include <cmath>

namespace dandelionstall::coordination {

namespace {

constexpr std::uint32_t MaxSteps = 10; // lower priorities are worth the same

} // namespace

double worthWithin(const state::organisation &organisation, double routeWorth)
{
    return routeWorth * std::pow(WorthPerPriority, -static_cast<double>(std::min(organisation.priority, MaxSteps)));
}

} // namespace dandelionstall::coordination
