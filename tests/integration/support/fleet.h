// A small fleet of real processes: nodes with their workers, the configuration service, and the fault proxy on the paths
// between nodes and from callers to nodes.
//
// Every test uses its own block of loopback addresses, 127.A.B.0/24: .1 is the configuration service, .2 and .3 are
// callers, .10 and up are nodes with their workers, .110 and up are the fault proxy's addresses for these nodes. All
// tests use the same ports.
//
// Usage:
//   fleet fleet(threeDataCentres());
//   fleet.start();                                       // returns when every node is ready, throws otherwise
//   load_job load = fleet.startLoad(profileText);
//   fleet.node(2).process.kill();
//   check_input evidence = fleet.evidence(load.finish());
//
// Index:
//   [SECTION] Plan
//   [SECTION] Fleet
#pragma once

#include "check.h"
#include "http_call.h"
#include "process.h"
#include "store_platform.h"
#include "worker_calls.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelionstall::testing {

// [SECTION] Plan

struct pool_plan {
    std::string name;
    std::uint32_t slots = 3;
    double floor = 0.5;
    std::map<std::string, std::string> settings; // additional keys of the pool's section, e.g. ejector
    standins::worker_call_plan calls = {};       // calls made by each run of a worker of this pool; its node is that of the worker
    std::vector<std::string> arguments = {};     // further arguments of the pool's stand-in workers
};

struct route_plan {
    std::string name;
    std::string path;
    std::string pool;
    bool idempotent = true;
    double worth = 1.0;
    std::map<std::string, std::string> settings; // additional keys of the route's section, e.g. timeout
};

struct worker_plan {
    std::string id;
    std::string pool;
};

struct node_plan {
    std::string dataCentre;
    std::vector<worker_plan> workers;
};

struct fleet_plan {
    std::vector<pool_plan> pools;
    std::vector<route_plan> routes;
    std::vector<node_plan> nodes;
    bool proxyCallers = true;        // callers connect to nodes through the fault proxy
    bool faultProxy = true;          // nodes connect to each other through the fault proxy
    bool probes = true;              // nodes probe the health path of their workers
    std::string nodeSettings;        // additional INI lines for the settings of every node
    std::string loadSettings;        // additional lines for the section [load] of every load profile
    std::optional<store_plan> store; // the platform with a key-value store, in place of the configuration service and the VM list
    std::uint64_t seed = 1;          // random seed of the stand-ins
};

// Three data centres with two nodes each, one worker of 3 slots on each node, all in pool "orders". Routes are /lookup
// (idempotent) and /book (non-idempotent).
fleet_plan threeDataCentres();

// [SECTION] Fleet

inline constexpr unsigned PeerPort = 7400;   // streams and gossip between nodes
inline constexpr unsigned CallerPort = 7480; // HTTP/1.1 from callers
inline constexpr unsigned AdminPort = 7490;  // admin API

struct fleet_worker {
    worker_plan plan;
    std::string address; // ip:port
    child_process process;
};

struct fleet_node {
    node_plan plan;
    std::string name;
    std::string ip;      // address that the node listens on
    std::string peers;   // ip:port at which other nodes reach it
    std::string callers; // ip:port at which callers reach it
    std::string admin;   // ip:port of the admin API
    child_process process;
    std::vector<fleet_worker> workers;
};

// Callers that run as a separate process (standin_load).
class load_job
{
public:
    load_job(child_process process, std::string logPath);

    bool running();                              // true while requests are sent or answers are pending
    std::vector<standins::call_record> finish(); // waits for the end of the load; throws when it failed

private:
    child_process m_process;
    std::string m_logPath;
};

class fleet
{
public:
    explicit fleet(fleet_plan plan);

    void start();                           // starts all processes and waits until all nodes are ready
    void startNode(std::size_t index);      // starts the process; also restarts one that has ended
    bool awaitReady(std::size_t index);     // waits until the node serves callers; false when its process ends first or ReadyCap has passed
    void startWorker(fleet_worker &worker); // also restarts one that has ended; its log is appended to
    fleet_node &node(std::size_t index);
    std::size_t nodeCount() const;
    state::time_point startedAt() const;         // when start() began to start the nodes
    fleet_worker &worker(const std::string &id); // throws when the id is unknown
    std::string ip(unsigned host) const;         // 127.A.B.host
    const std::string &configService() const;    // ip:port
    void stopConfigService();
    void startConfigService(); // serves the tables and VM list last published or preset

    void publishTable(std::uint64_t revision);           // publishes the routes of the plan, and a route table-N for each revision N from 2 on
    std::string tablePath(std::uint64_t revision) const; // path of the route table-N
    void publishRoutes(const std::string &text);         // publishes the text unchanged
    void presetRoutes(const std::string &text);          // used from the next start of the configuration service
    void publishPools(const std::string &text);
    void publishNodes(const std::map<std::string, std::string> &states = {}); // VM list; states by node name, e.g. leaving, default live
    std::string routesText(std::uint64_t revision) const;                     // route table of the plan
    std::string poolsText(std::uint64_t revision) const;                      // pool table of the plan
    fleet_plan &plan();

    void setPaths(const std::string &rulesJson) const;                                   // sets the rules of the fault proxy
    void blackholeConnections(const std::string &fromIp, const std::string &toIp) const; // connections open now stop carrying data; new ones work
    void setFault(const std::string &workerId, const std::string &lines);

    load_job startLoad(const std::string &profile, const std::vector<std::size_t> &nodes = {}, unsigned callerHost = 2); // empty nodes: all of them
    std::size_t runCount() const;           // number of runs that workers have started so far
    void awaitRuns(std::size_t more) const; // waits until that many more runs have started; throws otherwise
    standins::check_input evidence(std::vector<standins::call_record> calls) const;
    std::vector<std::string> logsByNode() const;
    std::string nodeLogs() const; // logs of all nodes, for messages of failed tests

private:
    void planAddresses();
    void startWorkers();
    void startProxy();
    std::string settingsText(const fleet_node &node) const;
    std::string storeSettingsText(const fleet_node &node);
    void startStore();
    const fleet_node &nodeOf(const fleet_worker &worker) const;
    void appendStoreArguments(const fleet_node &node, const fleet_worker &worker, std::vector<std::string> &arguments) const;
    std::string proxied(const fleet_node &node, unsigned port) const;

    fleet_plan m_plan;
    temporary_directory m_directory;
    std::string m_prefix; // "127.A.B."
    std::string m_configService;
    std::string m_routes;
    std::string m_pools;
    std::string m_nodeList;
    child_process m_config;
    child_process m_proxy;
    std::string m_proxyCommands; // ip:port of the fault proxy's command interface
    std::vector<fleet_node> m_nodes;
    state::time_point m_startedAt;
    std::set<std::string> m_startedNodes; // names of the nodes that have been started before
    unsigned m_loads = 0;
};

} // namespace dandelionstall::testing
