// Fleets on a platform with a key-value store, whose workers announce themselves.
#include "fleet.h"

#include <fmt/format.h>

namespace dandelionstall::testing {

namespace {

constexpr unsigned ReadyPort = 7481;
constexpr std::string_view StorePageItems = "500";
constexpr std::string_view ConfigTarget = "/_put/op/config";

} // namespace

void fleet::startStore()
{
    m_config
        = child_process(programPath("standin_keyed_store"),
                        {"--listen", m_configService, "--page", std::string(StorePageItems), "--lapse-ms", std::to_string(m_plan.store->lapseAfter.count())},
                        m_directory.path("store.log"));
    awaitPort(m_config);
    command(m_configService, std::string(ConfigTarget), m_plan.store->document(1));
}

void fleet::publishTable(std::uint64_t revision)
{
    if (m_plan.store) {
        command(m_configService, std::string(ConfigTarget), m_plan.store->document(revision));
        return;
    }
    std::string text = routesText(revision);
    for (std::uint64_t i = 2; i <= revision; ++i) {
        text += fmt::format("\n[route.table-{}]\npath = {}\npool = {}\nidempotent = yes\n", i, tablePath(i), m_plan.pools.front().name);
    }
    publishRoutes(text);
}

std::string fleet::tablePath(std::uint64_t revision) const
{
    return fmt::format("/table-{}{}", revision, m_plan.store ? "/" : "");
}

std::string fleet::storeSettingsText(const fleet_node &node)
{
    const bool isFirst = m_startedNodes.insert(node.name).second || m_plan.store->keepsFirstSettings;
    const fleet_worker &worker = node.workers.front();
    const template_values values{{"nodeName", node.name},
                                 {"zone", node.plan.dataCentre},
                                 {"region", "test"},
                                 {"contracts", m_plan.store->contracts},
                                 {"ip", node.ip},
                                 {"internalPorts.0", std::to_string(PeerPort)},
                                 {"listen.outbound", fmt::format("{}:{}", node.ip, CallerPort)},
                                 {"listen.readyAddress", fmt::format("{}:{}", node.ip, ReadyPort)},
                                 {"service", worker.plan.pool},
                                 {"bootstrap", isFirst ? "true" : ""},
                                 {"platform.address", m_configService},
                                 {"appAddress", worker.address},
                                 {"limits.memoryMb", "256"}};
    const template_tables tables{{"bounds", m_plan.store->bounds}, {"zones", m_plan.store->regions}};
    std::map<std::string, std::string> lines = m_plan.store->settingsLines;
    lines["admin ="] = fmt::format("admin = {}\nadvertise = {}", node.admin, node.peers);
    return replaceLines(fillTemplate(m_plan.store->settingsTemplate, values, tables), lines) + "\n" + m_plan.nodeSettings;
}

void fleet::appendStoreArguments(const fleet_node &node, const fleet_worker &worker, std::vector<std::string> &arguments) const
{
    for (const auto &[option, value] : std::map<std::string, std::string>{{"--echo", "Attempt-Id"},
                                                                          {"--id", "Attempt-Id"},
                                                                          {"--time-left", "Deadline-Remaining"},
                                                                          {"--seal", "Server-Stamp"},
                                                                          {"--identity", "Expect-Instance"},
                                                                          {"--not-run", "Not-Executed"},
                                                                          {"--rate-limit", "Server-Limit"},
                                                                          {"--leaving", "Server-Leaving"},
                                                                          {"--store", m_configService},
                                                                          {"--service", worker.plan.pool},
                                                                          {"--zone", node.plan.dataCentre},
                                                                          {"--address", worker.address}}) {
        arguments.insert(arguments.end(), {option, value});
    }
}

} // namespace dandelionstall::testing
