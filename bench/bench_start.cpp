// Measures the start of a fleet whose nodes all start at once and find each other by the workers that the platform's store lists:
// messages by kind and processor time of a node in its first ten seconds. Some nodes also evaluate pools and encode their
// messages, like the control thread. It only prints results and checks no limits.
//
// Usage: bench_start [NODES]
#include "../coordination/tests/membership/gossip_simulation.h"

#include <dandelionstall/coordination/health/pool_tracker.h>
#include <dandelionstall/protocol/gossip_codec.h>

#include <iostream>
#include <map>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20'261'204;
constexpr std::size_t DataCentres = 5;
constexpr std::size_t MeasuredNodes = 16;
constexpr std::chrono::seconds Span{10};
constexpr std::chrono::milliseconds EvaluationInterval{100};
constexpr std::uint64_t Incarnation = 1'796'329'876'543;

std::string dataCentreOf(std::size_t index)
{
    return fmt::format("dc-{}", index % DataCentres);
}

discovered_worker workerOf(std::size_t index)
{
    discovered_worker worker;
    worker.id = fmt::format("i-{:010x}", index * 2'654'435'761U);
    worker.pool = index % 5 == 4 ? "catalogue" : "dressing-order";
    worker.dataCentre = dataCentreOf(index);
    worker.node = gossip_simulation::addressOf(index);
    worker.address = {worker.node.ip, 8000};
    worker.slots = 4;
    worker.startedAtMs = Incarnation + index;
    worker.version = "v1";
    worker.revision.revision = index + 1;
    return worker;
}

// What the control thread of one node does beside gossip.
struct measured_node {
    pool_tracker tracker{Seed, "dc-0"};
    std::shared_ptr<const state::pool_table> pools;
    state::time_point nextEvaluationAt;
    std::uint64_t version = 0;
};

std::string_view kindName(gossip_kind kind)
{
    constexpr std::array Names{
        "ping", "ack", "relay", "relayed_ack", "push", "member_pull", "member_page", "config_fetch", "config_chunk", "worker_pull", "worker_page"};
    return Names.at(static_cast<std::size_t>(kind));
}

void control(gossip_node &node, measured_node &state, const worker_report &report, state::time_point now)
{
    for (const member &changed : node.members().consumeChanges()) {
        state.tracker.recordNodeCondition(changed.address, node_condition::live, now);
    }
    if (node.pools() != state.pools) {
        state.pools = node.pools();
        state.tracker.setTable(state.pools, now);
    }
    for (const worker_report &received : node.consumePeerReports()) {
        state.tracker.recordReport(received, now);
    }
    if (state.nextEvaluationAt <= now) {
        state.nextEvaluationAt = now + EvaluationInterval;
        worker_report local = report;
        local.version = ++state.version;
        state.tracker.recordReport(local, now);
        state.tracker.evaluate(now);
        state.tracker.consumeStateChanges(now);
    }
}

void run(std::size_t nodes)
{
    gossip_simulation fleet({.loss = 0.001, .duplication = 0.0, .latency = 2ms, .jitter = 2ms}, Seed);
    std::map<gossip_kind, std::uint64_t> messages;
    std::vector<measured_node> measured(MeasuredNodes);
    state::duration busy{0};
    std::vector<discovered_worker> workers;
    for (std::size_t i = 0; i < nodes; ++i) {
        fleet.addNode(dataCentreOf(i), Incarnation + i);
        workers.push_back(workerOf(i));
    }
    const std::string routes = "[table]\nrevision = 1\n[route.r]\npath = /r\npool = catalogue\nidempotent = yes\n";
    const std::string pools = "[table]\nrevision = 1\n[pool.dressing-order]\nslots = 4\ndiscovered = yes\n[pool.catalogue]\nslots = 4\ndiscovered = yes\n";
    for (std::size_t i = 0; i < nodes; ++i) {
        fleet.at(i).start({}, fleet.now());
        fleet.at(i).offerFromService(table_kind::pools, pools, fleet.now());
        fleet.at(i).offerFromService(table_kind::routes, routes, fleet.now());
        fleet.at(i).replaceWorkers({workers, {}}, {0, nodes}, fleet.now());
    }
    for (measured_node &node : measured) {
        node.tracker.addLocalPool("dressing-order");
    }
    if (!fleet.at(0).store().routes()) {
        std::cerr << "the tables were refused\n";
    }
    fleet.onSend = [&](std::size_t from, const outgoing_gossip &out) {
        ++messages[out.message.kind];
        if (from < MeasuredNodes) {
            const auto begin = state::clock::now();
            const auto decoded = protocol::decodeGossip(protocol::encodeGossip(out.message));
            busy += state::clock::now() - begin;
        }
    };
    fleet.onWork = [&](std::size_t index, const std::function<void()> &process) {
        if (index >= MeasuredNodes) {
            process();
            return;
        }
        worker_report report;
        report.worker = workers[index].id;
        report.pool = workers[index].pool;
        report.node = workers[index].node;
        report.incarnation = Incarnation;
        const auto begin = state::clock::now();
        process();
        control(fleet.at(index), measured[index], report, fleet.now());
        busy += state::clock::now() - begin;
    };
    fleet.run(Span);
    std::cout << fmt::format(
        "{:>5} nodes: {:.1f} ms of processor time a node;", nodes, std::chrono::duration<double, std::milli>(busy).count() / MeasuredNodes);
    for (const auto &[kind, count] : messages) {
        std::cout << fmt::format(" {}={:.0f}", kindName(kind), static_cast<double>(count) / static_cast<double>(nodes));
    }
    std::cout << std::endl;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1) {
        run(static_cast<std::size_t>(std::stoul(argv[1])));
        return 0;
    }
    for (const std::size_t nodes : {23U, 64U, 352U}) {
        run(nodes);
    }
    return 0;
}
