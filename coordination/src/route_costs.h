// Expected run time per route at one worker: the table's hint, else learned from answers.
#pragma once

#include <dandelionstall/state/types.h>

#include <map>
#include <string>

namespace dandelionstall::coordination::detail {

class route_costs
{
public:
    std::chrono::microseconds expectedCost(std::string_view route) const; // for a route never seen, the typical cost
    std::chrono::microseconds typicalCost() const;                        // of recent work of all routes; zero before the first answer
    double costRatio(const std::string &route, std::chrono::microseconds hint, std::chrono::microseconds runTime) const; // 1 for a route never seen
    void learn(const std::string &route, std::chrono::microseconds hint, std::chrono::microseconds runTime);

private:
    struct route_cost {
        double learned = 0.0; // microseconds
        double hint = 0.0;    // microseconds; 0 when the table has none
    };

    static double costOf(const route_cost &cost);

    std::map<std::string, route_cost, std::less<>> m_routes;
    double m_typical = 0.0; // microseconds
};

} // namespace dandelionstall::coordination::detail
