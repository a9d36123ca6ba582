#include "site.h"

#include <boost/json.hpp>
#include <fmt/format.h>

namespace dandelionstall::measures {

namespace json = boost::json;
using testing::fleet;
using testing::fleet_plan;

const std::vector<site> &allSites()
{
    static const std::vector<site> sites{
        {"kiambu", {"kiambu", "thika", "ruiru"}, {{"dressing-order", 15}, {"catalogue", 6}}, 3, 4, 8, 1},
        {"vaga", {"sul-curitiba", "sul-joinville", "sul-floripa", "sul-poa"}, {{"tagdesk", 23}, {"baykeeper", 8}}, 5, 5, 3, 3},
    };
    return sites;
}

const std::vector<policy_set> &allPolicies()
{
    static const std::vector<policy_set> policies{
        {"baseline", {{"balancer", "random"}, {"ejector", "consecutive_failures"}, {"admission", "fifo"}, {"retry", "fixed_count"}}},
        {"chosen", {{"balancer", "least_wait"}, {"ejector", "peer_outlier"}, {"admission", "worth_density"}, {"retry", "budgeted"}}},
    };
    return policies;
}

fleet_plan planSite(const site &site, const policy_set &policies, std::uint64_t seed)
{
    fleet_plan plan;
    plan.seed = seed;
    for (const site_pool &pool : site.pools) {
        plan.pools.push_back({pool.name, site.slots, 0.5, policies.settings});
        for (std::uint32_t i = 0; i < pool.workers; ++i) {
            const std::string &dataCentre = site.dataCentres[plan.nodes.size() % site.dataCentres.size()];
            plan.nodes.push_back({dataCentre, {{fmt::format("{}-{}", pool.name, i), pool.name}}});
        }
    }
    const std::string &measured = site.pools.front().name;
    plan.routes = {{"lookup", "/lookup", measured, true, 1.0, {{"timeout", "2s"}, {"cost_hint", fmt::format("{:.0f}ms", 100 * site.costFactor)}}},
                   {"book", "/book", measured, false, 5.0, {{"timeout", "2s"}, {"cost_hint", fmt::format("{:.0f}ms", 200 * site.costFactor)}}},
                   {"manual", "/manual", measured, true, 1.0, {{"timeout", "30s"}, {"cost_hint", "10s"}}},
                   {"second", "/second", site.pools.back().name, true, 1.0, {{"timeout", "2s"}}}};
    return plan;
}

std::string pathRules(const site &site, fleet &fleet, double jitterMs, double loss)
{
    json::array rules;
    const auto rule = [&](const std::string &from, const std::string &to, double delayMs) {
        rules.push_back({{"from", from}, {"to", to}, {"delay_ms", delayMs}, {"jitter_ms", jitterMs}, {"loss", loss}});
    };
    rule("*", "*", site.delayMs);
    rule(fleet.ip(2), "*", site.callerDelayMs);
    rule("*", fleet.ip(2), site.callerDelayMs);
    // Paths within a data centre have no delay, jitter or loss.
    for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
        for (std::size_t j = 0; j < fleet.nodeCount(); ++j) {
            if (fleet.node(i).plan.dataCentre == fleet.node(j).plan.dataCentre) {
                rules.push_back({{"from", fleet.node(i).ip}, {"to", fleet.node(j).ip}});
            }
        }
    }
    return json::serialize(rules);
}

std::uint32_t measuredSlots(const site &site)
{
    return site.slots * site.pools.front().workers;
}

} // namespace dandelionstall::measures
