// A small fleet of real processes: nodes with their workers, the configuration service and, between all nodes and toward
// callers, the fault proxy.
//
// Every test has its own block of loopback numbers, 127.A.B.0/24: .1 configuration service, .2 and .3 callers, .10 on
// nodes with their workers, .110 on the fault proxy's numbers for the nodes. Ports are the same everywhere.
//
// Usage:
//   fleet fleet(threeDataCentres());
//   fleet.start();                                       // returns when every node is ready; throws otherwise
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

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandelionstall::testing {

// [SECTION] Plan

struct pool_plan {
    std::string name;
    std::uint32_t slots = 3;
    double floor = 0.5;
    std::map<std::string, std::string> settings; // further keys of the pool table, e.g. ejector
};

struct route_plan {
    std::string name;
    std::string path;
    std::string pool;
    bool idempotent = true;
    double worth = 1.0;
    std::map<std::string, std::string> settings; // further keys of the route table, e.g. timeout
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
    bool proxyCallers = true; // callers too; otherwise only nodes
    bool faultProxy = true;   // nodes reach each other through the fault proxy
    std::string nodeSettings; // further INI lines for every node
    std::uint64_t seed = 1;   // of the stand-ins
};

// Three data centres, two nodes in each, a worker of 3 slots on each: pool "orders" on all, routes /lookup (idempotent) and
// /book (not).
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
    std::string ip;      // its own
    std::string peers;   // where other nodes reach it, ip:port
    std::string callers; // where callers reach it, ip:port
    std::string admin;   // ip:port
    child_process process;
    std::vector<fleet_worker> workers;
};

// Callers running as a process of their own.
class load_job
{
public:
    load_job(child_process process, std::string logPath);

    bool running();                              // requests are still being sent or answered
    std::vector<standins::call_record> finish(); // waits for the end; throws when it failed

private:
    child_process m_process;
    std::string m_logPath;
};

class fleet
{
public:
    explicit fleet(fleet_plan plan);

    void start();                           // everything, and waits until all nodes are ready
    void startNode(std::size_t index);      // again, after it has ended
    bool awaitReady(std::size_t index);     // configuration in force
    void startWorker(fleet_worker &worker); // again, after it has ended; its log goes on
    fleet_node &node(std::size_t index);
    std::size_t nodeCount() const;
    fleet_worker &worker(const std::string &id); // throws when unknown
    std::string ip(unsigned host) const;         // 127.A.B.host
    const std::string &configService() const;    // ip:port
    void stopConfigService();
    void startConfigService(); // with the tables and list last published

    void publishRoutes(const std::string &text); // as given
    void presetRoutes(const std::string &text);  // for the next start of the configuration service
    void publishPools(const std::string &text);
    void publishNodes(const std::map<std::string, std::string> &states = {}); // list of VMs; other states by node name, e.g. leaving
    std::string routesText(std::uint64_t revision) const;                     // table of the plan
    std::string poolsText(std::uint64_t revision) const;
    fleet_plan &plan();

    void setPaths(const std::string &rulesJson) const;                      // rules of the fault proxy
    void silence(const std::string &fromIp, const std::string &toIp) const; // open connections go silent for good
    void setFault(const std::string &workerId, const std::string &lines);

    load_job startLoad(const std::string &profile, const std::vector<std::size_t> &nodes = {}, unsigned callerHost = 2); // all nodes when empty
    std::size_t runCount() const;                                                                                        // runs started at all workers so far
    void awaitRuns(std::size_t more) const; // until that many more have started; throws when they do not
    standins::check_input evidence(std::vector<standins::call_record> calls) const;
    std::string nodeLogs() const; // for messages of failed tests

private:
    void planAddresses();
    void startWorkers();
    void startProxy();
    std::string settingsText(const fleet_node &node) const;
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
    std::string m_proxyCommands; // ip:port
    std::vector<fleet_node> m_nodes;
    unsigned m_loads = 0;
};

} // namespace dandelionstall::testing
