// Tests of gossip in fleets of hundreds of nodes that start at once, as after a loss of power. Each node has read the list of VMs.
#include "gossip_simulation.h"

#include <dandelionstall/coordination/balancing/worker_subset.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20'261'204;
constexpr std::size_t Nodes = 200;
constexpr std::size_t DataCentres = 5;

std::string dataCentreOf(std::size_t index)
{
    return fmt::format("dc-{}", index % DataCentres);
}

gossip_simulation startAll()
{
    gossip_simulation fleet({}, Seed);
    std::vector<vm_record> vms;
    for (std::size_t i = 0; i < Nodes; ++i) {
        fleet.addNode(dataCentreOf(i));
        vms.push_back({gossip_simulation::addressOf(i), dataCentreOf(i), false});
    }
    for (std::size_t i = 0; i < Nodes; ++i) {
        fleet.at(i).setVmList(vms, fleet.now());
    }
    return fleet;
}

// Returns the messages that one sharp change of a worker causes in a pool of that many workers, one on each node.
std::size_t messagesOfChange(std::size_t workers)
{
    gossip_simulation fleet({}, Seed);
    std::string pools = "[table]\nrevision = 1\n[pool.p]\nslots = 3\n";
    for (std::size_t i = 0; i < workers; ++i) {
        fleet.addNode(dataCentreOf(i));
        pools += fmt::format("worker.w{} = {} {}\n", i, state::formatNodeAddress(gossip_simulation::addressOf(i)), dataCentreOf(i));
    }
    gossip_node &node = fleet.at(0);
    node.offerFromService(table_kind::pools, pools, fleet.now());
    worker_report report{.worker = std::string("w0"), .pool = std::string("p"), .node = gossip_simulation::addressOf(0), .version = 1};
    report.leaving = true;
    return node.updateLocalReports({report}, fleet.now()).size();
}

discovered_worker entryOf(std::size_t index, std::uint64_t revision, worker_phase phase)
{
    discovered_worker entry;
    entry.id = fmt::format("i-{:05}", index);
    entry.pool = std::string("p");
    entry.dataCentre = dataCentreOf(index);
    entry.node = gossip_simulation::addressOf(index);
    entry.address = {entry.node.ip, 8000};
    entry.slots = 4;
    entry.phase = phase;
    entry.revision.revision = revision;
    return entry;
}

// Makes all nodes know one worker on each of them, and lets the fleet run for a while.
void settleWithWorkers(gossip_simulation &fleet)
{
    for (std::size_t node = 0; node < Nodes; ++node) {
        for (std::size_t i = 0; i < Nodes; ++i) {
            fleet.at(node).offerWorker(entryOf(i, i + 1, worker_phase::ready), fleet.now());
        }
    }
    fleet.run(10s);
}

std::size_t countKnowingLeaving(gossip_simulation &fleet, std::size_t index)
{
    const std::string id = entryOf(index, 0, worker_phase::leaving).id;
    std::size_t count = 0;
    for (std::size_t node = 0; node < Nodes; ++node) {
        count += fleet.at(node).workers().entries().at(id).phase == worker_phase::leaving ? 1 : 0;
    }
    return count;
}

} // namespace

Test(gossip_at_size, the_messages_of_a_sharp_change_do_not_grow_with_the_pool)
{
    cr_assert(messagesOfChange(21) == 20);
    cr_assert(messagesOfChange(284) <= 2 * SubsetWorkers);
    cr_assert(messagesOfChange(1000) <= 2 * SubsetWorkers);
}

Test(gossip_at_size, a_node_that_has_read_no_list_yet_does_not_take_itself_for_the_only_one)
{
    const state::time_point start{1000s};
    gossip_node node({gossip_simulation::addressOf(0), "dc-0", 1}, Seed);
    node.start({}, start);
    node.tick(start);
    cr_assert(not(node.isServiceReader(start)));
    node.setVmList({{gossip_simulation::addressOf(0), "dc-0", false}}, start + 50ms);
    node.tick(start + 50ms);
    cr_assert(node.isServiceReader(start + 50ms), "the list names no other node");
}

// A node that knows only itself would read the platform's service like all others.
Test(gossip_at_size, few_nodes_select_themselves_as_readers_while_a_fleet_starts)
{
    gossip_simulation fleet = startAll();
    fleet.afterTick = [&fleet](std::size_t node) { // the service answers at once
        if (fleet.at(node).serviceRole(fleet.now()) != reader_role::none) {
            fleet.at(node).recordServiceRead(fleet.now());
        }
    };
    std::size_t most = 0;
    for (int i = 0; i < 40; ++i) {
        fleet.run(250ms);
        std::size_t readers = 0;
        for (std::size_t node = 0; node < Nodes; ++node) {
            readers += fleet.at(node).serviceRole(fleet.now()) != reader_role::none ? 1 : 0;
        }
        most = std::max(most, readers);
    }
    cr_assert(most <= 2 * ReadersPerDataCentre * DataCentres, "%zu readers", most);
}

Test(gossip_at_size, a_fleet_that_starts_at_once_knows_its_members_within_five_seconds)
{
    gossip_simulation fleet = startAll();
    fleet.run(5s);
    std::size_t known = 0;
    for (std::size_t node = 0; node < Nodes; ++node) {
        known += fleet.at(node).members().countLive();
    }
    cr_assert(known * 100 >= Nodes * Nodes * 99, "%zu of %zu", known, Nodes * Nodes);
}

// Each change of a worker is news for all nodes, but the messages for it must not grow with the number of workers.
Test(gossip_at_size, a_change_of_one_worker_costs_each_node_a_few_messages)
{
    gossip_simulation fleet = startAll();
    settleWithWorkers(fleet);
    std::size_t messages = 0;
    fleet.onSend = [&](std::size_t, const outgoing_gossip &out) {
        const bool isAboutWorkers
            = !out.message.workers.empty() || out.message.kind == gossip_kind::worker_pull || out.message.kind == gossip_kind::worker_page;
        messages += isAboutWorkers ? 1 : 0;
    };
    fleet.at(7).offerWorker(entryOf(3, Nodes + 1, worker_phase::leaving), fleet.now());
    cr_assert(fleet.runUntil([&] { return countKnowingLeaving(fleet, 3) == Nodes; }, 1500ms));
    fleet.run(2s);
    cr_assert(messages <= 4 * Nodes, "%zu messages", messages);
}

// Workers that are replaced one after the other, as in a release: there is always news on its way.
Test(gossip_at_size, all_nodes_know_a_change_within_a_second_and_a_half_while_others_follow)
{
    constexpr std::size_t Changes = 60;
    constexpr std::size_t ChangesKnownLater = 15; // 1.5 s at one change in 100 ms
    gossip_simulation fleet = startAll();
    settleWithWorkers(fleet);
    for (std::size_t change = 0; change < Changes; ++change) {
        fleet.at(7).offerWorker(entryOf(change, Nodes + change + 1, worker_phase::leaving), fleet.now());
        fleet.run(100ms);
        if (change >= ChangesKnownLater) {
            const std::size_t knowing = countKnowingLeaving(fleet, change - ChangesKnownLater);
            cr_assert(knowing == Nodes, "%zu of %zu nodes know change %zu after 1.6 s", knowing, Nodes, change - ChangesKnownLater);
        }
    }
}

// The sidecar beside a worker refuses new work for it as soon as it knows that the worker leaves.
Test(gossip_at_size, the_node_of_a_worker_knows_of_a_change_at_once)
{
    constexpr auto AtOnce = 2 * TickInterval;
    gossip_simulation fleet = startAll();
    settleWithWorkers(fleet);
    for (std::size_t index = 10; index < 20; ++index) {
        for (const std::size_t reader : {7U, 32U}) { // two nodes of each data centre read the service
            fleet.at(reader).offerWorker(entryOf(index, Nodes + index, worker_phase::leaving), fleet.now());
        }
        fleet.run(AtOnce);
        const discovered_worker &known = fleet.at(index).workers().entries().at(entryOf(index, 0, worker_phase::leaving).id);
        cr_assert(known.phase == worker_phase::leaving, "node %zu", index);
    }
}

// Guards against changes read from the service that are passed on like those of other nodes, to fewer nodes and not to the worker's own,
// since a message of another node arrived between the read and the next tick.
Test(gossip_at_size, the_node_of_a_worker_is_told_of_a_change_whatever_arrives_meanwhile)
{
    const state::time_point start{1000s};
    gossip_node node({gossip_simulation::addressOf(0), "dc-0", 1}, Seed);
    node.start({}, start);
    node.tick(start);
    gossip_message other;
    other.sender = {gossip_simulation::addressOf(1), "dc-0", 1, 0, false};
    node.receive(other, start);
    node.offerWorker(entryOf(5, 7, worker_phase::leaving), start + 10ms);
    node.receive(other, start + 20ms);
    const gossip_batch sent = node.tick(start + 50ms);
    const auto isToldOwnNode = [](const outgoing_gossip &out) {
        return out.to == gossip_simulation::addressOf(5) && !out.message.workers.empty();
    };
    cr_assert(std::any_of(sent.begin(), sent.end(), isToldOwnNode));
}

// A merge takes time for each worker: while workers are replaced one after the other, the time for all merges must not grow with the pool.
Test(gossip_at_size, changes_of_workers_that_follow_each_other_are_merged_together)
{
    constexpr std::size_t Changes = 100;
    constexpr auto Span = Changes * TickInterval;
    state::time_point now{1000s};
    gossip_node node({gossip_simulation::addressOf(0), "dc-0", 1}, Seed);
    node.start({}, now);
    node.offerFromService(table_kind::pools, "[table]\nrevision = 1\n[pool.p]\nslots = 4\ndiscovered = yes\n", now);
    std::vector<discovered_worker> workers;
    for (std::size_t i = 0; i < Nodes; ++i) {
        workers.push_back(entryOf(i, i + 1, worker_phase::ready));
    }
    node.replaceWorkers({workers, {}}, {0, Nodes}, now);
    std::shared_ptr<const state::pool_table> known = node.pools();
    std::size_t merges = 0;
    for (std::size_t i = 0; i < Changes; ++i) {
        now += TickInterval;
        node.offerWorker(entryOf(i, Nodes + i + 1, worker_phase::leaving), now);
        node.tick(now);
        merges += std::exchange(known, node.pools()) != node.pools() ? 1 : 0;
    }
    cr_assert(merges <= Span / 100ms, "%zu merges of %zu changes", merges, Changes);
    now += 1s;
    node.tick(now);
    node.offerWorker(entryOf(0, 2 * Nodes, worker_phase::ready), now + 1s);
    node.tick(now + 1s);
    cr_assert(not(node.pools()->pools.front().workers.front().leaving), "a change after a quiet time is merged with the next tick");
}
