// Expected run time per route at one worker: the hint of the route table, otherwise learned from answers.
#pragma once

#include <dandelionstall/state/types.h>

#include <map>
#include <string>

namespace dandelionstall::coordination::detail {

class route_costs
{
public:
    std::chrono::microseconds expectedCost(std::string_view route) const; // the typical cost for a route without an answer so far
    std::chrono::microseconds typicalCost() const;                        // moving average over the answers of all routes; zero before the first answer
    double costRatio(const std::string &route,
                     std::chrono::microseconds hint,
                     std::chrono::microseconds runTime) const; // run time divided by the expected cost; 1 when not known
    void learn(const std::string &route, std::chrono::microseconds hint, std::chrono::microseconds runTime); // adds the run time of an answer

private:
    struct route_cost {
        double learned = 0.0;      // microseconds; 0 before the first answer
        double hint = 0.0;         // microseconds; 0 when the table has none
        std::uint32_t answers = 0; // number of answers learned from
    };

    static double costOf(const route_cost &cost);

    std::map<std::string, route_cost, std::less<>> m_routes;
    double m_typical = 0.0; // microseconds
};

} // namespace dandelionstall::coordination::detail
