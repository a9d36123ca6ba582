#include "fleet.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <csignal>
#include <stdexcept>
#include <unistd.h>

namespace dandelionstall::testing {

namespace json = boost::json;

namespace {

constexpr unsigned ConfigHost = 1;
constexpr unsigned FirstNodeHost = 10;
constexpr unsigned FirstProxyHost = 110;
constexpr unsigned ConfigPort = 8500;
constexpr unsigned WorkerPort = 9000;
constexpr std::chrono::minutes LoadCap{3};

// Derives the address block from the process id. Ids of running processes differ, so concurrent tests use different blocks.
std::string blockPrefix()
{
    const auto id = static_cast<unsigned>(getpid());
    return fmt::format("127.{}.{}.", 64 + (id / 256) % 128, id % 256);
}

} // namespace

load_job::load_job(child_process process, std::string logPath)
    : m_process(std::move(process))
    , m_logPath(std::move(logPath))
{ }

bool load_job::running()
{
    return m_process.running();
}

std::vector<standins::call_record> load_job::finish()
{
    const bool ended = m_process.awaitExit(LoadCap);
    if (!ended || m_process.exitCode() != 0) {
        throw std::runtime_error("the load process failed: " + m_process.output());
    }
    return standins::readCallLog(m_logPath);
}

fleet::fleet(fleet_plan plan)
    : m_plan(std::move(plan))
    , m_prefix(blockPrefix())
{
    planAddresses();
    m_routes = routesText(1);
    m_pools = poolsText(1);
}

void fleet::planAddresses()
{
    m_configService = fmt::format("{}:{}", ip(ConfigHost), ConfigPort);
    for (std::size_t i = 0; i < m_plan.nodes.size(); ++i) {
        fleet_node node;
        node.plan = m_plan.nodes[i];
        node.name = fmt::format("node-{}", i);
        node.ip = ip(FirstNodeHost + static_cast<unsigned>(i));
        const std::string reached = m_plan.faultProxy ? ip(FirstProxyHost + static_cast<unsigned>(i)) : node.ip;
        node.peers = fmt::format("{}:{}", reached, PeerPort);
        node.callers = fmt::format("{}:{}", m_plan.proxyCallers ? reached : node.ip, CallerPort);
        node.admin = fmt::format("{}:{}", node.ip, AdminPort);
        const std::string workerIp = m_plan.store ? reached : node.ip; // on a store, other nodes derive the node's address from that of its worker
        for (const worker_plan &worker : node.plan.workers) {
            node.workers.push_back({worker, fmt::format("{}:{}", workerIp, WorkerPort + node.workers.size()), {}});
        }
        m_nodes.push_back(std::move(node));
    }
}

void fleet::start()
{
    if (!m_plan.store) {
        publishNodes();
    }
    startConfigService();
    startWorkers();
    if (m_plan.faultProxy) {
        startProxy();
    }
    m_startedAt = state::clock::now();
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        startNode(i);
    }
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (!awaitReady(i)) {
            throw std::runtime_error(m_nodes[i].name + " did not become ready: " + m_nodes[i].process.output());
        }
    }
}

void fleet::startNode(std::size_t index)
{
    fleet_node &node = m_nodes[index];
    const std::string text = m_plan.store ? storeSettingsText(node) : settingsText(node);
    const std::string settings = m_directory.write(node.name + ".ini", text);
    node.process = child_process(programPath("dandelionstall"), {"--config", settings}, m_directory.path(node.name + ".log"));
}

bool fleet::awaitReady(std::size_t index)
{
    fleet_node &node = m_nodes[index];
    const std::string callers = fmt::format("{}:{}", node.ip, CallerPort);
    const std::string path = m_plan.routes.front().path;
    const auto serves = [&] {
        const http_outcome outcome = getHttp(callers, path);
        return outcome.status != 0 && outcome.body.find("not_ready") == std::string::npos;
    };
    return waitUntil([&] { return !node.process.running() || serves(); }) && node.process.running();
}

fleet_node &fleet::node(std::size_t index)
{
    return m_nodes.at(index);
}

std::size_t fleet::nodeCount() const
{
    return m_nodes.size();
}

state::time_point fleet::startedAt() const
{
    return m_startedAt;
}

fleet_worker &fleet::worker(const std::string &id)
{
    for (fleet_node &node : m_nodes) {
        for (fleet_worker &worker : node.workers) {
            if (worker.plan.id == id) {
                return worker;
            }
        }
    }
    throw std::out_of_range("unknown worker " + id);
}

std::string fleet::ip(unsigned host) const
{
    return m_prefix + std::to_string(host);
}

const std::string &fleet::configService() const
{
    return m_configService;
}

fleet_plan &fleet::plan()
{
    return m_plan;
}

void fleet::stopConfigService()
{
    m_config.kill();
}

void fleet::startConfigService()
{
    if (m_plan.store) {
        startStore();
        return;
    }
    const auto assign = [this](const std::string &key, const std::string &name, const std::string &text) {
        return key + "=" + m_directory.write(name, text);
    };
    m_config = child_process(programPath("standin_config"),
                             {"--listen",
                              m_configService,
                              "--set",
                              assign("dandelionstall/routes", "routes.ini", m_routes),
                              "--set",
                              assign("dandelionstall/pools", "pools.ini", m_pools),
                              "--set",
                              assign("_nodes", "nodes.json", m_nodeList)},
                             m_directory.path("config.log"));
    waitUntil([this] { return getHttp(m_configService, "/_calls").status == 200; });
}

void fleet::startWorkers()
{
    for (fleet_node &node : m_nodes) {
        for (fleet_worker &worker : node.workers) {
            startWorker(worker);
        }
    }
}

void fleet::startWorker(fleet_worker &worker)
{
    const std::string &id = worker.plan.id;
    std::vector<std::string> arguments{"--listen", worker.address, "--name", id, "--seed", std::to_string(m_plan.seed)};
    for (const pool_plan &pool : m_plan.pools) {
        if (pool.name != worker.plan.pool) {
            continue;
        }
        const fleet_node &node = nodeOf(worker);
        const std::string callers = fmt::format("{}:{}", node.ip, CallerPort);
        arguments.insert(arguments.end(), {"--slots", std::to_string(pool.slots), "--calls", std::to_string(pool.calls.count)});
        arguments.insert(arguments.end(), {"--calls-through", callers, "--call-path", pool.calls.path});
        arguments.insert(arguments.end(), {"--calls-name-parents", pool.calls.namesParents ? "1" : "0"});
        arguments.insert(arguments.end(), pool.arguments.begin(), pool.arguments.end());
        if (m_plan.store) {
            appendStoreArguments(node, worker, arguments);
        }
    }
    worker.process = child_process(programPath("standin_worker"), arguments, m_directory.path("worker-" + id + ".log"));
    awaitPort(worker.process);
    waitUntil([&] { return getHttp(worker.address, "/healthz").status != 0; }); // the log may contain the port line of an earlier process
}

const fleet_node &fleet::nodeOf(const fleet_worker &worker) const
{
    return *std::find_if(m_nodes.begin(), m_nodes.end(), [&](const fleet_node &node) {
        return !node.workers.empty() && &node.workers.front() <= &worker && &worker <= &node.workers.back();
    });
}

void fleet::startProxy()
{
    json::array links;
    for (const fleet_node &node : m_nodes) {
        links.push_back({{"listen", node.peers}, {"target", fmt::format("{}:{}", node.ip, PeerPort)}});
        if (m_plan.proxyCallers) {
            links.push_back({{"listen", node.callers}, {"target", fmt::format("{}:{}", node.ip, CallerPort)}});
        }
    }
    const std::string path = m_directory.write("links.json", json::serialize(links));
    m_proxy = child_process(programPath("standin_fault_proxy"), {"--links", path, "--seed", std::to_string(m_plan.seed)}, m_directory.path("proxy.log"));
    m_proxyCommands = "127.0.0.1:" + awaitPort(m_proxy);
}

void fleet::presetRoutes(const std::string &text)
{
    m_routes = text;
}

void fleet::publishRoutes(const std::string &text)
{
    presetRoutes(text);
    command(m_configService, "/_set/dandelionstall/routes", text);
}

void fleet::publishPools(const std::string &text)
{
    m_pools = text;
    command(m_configService, "/_set/dandelionstall/pools", text);
}

void fleet::publishNodes(const std::map<std::string, std::string> &states)
{
    json::array list;
    for (const fleet_node &node : m_nodes) {
        const auto state = states.find(node.name);
        const std::size_t colon = node.peers.rfind(':');
        list.push_back({{"Node", node.name},
                        {"Address", node.peers.substr(0, colon)},
                        {"Datacenter", node.plan.dataCentre},
                        {"Meta", {{"port", node.peers.substr(colon + 1)}, {"state", state == states.end() ? "live" : state->second}}}});
    }
    m_nodeList = json::serialize(list);
    if (m_config.running()) {
        command(m_configService, "/_nodes", m_nodeList);
    }
}

void fleet::setPaths(const std::string &rulesJson) const
{
    command(m_proxyCommands, "/rules", rulesJson);
}

void fleet::blackholeConnections(const std::string &fromIp, const std::string &toIp) const
{
    command(m_proxyCommands, "/silence", json::serialize(json::object{{"from", fromIp}, {"to", toIp}}));
}

void fleet::setFault(const std::string &workerId, const std::string &lines)
{
    command(worker(workerId).address, "/_fault", lines);
}

load_job fleet::startLoad(const std::string &profile, const std::vector<std::size_t> &nodes, unsigned callerHost)
{
    std::string addresses;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        if (nodes.empty() || std::find(nodes.begin(), nodes.end(), i) != nodes.end()) {
            addresses += (addresses.empty() ? "" : ",") + m_nodes[i].callers;
        }
    }
    const std::string name = fmt::format("load-{}", m_loads++);
    const std::string head
        = fmt::format("[load]\nnodes={}\nsource={}\nid_prefix={}-\nseed={}\n{}", addresses, ip(callerHost), name, m_plan.seed, m_plan.loadSettings);
    const std::string profilePath = m_directory.write(name + ".ini", head + profile);
    const std::string logPath = m_directory.path(name + ".jsonl");
    return {child_process(programPath("standin_load"), {"--profile", profilePath, "--log", logPath}, m_directory.path(name + ".log")), logPath};
}

std::size_t fleet::runCount() const
{
    return evidence({}).workers.runs.size();
}

void fleet::awaitRuns(std::size_t more) const
{
    const std::size_t wanted = runCount() + more;
    if (!waitUntil([&] { return runCount() >= wanted; })) {
        throw std::runtime_error("workers did not start the expected number of runs: " + nodeLogs());
    }
}

standins::check_input fleet::evidence(std::vector<standins::call_record> calls) const
{
    standins::check_input input;
    input.calls = std::move(calls);
    for (const fleet_node &node : m_nodes) {
        for (const fleet_worker &worker : node.workers) {
            standins::parseRunLog(worker.process.output(), worker.plan.id, input.workers);
        }
    }
    return input;
}

std::vector<std::string> fleet::logsByNode() const
{
    std::vector<std::string> logs;
    for (const fleet_node &node : m_nodes) {
        logs.push_back(node.process.output());
    }
    return logs;
}

std::string fleet::nodeLogs() const
{
    std::string text;
    for (const fleet_node &node : m_nodes) {
        text += "--- " + node.name + "\n" + node.process.output();
    }
    return text;
}

} // namespace dandelionstall::testing
