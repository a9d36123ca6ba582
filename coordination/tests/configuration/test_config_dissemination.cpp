// Tests of coordination/configuration/config_dissemination.h and gossip_node.h: several nodes in one simulation loop with fixed seeds and
// injected network faults.
#include "configuration/config_compression.h"
#include "membership/gossip_simulation.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20'261'203;

gossip_simulation makeFleet(std::size_t size, const link_options &links = {}, std::uint64_t seed = Seed)
{
    gossip_simulation fleet(links, seed);
    for (std::size_t i = 0; i < size; ++i) {
        fleet.addNode(i % 2 == 0 ? "thika" : "ruiru");
    }
    return fleet;
}

void offer(gossip_simulation &fleet, std::size_t at, table_kind kind, const std::string &text)
{
    fleet.at(at).offerFromService(kind, text, fleet.now());
}

state::table_revision inForce(gossip_simulation &fleet, std::size_t at, table_kind kind)
{
    return fleet.at(at).store().inForce(kind).revision;
}

bool allHaveRevisions(gossip_simulation &fleet, state::table_revision routes, state::table_revision pools)
{
    return fleet.allRunning([&](std::size_t i) { return inForce(fleet, i, table_kind::routes) == routes && inForce(fleet, i, table_kind::pools) == pools; });
}

} // namespace

Test(config_dissemination, a_new_revision_reaches_all_nodes_within_three_seconds)
{
    gossip_simulation fleet = makeFleet(30);
    fleet.run(3s);
    offer(fleet, 4, table_kind::pools, poolsText(1));
    offer(fleet, 4, table_kind::routes, routesText(1, "p0", 300));
    cr_assert(fleet.runUntil([&] { return allHaveRevisions(fleet, 1, 1); }, 3s));
    offer(fleet, 9, table_kind::routes, routesText(2, "p1", 300));
    cr_assert(fleet.runUntil([&] { return allHaveRevisions(fleet, 2, 1); }, 3s));
}

// Guards against too many transferred bytes for a large change of the route table. On narrow and lossy links, a change that
// added 1,140 routes made 78 nodes fetch 230 KB each from the few nodes that had the table first, and some nodes received it
// only seconds later.
Test(config_dissemination, a_change_of_many_routes_transfers_few_bytes)
{
    link_options links;
    links.loss = 0.03;
    gossip_simulation fleet = makeFleet(40, links);
    offer(fleet, 4, table_kind::pools, poolsText(1));
    offer(fleet, 4, table_kind::routes, routesText(1, "p0", 300));
    cr_assert(fleet.runUntil([&] { return allHaveRevisions(fleet, 1, 1); }, 10s));
    std::size_t bytes = 0;
    fleet.onSend = [&](std::size_t, const outgoing_gossip &out) {
        bytes += out.message.config ? out.message.config->bytes.size() : 0;
    };
    const std::string table = routesText(2, "p0", 1440);
    const std::size_t change = table.size() - routesText(1, "p0", 300).size();
    offer(fleet, 4, table_kind::routes, table);
    cr_assert(fleet.runUntil([&] { return allHaveRevisions(fleet, 2, 1); }, 2s));
    cr_assert(bytes < 40 * change / 5, "%zu bytes transferred to 40 nodes for a change of %zu bytes", bytes, change);
}

Test(config_dissemination, malformed_compressed_bytes_are_rejected)
{
    const std::string table = routesText(1, "p0", 500);
    const std::string compressed = detail::compressBytes(table);
    cr_assert(detail::decompressBytes(compressed, table.size()) == table);
    cr_assert_not(detail::decompressBytes(compressed, table.size() / 2).has_value(), "longer than the limit");
    cr_assert_not(detail::decompressBytes(compressed.substr(0, compressed.size() / 2), table.size()).has_value(), "truncated input");
    cr_assert_not(detail::decompressBytes(table, table.size()).has_value(), "not compressed");
    cr_assert_not(detail::decompressBytes("", table.size()).has_value(), "empty input");
}

Test(config_dissemination, a_new_node_receives_the_configuration_from_its_peers)
{
    gossip_simulation fleet = makeFleet(10);
    fleet.run(3s);
    offer(fleet, 4, table_kind::pools, poolsText(7));
    offer(fleet, 4, table_kind::routes, routesText(8, "p0", 2000));
    cr_assert(fleet.runUntil([&] { return allHaveRevisions(fleet, 8, 7); }, 5s));
    const std::size_t newNode = fleet.addNode("thika");
    cr_assert(not(fleet.at(newNode).isServiceReadAllowed(fleet.now())));
    cr_assert(fleet.runUntil([&] { return inForce(fleet, newNode, table_kind::routes) == 8; }, 5s));
    offer(fleet, newNode, table_kind::routes, routesText(3)); // the service returns old data after its recovery
    cr_assert(inForce(fleet, newNode, table_kind::routes) == 8);
    const std::vector<offered_table> results = fleet.at(newNode).consumeOfferedTables();
    cr_assert(results.back().result.verdict == offer_verdict::stale);
}

Test(config_dissemination, a_node_without_live_peers_reads_the_service)
{
    gossip_simulation fleet = makeFleet(3);
    fleet.setRunning(0, false);
    fleet.setRunning(1, false);
    cr_assert(not(fleet.at(2).isServiceReadAllowed(fleet.now())));
    fleet.run(2s);
    cr_assert(fleet.at(2).isServiceReadAllowed(fleet.now()));
    cr_assert(fleet.at(2).isServiceReader(fleet.now()));
}

Test(config_dissemination, different_content_with_one_revision_is_reported_and_rejected)
{
    gossip_simulation fleet = makeFleet(4);
    fleet.run(2s);
    offer(fleet, 0, table_kind::pools, poolsText(1, 0));
    cr_assert(fleet.runUntil([&] { return allHaveRevisions(fleet, 0, 1); }, 3s));
    offer(fleet, 1, table_kind::pools, poolsText(1, 1));
    const std::vector<offered_table> results = fleet.at(1).consumeOfferedTables();
    cr_assert(results.back().result.verdict == offer_verdict::conflict);
    cr_assert(fleet.at(1).store().pools()->pools[0].slots == 3);
}

Test(config_dissemination, tables_that_depend_on_each_other_come_into_force_in_any_order)
{
    gossip_simulation fleet = makeFleet(8);
    fleet.run(2s);
    offer(fleet, 0, table_kind::pools, poolsText(1));
    offer(fleet, 0, table_kind::routes, routesText(1));
    cr_assert(fleet.runUntil([&] { return allHaveRevisions(fleet, 1, 1); }, 3s));
    offer(fleet, 1, table_kind::routes, routesText(2, "p4")); // requires revision 2 of the pool table
    fleet.run(2s);
    cr_assert(allHaveRevisions(fleet, 1, 1));
    const std::size_t newNode = fleet.addNode("ruiru"); // receives the last valid pair although a newer table is pending
    cr_assert(fleet.runUntil([&] { return allHaveRevisions(fleet, 1, 1); }, 8s));
    cr_assert(inForce(fleet, newNode, table_kind::routes) == 1);
    offer(fleet, 3, table_kind::pools, poolsText(2, 0, 5));
    cr_assert(fleet.runUntil([&] { return allHaveRevisions(fleet, 2, 2); }, 3s));
}

Test(config_dissemination, the_number_of_readers_is_bounded_and_a_stopped_reader_is_replaced)
{
    gossip_simulation fleet = makeFleet(24);
    bool isServed = true; // the service answers at once
    fleet.afterTick = [&](std::size_t node) {
        if (isServed && fleet.at(node).serviceRole(fleet.now()) != reader_role::none) {
            fleet.at(node).recordServiceRead(fleet.now());
        }
    };
    fleet.run(3s);
    const auto readers = [&] {
        std::size_t count = 0;
        for (std::size_t i = 0; i < fleet.size(); ++i) {
            count += fleet.at(i).serviceRole(fleet.now()) != reader_role::none ? 1 : 0;
        }
        return count;
    };
    std::size_t most = 0;
    for (int i = 0; i < 60; ++i) {
        fleet.run(1s);
        most = std::max(most, readers());
    }
    cr_assert(most == 2 * ReadersPerDataCentre);
    const auto firstReader = [&] {
        std::size_t i = 0;
        while (!fleet.at(i).isServiceReader(fleet.now())) {
            ++i;
        }
        return i;
    };
    const std::size_t stopped = firstReader();
    fleet.setRunning(stopped, false);
    fleet.run(3s);
    std::size_t others = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        others += i != stopped && fleet.at(i).isServiceReader(fleet.now()) ? 1 : 0;
    }
    cr_assert(others == 2 * ReadersPerDataCentre);
    fleet.setRunning(stopped, true);
    isServed = false;
    std::map<std::size_t, reader_role> roles;
    std::size_t tries = 0;
    for (int i = 0; i < 2000; ++i) { // without reads of the service, each node tries once in a while
        fleet.run(100ms);
        for (std::size_t node = 0; i > 100 && node < fleet.size(); ++node) {
            const reader_role role = fleet.at(node).serviceRole(fleet.now());
            tries += std::exchange(roles[node], role) != role && role != reader_role::none ? 1 : 0;
        }
    }
    cr_assert(tries <= fleet.size() * (200s / SearchPause), "%zu tries", tries);
}

Test(config_dissemination, reports_with_sharp_changes_reach_the_nodes_of_the_pool)
{
    gossip_simulation fleet = makeFleet(6);
    fleet.run(2s);
    std::string pools = "[table]\nrevision = 1\n[pool.p]\nslots = 3\n";
    for (std::size_t i = 0; i < 4; ++i) {
        pools += fmt::format("worker.w{} = {} thika\n", i, state::formatNodeAddress(gossip_simulation::addressOf(i)));
    }
    offer(fleet, 0, table_kind::pools, pools);
    cr_assert(fleet.runUntil([&] { return allHaveRevisions(fleet, 0, 1); }, 3s));
    fleet.run(200ms);
    worker_report report;
    report.worker = "w0";
    report.pool = "p";
    report.node = gossip_simulation::addressOf(0);
    report.leaving = true;
    fleet.sendBatch(0, fleet.at(0).updateLocalReports({report}, fleet.now()));
    fleet.run(5s);
    for (std::size_t i = 1; i < 4; ++i) {
        const auto reports = fleet.at(i).consumePeerReports();
        cr_assert(std::any_of(reports.begin(), reports.end(), [](const worker_report &received) { return received.worker == "w0" && received.leaving; }));
    }
    cr_assert(fleet.at(5).consumePeerReports().empty());
}

Test(config_dissemination, converges_to_the_highest_revision_under_network_faults)
{
    const bool holds = rc::check("revisions only grow, and all nodes end with the highest", [] {
        const link_options links{.loss = *rc::gen::inRange(0, 40) / 100.0,
                                 .duplication = *rc::gen::inRange(0, 50) / 100.0,
                                 .latency = std::chrono::milliseconds(*rc::gen::inRange(0, 20)),
                                 .jitter = std::chrono::milliseconds(*rc::gen::inRange(0, 60))};
        const auto size = *rc::gen::inRange<std::size_t>(2, 9);
        gossip_simulation fleet = makeFleet(size, links, *rc::gen::arbitrary<std::uint64_t>());
        std::vector<table_version> before(size);
        fleet.afterTick = [&](std::size_t index) {
            const table_version now = fleet.at(index).store().inForce(table_kind::pools);
            RC_ASSERT(now.revision >= before[index].revision);
            before[index] = now;
        };
        state::table_revision highest = 0;
        const auto revisions = *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 20));
        for (const int number : revisions) {
            const auto revision = static_cast<state::table_revision>(number);
            offer(fleet, *rc::gen::inRange<std::size_t>(0, size), table_kind::pools, poolsText(revision, 0, *rc::gen::element(3)));
            highest = std::max(highest, revision);
            fleet.run(std::chrono::milliseconds(*rc::gen::inRange(0, 300)));
        }
        RC_ASSERT(fleet.runUntil([&] { return allHaveRevisions(fleet, 0, highest); }, 60s));
    });
    cr_assert(holds);
}

// Guards against a transfer that is stuck with an unreachable peer: messages of the peer, which has a newer revision, arrive,
// but requests to it are lost. The node must request the table from another node with that revision within one second.
Test(config_dissemination, requests_the_table_from_another_node_when_requests_to_the_first_are_lost)
{
    config_store store;
    config_dissemination dissemination(store, Seed);
    const state::node_address unreachable{"10.0.0.1", 7400};
    const state::node_address reachable{"10.0.0.2", 7400};
    const auto hintFrom = [](const state::node_address &sender) {
        gossip_message message;
        message.sender.address = sender;
        message.tables[0] = {9, 1};
        return message;
    };
    const state::time_point start{1h};
    bool requestedFromOther = false;
    const auto checkRequests = [&](const gossip_batch &batch) {
        requestedFromOther = requestedFromOther || std::any_of(batch.begin(), batch.end(), [&](const outgoing_gossip &out) { return out.to == reachable; });
    };
    for (state::time_point now = start; now < start + 1s && !requestedFromOther; now += 50ms) {
        if ((now - start) % 200ms == 0ms) {
            checkRequests(dissemination.receive(hintFrom(unreachable), now));
        }
        checkRequests(dissemination.tick(now));
        if ((now - start) % 200ms == 150ms) {
            checkRequests(dissemination.receive(hintFrom(reachable), now));
        }
    }
    cr_assert(requestedFromOther);
}
