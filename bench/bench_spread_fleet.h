// Fleet and output of bench_spread: instances of gossip_node in one thread that know each other from the start.
#pragma once

#include "../coordination/tests/gossip_simulation.h"

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
inline constexpr std::size_t NodesPerDataCentre = 227;
inline constexpr std::size_t SmallFleetDataCentres = 4;
inline constexpr std::size_t UdpIpBytes = 28; // headers of one datagram over IPv4
inline constexpr std::size_t WorkersPerPool = 20;
inline constexpr double WorkersPerNode = 8.5;
inline constexpr std::size_t MaxSampledCpu = 64; // instances whose processor time is measured

using seconds_f = std::chrono::duration<double>;

struct output {
    bool json = false;

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

// A pool table in which each node has a worker in one pool of the given size, spread over the data centres.
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

struct counters {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::map<gossip_kind, std::uint64_t> bytesOf; // by kind
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
        introduce();
    }

    gossip_simulation &loop()
    {
        return m_loop;
    }

    // Every node starts with the list that a page-wise copy would give it.
    void introduce()
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

    void report(std::size_t index)
    {
        worker_report own;
        own.worker = fmt::format("w{}", index);
        own.pool = fmt::format("p{}", index / WorkersPerPool);
        own.node = gossip_simulation::addressOf(index);
        own.incarnation = 1'796'329'876'543;
        own.version = 1000 + index;
        own.slots = 3;
        own.busy = 2;
        own.expectedWait = 1500us;
        own.latency = 12'000us;
        own.samples = 200;
        m_loop.at(index).updateLocalReports({own}, m_loop.now());
    }

private:
    std::size_t m_size;
    gossip_simulation m_loop;
};

} // namespace bench_spread
