#include "route_costs.h"

#include <algorithm>

namespace dandelionstall::coordination::detail {

namespace {

using std::chrono::microseconds;

constexpr std::size_t MaxRoutes = 256; // further routes count as never seen
constexpr double StepDown = 0.10;      // share by which a learned cost follows a shorter run time
constexpr double StepUp = 0.005;       // the same for a longer one; a slow worker must not become its own norm
constexpr double TypicalStep = 0.1;    // share by which the typical cost follows the latest route's
constexpr double LeastCostUs = 50.0;   // keeps ratios finite

double countOf(microseconds span)
{
    return std::max(static_cast<double>(span.count()), LeastCostUs);
}

microseconds spanOf(double count)
{
    return microseconds(static_cast<microseconds::rep>(count));
}

} // namespace

double route_costs::costOf(const route_cost &cost)
{
    return cost.hint > 0.0 ? cost.hint : cost.learned;
}

microseconds route_costs::expectedCost(std::string_view route) const
{
    const auto found = m_routes.find(route);
    return spanOf(found == m_routes.end() ? m_typical : costOf(found->second));
}

microseconds route_costs::typicalCost() const
{
    return spanOf(m_typical);
}

double route_costs::costRatio(const std::string &route, microseconds hint, microseconds runTime) const
{
    if (hint.count() > 0) {
        return countOf(runTime) / countOf(hint);
    }
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? 1.0 : countOf(runTime) / std::max(found->second.learned, LeastCostUs);
}

void route_costs::learn(const std::string &route, microseconds hint, microseconds runTime)
{
    if (!m_routes.contains(route) && m_routes.size() >= MaxRoutes) {
        return;
    }
    const double measured = countOf(runTime);
    route_cost &cost = m_routes[route];
    if (cost.learned == 0.0) {
        cost.learned = measured;
    }
    cost.learned += (measured - cost.learned) * (measured < cost.learned ? StepDown : StepUp);
    cost.hint = hint.count() > 0 ? countOf(hint) : 0.0;
    const double current = costOf(cost);
    m_typical = m_typical == 0.0 ? current : m_typical + (current - m_typical) * TypicalStep;
}

} // namespace dandelionstall::coordination::detail
