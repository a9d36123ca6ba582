#include "fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace dandelionstall::testing {

namespace {

constexpr unsigned NodesPerDataCentre = 2;

std::string settingLines(const std::map<std::string, std::string> &settings)
{
    std::string text;
    for (const auto &[key, value] : settings) {
        text += fmt::format("{} = {}\n", key, value);
    }
    return text;
}

// Pool settings from the environment, to run a test with other policies: "ejector=consecutive_failures admission=fifo".
std::map<std::string, std::string> poolSettingsFromEnvironment()
{
    const char *text = std::getenv("DANDELIONSTALL_TEST_POOL");
    std::map<std::string, std::string> settings;
    std::istringstream words(text != nullptr ? text : "");
    for (std::string word; words >> word;) {
        const std::size_t equals = std::min(word.find('='), word.size() - 1);
        settings[word.substr(0, equals)] = word.substr(equals + 1);
    }
    return settings;
}

} // namespace

fleet_plan threeDataCentres()
{
    fleet_plan plan;
    plan.pools = {{"orders", 3, 0.5, poolSettingsFromEnvironment()}};
    plan.routes = {{"lookup", "/lookup", "orders", true, 1.0, {}}, {"book", "/book", "orders", false, 5.0, {}}};
    for (const char *dataCentre : {"kiambu", "thika", "ruiru"}) {
        for (unsigned i = 0; i < NodesPerDataCentre; ++i) {
            plan.nodes.push_back({dataCentre, {{fmt::format("{}-{}", dataCentre, i), "orders"}}});
        }
    }
    return plan;
}

std::string fleet::routesText(std::uint64_t revision) const
{
    std::string text = fmt::format("[table]\nrevision = {}\n", revision);
    for (const route_plan &route : m_plan.routes) {
        text += fmt::format("\n[route.{}]\npath = {}\npool = {}\nidempotent = {}\nworth = {}\n",
                            route.name,
                            route.path,
                            route.pool,
                            route.idempotent ? "yes" : "no",
                            route.worth);
        text += settingLines(route.settings);
    }
    return text;
}

std::string fleet::poolsText(std::uint64_t revision) const
{
    std::string text = fmt::format("[table]\nrevision = {}\n", revision);
    for (const pool_plan &pool : m_plan.pools) {
        text += fmt::format("\n[pool.{}]\nslots = {}\nfloor = {}\n", pool.name, pool.slots, pool.floor);
        text += settingLines(pool.settings);
        for (const fleet_node &node : m_nodes) {
            for (const fleet_worker &worker : node.workers) {
                if (worker.plan.pool == pool.name) {
                    text += fmt::format("worker.{} = {} {}\n", worker.plan.id, node.peers, node.plan.dataCentre);
                }
            }
        }
    }
    return text;
}

std::string fleet::settingsText(const fleet_node &node) const
{
    std::string seeds;
    for (const fleet_node &other : m_nodes) {
        if (&other != &node && seeds.size() < 100) {
            seeds += (seeds.empty() ? "" : ",") + other.peers;
        }
    }
    std::string text = fmt::format("[node]\nname = {}\ndata_centre = {}\nregion = test\nlisten = {}:{}\nadvertise = {}\ncallers = {}:{}\nadmin = {}\n",
                                   node.name,
                                   node.plan.dataCentre,
                                   node.ip,
                                   PeerPort,
                                   node.peers,
                                   node.ip,
                                   CallerPort,
                                   node.admin);
    text
        += fmt::format("\n[platform]\nconfig_service = {}\nvm_list = {}\n{}", m_configService, m_configService, seeds.empty() ? "" : "seeds = " + seeds + "\n");
    for (const fleet_worker &worker : node.workers) {
        text += fmt::format(
            "\n[worker.{}]\npool = {}\naddress = {}\nhealth_path = {}\n", worker.plan.id, worker.plan.pool, worker.address, m_plan.probes ? "/healthz" : "");
    }
    return text + "\n" + m_plan.nodeSettings;
}

} // namespace dandelionstall::testing
