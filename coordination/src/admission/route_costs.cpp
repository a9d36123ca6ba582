#include "route_costs.h"

#include <algorithm>

namespace dandelionstall::coordination::detail {

namespace {

using std::chrono::microseconds;

constexpr std::size_t MaxRoutes = 256;     // maximum number of routes with a learned cost; answers of further routes are ignored
constexpr double StepDown = 0.10;          // smoothing factor of a learned cost for a run time below it
constexpr double StepUp = 0.005;           // smoothing factor for a run time above it; small, so that a slow worker doesn't raise its expected cost
constexpr std::uint32_t FirstAnswers = 10; // answers over which a learned cost is the mean, so that one unusual answer does not decide it
constexpr double TypicalStep = 0.1;        // smoothing factor of the typical cost
constexpr double MinCostUs = 50.0;         // lower limit of costs and run times, so that ratios stay finite

double toMicroseconds(microseconds span)
{
    return std::max(static_cast<double>(span.count()), MinCostUs);
}

microseconds toDuration(double count)
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
    return toDuration(found == m_routes.end() ? m_typical : costOf(found->second));
}

microseconds route_costs::typicalCost() const
{
    return toDuration(m_typical);
}

double route_costs::costRatio(const std::string &route, microseconds hint, microseconds runTime) const
{
    if (hint.count() > 0) {
        return toMicroseconds(runTime) / toMicroseconds(hint);
    }
    const auto found = m_routes.find(route);
    return found == m_routes.end() ? 1.0 : toMicroseconds(runTime) / std::max(found->second.learned, MinCostUs);
}

void route_costs::learn(const std::string &route, microseconds hint, microseconds runTime)
{
    if (!m_routes.contains(route) && m_routes.size() >= MaxRoutes) {
        return;
    }
    const double measured = toMicroseconds(runTime);
    route_cost &cost = m_routes[route];
    ++cost.answers;
    const double laterStep = measured < cost.learned ? StepDown : StepUp;
    const double step = cost.answers <= FirstAnswers ? 1.0 / cost.answers : laterStep;
    cost.learned += (measured - cost.learned) * step;
    cost.hint = hint.count() > 0 ? toMicroseconds(hint) : 0.0;
    const double current = costOf(cost);
    m_typical = m_typical == 0.0 ? current : m_typical + (current - m_typical) * TypicalStep;
}

} // namespace dandelionstall::coordination::detail
