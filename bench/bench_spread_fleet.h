// Fleet and output of bench_spread. The fleet consists of instances of gossip_node in one thread, which start with the
// complete list of members.
#pragma once

#include "../coordination/tests/membership/gossip_simulation.h"

#include <boost/json.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace bench_spread {

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

inline constexpr std::uint64_t Seed = 20'261'203;
inline constexpr std::size_t NodesPerDataCentre = 227;  // maximum number of nodes per data centre in fleets larger than this
inline constexpr std::size_t SmallFleetDataCentres = 4; // number of data centres of smaller fleets
inline constexpr std::size_t UdpIpBytes = 28;           // IPv4 and UDP headers of one datagram
inline constexpr std::size_t WorkersPerPool = 20;       // workers in each pool of benchPools()
inline constexpr double WorkersPerNode = 8.5;           // mean number of workers in one heartbeat of the baseline
inline constexpr std::size_t MaxSampledCpu = 64;        // maximum number of instances whose processor time is measured

using seconds_f = std::chrono::duration<double>;

// Prints one row per call, as text or as a JSON object.
struct output {
    bool json = false; // print JSON objects

    void row(std::string_view what, std::size_t size, const std::map<std::string, double> &values) const
    {
        if (json) {
            boost::json::object object;
            object["bench"] = "spread";
            object["what"] = what;
            object["nodes"] = size;
            for (const auto &[name, value] : values) {
                object[name] = value;
            }
            std::cout << boost::json::serialize(object) << std::endl;
            return;
        }
        std::cout << fmt::format("{:<12} n={:<5}", what, size);
        for (const auto &[name, value] : values) {
            std::cout << fmt::format(" {}={:.3f}", name, value);
        }
        std::cout << std::endl;
    }
};

inline double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return -1.0;
    }
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

inline std::size_t dataCentresOf(std::size_t size)
{
    return size <= NodesPerDataCentre ? std::min(size, SmallFleetDataCentres) : (size + NodesPerDataCentre - 1) / NodesPerDataCentre;
}

inline std::string dataCentreOf(std::size_t index, std::size_t size)
{
    return fmt::format("dc-{}", index % dataCentresOf(size));
}

// Returns a pool table with one worker per node, in pools of WorkersPerPool workers from all data centres.
inline std::string benchPools(state::table_revision revision, std::size_t size)
{
    std::string text = fmt::format("[table]\nrevision = {}\n", revision);
    for (std::size_t i = 0; i < size; ++i) {
        if (i % WorkersPerPool == 0) {
            text += fmt::format("\n[pool.p{}]\nslots = 3\n", i / WorkersPerPool);
        }
        text += fmt::format("worker.w{} = {} {}\n", i, state::formatNodeAddress(gossip_simulation::addressOf(i)), dataCentreOf(i, size));
    }
    return text;
}

// Messages sent during a measurement.
struct counters {
    std::uint64_t messages = 0;                   // number of datagrams
    std::uint64_t bytes = 0;                      // size of all datagrams with headers
    std::map<gossip_kind, std::uint64_t> bytesOf; // size of the datagrams of each kind
};

class bench_fleet
{
public:
    explicit bench_fleet(std::size_t size)
        : m_size(size)
        , m_loop({.loss = 0.02, .duplication = 0.0, .latency = 5ms, .jitter = 5ms}, Seed)
    {
        for (std::size_t i = 0; i < size; ++i) {
            m_loop.addNode(dataCentreOf(i, size));
        }
        shareMembers();
    }

    gossip_simulation &loop()
    {
        return m_loop;
    }

    // Gives every node the complete list of members, as if it had copied all pages from a peer.
    void shareMembers()
    {
        gossip_message list;
        list.kind = gossip_kind::member_page;
        for (std::size_t i = 0; i < m_size; ++i) {
            list.updates.push_back({gossip_simulation::addressOf(i), dataCentreOf(i, m_size), 1, 0, member_state::alive, false});
        }
        for (std::size_t i = 0; i < m_size; ++i) {
            list.sender = m_loop.at((i + 1) % m_size).members().self();
            m_loop.at(i).receive(list, m_loop.now());
            m_loop.at(i).members().consumeChanges();
        }
    }

    // Publishes a report of the node's local worker.
    void publishReport(std::size_t index)
    {
        worker_report localReport;
        localReport.worker = fmt::format("w{}", index);
        localReport.pool = fmt::format("p{}", index / WorkersPerPool);
        localReport.node = gossip_simulation::addressOf(index);
        localReport.incarnation = 1'796'329'876'543;
        localReport.version = 1000 + index;
        localReport.slots = 3;
        localReport.busy = 2;
        localReport.expectedWait = 1500us;
        localReport.latency = 12'000us;
        localReport.samples = 200;
        m_loop.at(index).updateLocalReports({localReport}, m_loop.now());
    }

private:
    std::size_t m_size;
    gossip_simulation m_loop;
};

} // namespace bench_spread
