// A small fleet of real processes on a platform with a key-value store: nodes with one worker each, whose workers announce themselves in
// the store. The service is "orders"; routes are /read/ (idempotent) and /book/ (non-idempotent) of the host shop.example.
//
// Usage:
//   store_fleet fleet;
//   fleet.start();                                 // throws when a node does not become ready
//   fleet.announce(1, "w1", "draining");
//   std::string answer = fleet.request(0, "GET", "/read/1", "my-id");
#pragma once

#include "http_call.h"
#include "process.h"

#include <dandelionstall/state/types.h>

#include <string>
#include <vector>

namespace dandelionstall::testing {

class store_fleet
{
public:
    static constexpr std::size_t Nodes = 4;
    static constexpr std::size_t DataCentres = 2;

    explicit store_fleet(std::size_t nodes = Nodes, std::size_t dataCentres = DataCentres); // the nodes are dealt to the data centres in turn

    std::size_t size() const;                                           // number of nodes
    void addWorkerArguments(const std::vector<std::string> &arguments); // of the stand-in, for workers that are started later
    void start();                                                       // configuration version 1, a worker "w<index>" for each node, and all nodes
    void startNode(std::size_t index);                                  // also restarts one that has ended
    bool isReady(std::size_t index) const;                              // the ready address answers 200
    void startWorker(std::size_t index, const std::string &id);
    void stopWorker(std::size_t index); // its entry stays, and its address is free for another worker
    void announce(std::size_t index,
                  const std::string &id,
                  const std::string &state = "ready",
                  std::uint64_t born = 1,
                  std::size_t slots = 3,
                  std::uint64_t sequence = 1); // writes the worker's entry
    void removeEntry(const std::string &id) const;
    void writeEntry(const std::string &id, const std::string &value) const; // any bytes
    void configure(std::uint64_t version,
                   const std::string &path,
                   std::chrono::milliseconds timeout = std::chrono::seconds(2)); // the idempotent route gets this path, both this timeout
    void writeConfiguration(const std::string &document) const;                  // any text
    void setStoreFault(const std::string &lines) const;
    void cutWatches() const;                               // the store closes the connections of waiting watches
    void rewindStore(std::chrono::milliseconds age) const; // the store comes back from a copy of this age; its era rises
    void heartbeat(int times);                             // all workers w0, w1, ... write their entries again, so that the revisions rise
    void setWorkerFault(std::size_t index, const std::string &lines) const;

    // Sends one request with the given id and returns its whole answer, header included.
    std::string request(std::size_t index,
                        const std::string &method,
                        const std::string &path,
                        const std::string &id,
                        const std::string &version = "1.1",
                        const std::string &body = {},
                        const std::string &headers = {}) const;                                              // further header lines, each with its line end
    std::string statusOf(std::size_t index, const std::string &path, const std::string &headers = {}) const; // of a GET, for example "HTTP/1.1 200"

    std::size_t runsAt(std::size_t index) const;          // runs that the worker at this place has started
    std::string workerLog(std::size_t index) const;       // see run_log.h; of all workers that were at this place
    std::string linesWith(const std::string &text) const; // log lines of all nodes that contain it
    std::string nodeIp(std::size_t index) const;
    std::string callers(std::size_t index) const; // ip:port at which callers reach the node
    std::string admin(std::size_t index) const;   // ip:port of the node's admin API
    state::node_address workerAddress(std::size_t index) const;
    child_process &node(std::size_t index);
    std::vector<std::size_t> endlessBytes() const; // bytes of each endless answer of workers and store whose connection has been closed

private:
    std::string ip(std::size_t host) const;
    std::string nodeLog(std::size_t index) const;

    temporary_directory m_directory;
    std::string m_prefix; // "127.A.B."
    std::string m_storeAddress;
    child_process m_store;
    std::size_t m_dataCentres = DataCentres;
    std::vector<child_process> m_nodes;
    std::vector<child_process> m_workers;
    std::vector<std::string> m_workerArguments;
};

} // namespace dandelionstall::testing
