// Measures the cost and speed of gossip at several fleet sizes and compares them with two baselines in the same run:
// heartbeats from every node to every other one, and watches of the platform's service by every node.
//
// Instances of gossip_node run in one thread over simulated links with loss and jitter. Time is simulated; processor time
// is real.
//
// Usage: bench_spread [--sizes 30,227,1000,3400] [--seconds 20] [--json]
#include "bench_spread_fleet.h"

#include <dandelionstall/protocol/gossip_codec.h>

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <malloc.h>
#include <map>
#include <sstream>

using namespace bench_spread;
using namespace std::chrono_literals;
namespace options = boost::program_options;

namespace {

// ---- Steady state ----

void measureSteady(bench_fleet &fleet, std::size_t size, std::chrono::seconds span, const output &out)
{
    gossip_simulation &loop = fleet.loop();
    for (std::size_t i = 0; i < size; ++i) {
        fleet.publishReport(i);
    }
    counters sent;
    loop.onSend = [&](std::size_t, const outgoing_gossip &message) {
        const std::size_t bytes = protocol::encodeGossip(message.message).size() + UdpIpBytes;
        ++sent.messages;
        sent.bytes += bytes;
        sent.bytesOf[message.message.kind] += bytes;
    };
    std::size_t falseSuspicions = 0;
    std::size_t falseDeaths = 0;
    std::size_t readerSamples = 0;
    std::size_t ticks = 0;
    loop.afterTick = [&](std::size_t index) {
        for (const member &changed : loop.at(index).members().consumeChanges()) {
            falseSuspicions += changed.state == member_state::suspect ? 1 : 0;
            falseDeaths += changed.state == member_state::dead ? 1 : 0;
        }
        loop.at(index).members().consumePathObservations();
        loop.at(index).consumePeerReports();
        ++ticks;
        readerSamples += loop.at(index).isServiceReader(loop.now()) ? 1 : 0;
        if (loop.at(index).isServiceReader(loop.now())) {
            loop.at(index).recordServiceRead(loop.now());
        }
    };
    seconds_f stepTime{0};
    std::uint64_t stepCount = 0;
    loop.onWork = [&](std::size_t index, const std::function<void()> &step) {
        if (index >= MaxSampledCpu) {
            step();
            return;
        }
        const auto begin = std::chrono::steady_clock::now();
        step();
        stepTime += std::chrono::steady_clock::now() - begin;
        ++stepCount;
    };
    loop.run(span);
    loop.onWork = nullptr;
    loop.onSend = nullptr;
    loop.afterTick = nullptr;
    const auto bytesPerSecond = [&](gossip_kind kind) {
        return static_cast<double>(sent.bytesOf[kind]) / static_cast<double>(size) / seconds_f(span).count();
    };
    const double nodeSeconds = static_cast<double>(size) * seconds_f(span).count();
    const double sampledSeconds = static_cast<double>(std::min(size, MaxSampledCpu)) * seconds_f(span).count();
    const double readers = static_cast<double>(readerSamples) / static_cast<double>(std::max<std::size_t>(ticks, 1)) * static_cast<double>(size);
    out.row("steady_kinds",
            size,
            {{"ping_bytes_s", bytesPerSecond(gossip_kind::ping)},
             {"ack_bytes_s", bytesPerSecond(gossip_kind::ack)},
             {"relay_bytes_s", bytesPerSecond(gossip_kind::relay) + bytesPerSecond(gossip_kind::relayed_ack)},
             {"push_bytes_s", bytesPerSecond(gossip_kind::push)},
             {"page_bytes_s", bytesPerSecond(gossip_kind::member_pull) + bytesPerSecond(gossip_kind::member_page)},
             {"config_bytes_s", bytesPerSecond(gossip_kind::config_fetch) + bytesPerSecond(gossip_kind::config_chunk)}});
    out.row("steady",
            size,
            {{"sent_bytes_s", static_cast<double>(sent.bytes) / nodeSeconds},
             {"sent_and_received_bytes_s", 2.0 * static_cast<double>(sent.bytes) / nodeSeconds},
             {"messages_s", static_cast<double>(sent.messages) / nodeSeconds},
             {"decisions_cpu_share_pct", 100.0 * stepTime.count() / sampledSeconds},
             {"us_per_step", 1e6 * stepTime.count() / static_cast<double>(std::max<std::uint64_t>(stepCount, 1))},
             {"readers", readers},
             {"false_suspicions", static_cast<double>(falseSuspicions)},
             {"false_deaths", static_cast<double>(falseDeaths)}});
}

// ---- Events ----

double timeUntil(gossip_simulation &loop, const std::function<bool()> &reached, std::chrono::milliseconds limit)
{
    const state::time_point begin = loop.now();
    return loop.runUntil(reached, limit) ? seconds_f(loop.now() - begin).count() : -1.0;
}

void measureConfig(gossip_simulation &loop, std::size_t size, const output &out)
{
    std::vector<double> times;
    for (state::table_revision revision = 2; revision <= 6; ++revision) {
        loop.at(revision * 5 % size).offerFromService(table_kind::pools, poolsText(revision, static_cast<int>(revision)), loop.now());
        const auto everywhere = [&] {
            return loop.allRunning([&](std::size_t i) { return loop.at(i).store().inForce(table_kind::pools).revision == revision; });
        };
        times.push_back(timeUntil(loop, everywhere, 30s));
        loop.run(1s);
    }
    out.row("config", size, {{"everywhere_s_median", percentile(times, 0.5)}, {"everywhere_s_max", percentile(times, 1.0)}});
}

void measureDeath(gossip_simulation &loop, std::size_t size, const output &out)
{
    std::vector<double> firstDetections;
    std::vector<double> dataCentreDetections;
    for (std::size_t round = 0; round < 5; ++round) {
        const std::size_t departed = (round * 7 + 3) % size;
        loop.setRunning(departed, false);
        const state::time_point begin = loop.now();
        const auto deadAt = [&](std::size_t viewer) {
            return viewer == departed || loop.memberStateSeenBy(viewer, departed) == member_state::dead;
        };
        const auto anyViewer = [&] {
            return !loop.allRunning([&](std::size_t viewer) { return viewer == departed || !deadAt(viewer); });
        };
        const auto localDeadAt = [&](std::size_t viewer) {
            return dataCentreOf(viewer, size) != dataCentreOf(departed, size) || deadAt(viewer);
        };
        firstDetections.push_back(timeUntil(loop, anyViewer, 20s));
        loop.runUntil([&] { return loop.allRunning(localDeadAt); }, 20s);
        dataCentreDetections.push_back(seconds_f(loop.now() - begin).count());
        loop.restart(departed, 2);
        loop.setRunning(departed, true);
        loop.run(2s);
    }
    out.row("death",
            size,
            {{"first_s_median", percentile(firstDetections, 0.5)},
             {"first_s_max", percentile(firstDetections, 1.0)},
             {"data_centre_s_median", percentile(dataCentreDetections, 0.5)},
             {"data_centre_s_max", percentile(dataCentreDetections, 1.0)}});
}

void measureLeaving(gossip_simulation &loop, std::size_t size, const output &out)
{
    std::vector<double> times;
    for (std::size_t round = 0; round < 5; ++round) {
        const std::size_t departed = (round * 11 + 6) % size;
        loop.sendBatch(departed, loop.at(departed).leave(loop.now()));
        const auto everywhere = [&] {
            return loop.allRunning([&](std::size_t viewer) { return viewer == departed || loop.seesLeaving(viewer, departed); });
        };
        times.push_back(timeUntil(loop, everywhere, 30s));
    }
    out.row("leaving", size, {{"everywhere_s_median", percentile(times, 0.5)}, {"everywhere_s_max", percentile(times, 1.0)}});
}

// ---- One instance ----

void measureMemory(std::size_t size, const output &out)
{
    const auto inUse = [] {
        return static_cast<double>(mallinfo2().uordblks);
    };
    const double before = inUse();
    gossip_node node({gossip_simulation::addressOf(0), "dc-0", 1}, Seed);
    node.start({}, state::time_point(1000s));
    gossip_message list;
    list.kind = gossip_kind::member_page;
    list.sender = {gossip_simulation::addressOf(1), "dc-0", 1, 0, false};
    for (std::size_t i = 1; i < size; ++i) {
        list.updates.push_back({gossip_simulation::addressOf(i), dataCentreOf(i, size), 1, 0, member_state::alive, false});
    }
    const double messageBytes = inUse();
    node.receive(list, state::time_point(1000s));
    node.tick(state::time_point(1000s));
    node.members().consumeChanges();
    const double used = inUse() - messageBytes;
    out.row("memory", size, {{"kilobytes", (used + (messageBytes - before) * 0.0) / 1024.0}, {"bytes_per_member", used / static_cast<double>(size)}});
}

void measureTables(const output &out)
{
    for (const std::size_t routes : {100U, 1000U, 4000U, 12'000U}) {
        config_store store;
        config_dissemination dissemination(store, Seed);
        const state::time_point now(1000s);
        dissemination.offer(table_kind::pools, poolsText(1), "bench", now);
        std::string first = routesText(1, "p0", static_cast<int>(routes));
        std::string second = routesText(2, "p0", static_cast<int>(routes));
        const std::size_t position = second.find("path = /r50\n");
        second.replace(position, 12, "path = /changed\n");
        const double size = static_cast<double>(second.size());
        dissemination.offer(table_kind::routes, std::move(first), "bench", now);
        dissemination.push({gossip_simulation::addressOf(1)});
        const auto begin = std::chrono::steady_clock::now();
        const bool isAccepted = dissemination.offer(table_kind::routes, std::move(second), "bench", now).verdict == offer_verdict::accepted;
        const auto accepted = std::chrono::steady_clock::now();
        const gossip_batch pushed = dissemination.push({gossip_simulation::addressOf(1)});
        const auto end = std::chrono::steady_clock::now();
        out.row("table",
                routes,
                {{"text_bytes", size},
                 {"delta_datagram_bytes", static_cast<double>(protocol::encodeGossip(pushed.at(0).message).size() + UdpIpBytes)},
                 {"accepted", isAccepted ? 1.0 : 0.0},
                 {"accept_ms", 1e3 * seconds_f(accepted - begin).count()},
                 {"delta_ms", 1e3 * seconds_f(end - accepted).count()}});
    }
}

void measureCodec(const output &out)
{
    constexpr int Rounds = 200'000;
    gossip_message ping;
    ping.kind = gossip_kind::ping;
    ping.sender = {gossip_simulation::addressOf(3), "sul-curitiba", 1'796'329'876'543, 0, false};
    ping.updates = {{gossip_simulation::addressOf(4), "sul-poa", 1'796'329'876'543, 0, member_state::dead, false}};
    const std::string datagram = protocol::encodeGossip(ping);
    const auto begin = std::chrono::steady_clock::now();
    std::size_t bytes = 0;
    for (int i = 0; i < Rounds; ++i) {
        bytes += protocol::encodeGossip(ping).size();
    }
    const auto encoded = std::chrono::steady_clock::now();
    for (int i = 0; i < Rounds; ++i) {
        bytes += protocol::decodeGossip(datagram).ok() ? 1 : 0;
    }
    const auto end = std::chrono::steady_clock::now();
    out.row("codec",
            1,
            {{"datagram_bytes", static_cast<double>(datagram.size())},
             {"encode_us", 1e6 * seconds_f(encoded - begin).count() / Rounds},
             {"decode_us", 1e6 * seconds_f(end - encoded).count() / Rounds},
             {"checked", static_cast<double>(bytes > 0)}});
}

// ---- Baselines ----

// Baseline: every node sends heartbeats to every other one. The size of a heartbeat is computed from the fields that
// the paper gives for it: counter, start time, host, readiness, manager, and for each group its number, processes and
// state. Simulates one receiver, which considers a sender dead after three periods without a heartbeat.
void measureHeartbeats(std::size_t size, std::chrono::seconds span, const output &out)
{
    constexpr double HeartbeatPeriod = 0.25; // seconds
    constexpr double MissedPeriods = 3.0;
    constexpr double HeadBytes = 8 + 8 + 4 + 1 + 1 + 4 + 1;
    constexpr double GroupBytes = 4 + 4 + 1;
    const double bytes = HeadBytes + GroupBytes * WorkersPerNode + static_cast<double>(UdpIpBytes);
    pcg32 random(Seed);
    const auto drawUniform = [&random] {
        return static_cast<double>(random()) / 4294967296.0;
    };
    std::size_t falseDeaths = 0;
    for (std::size_t sender = 1; sender < size; ++sender) {
        double last = 0.0;
        for (double at = 0.0; at < seconds_f(span).count(); at += HeartbeatPeriod) {
            if (drawUniform() < 0.02) {
                continue;
            }
            const double arrival = at + 0.005 + drawUniform() * 0.005;
            falseDeaths += arrival - last > MissedPeriods * HeartbeatPeriod + 0.005 ? 1 : 0;
            last = arrival;
        }
    }
    const double sent = static_cast<double>(size - 1) * bytes / HeartbeatPeriod;
    const double detection = MissedPeriods * HeartbeatPeriod + 0.005; // seconds after the last heartbeat that arrived
    out.row("heartbeats",
            size,
            {{"sent_bytes_s", sent},
             {"sent_and_received_bytes_s", 2.0 * sent},
             {"death_s_max", detection + HeartbeatPeriod},
             {"false_deaths_per_viewer", static_cast<double>(falseDeaths)}});
}

// Compares the rates of calls to the platform's service. Each watch is answered at least every 2 s and at each change.
void measureCalls(bench_fleet &fleet, std::size_t size, const output &out)
{
    constexpr double WatchSeconds = 2.0;
    constexpr double Watches = 3.0;                                   // concurrent watches of each node that reads from the service
    constexpr double ChangesPerSecond = (2200.0 + 7800.0) / 86'400.0; // 10 000 changes per day
    std::size_t readers = 0;
    for (std::size_t i = 0; i < size; ++i) {
        readers += fleet.loop().at(i).isServiceReader(fleet.loop().now()) ? 1 : 0;
    }
    const double perWatcher = Watches / WatchSeconds + ChangesPerSecond;
    out.row("calls",
            size,
            {{"readers", static_cast<double>(readers)},
             {"calls_s", static_cast<double>(readers) * perWatcher},
             {"baseline_every_node_calls_s", static_cast<double>(size) * perWatcher},
             {"baseline_waiting_watches", static_cast<double>(size) * Watches}});
}

void measureSize(std::size_t size, std::chrono::seconds span, const output &out)
{
    measureMemory(size, out);
    bench_fleet fleet(size);
    fleet.loop().run(2s);
    fleet.loop().at(0).offerFromService(table_kind::pools, benchPools(1, std::min<std::size_t>(size, 400)), fleet.loop().now());
    fleet.loop().at(0).offerFromService(table_kind::routes, routesText(1), fleet.loop().now());
    fleet.loop().run(5s + std::chrono::milliseconds(size * 5)); // time to complete the first copy of the list of members
    measureSteady(fleet, size, span, out);
    measureCalls(fleet, size, out);
    measureHeartbeats(size, span, out);
    measureDeath(fleet.loop(), size, out);
    measureConfig(fleet.loop(), size, out);
    measureLeaving(fleet.loop(), size, out);
}

std::vector<std::size_t> parseSizes(const std::string &text)
{
    std::vector<std::size_t> sizes;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        sizes.push_back(std::stoul(item));
    }
    return sizes;
}

int run(int argc, const char *const *argv)
{
    options::options_description described("Options");
    std::string sizes;
    unsigned seconds = 0;
    output out;
    auto add = described.add_options();
    add("sizes", options::value(&sizes)->default_value("30,227,1000,3400"), "fleet sizes in nodes, separated by commas");
    add("seconds", options::value(&seconds)->default_value(20), "simulated seconds of steady state");
    add("json", options::bool_switch(&out.json), "print one JSON object per line");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, described), values);
    options::notify(values);
    if (!out.json) {
        std::cout << fmt::format("seed {}; loss 2 %, latency 5 ms, jitter up to 5 ms\n", Seed);
    }
    measureCodec(out);
    measureTables(out);
    for (const std::size_t size : parseSizes(sizes)) {
        measureSize(size, std::chrono::seconds(seconds), out);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
