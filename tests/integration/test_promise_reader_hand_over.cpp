// Guards against nodes that learn of no change for as long as the store turns away the nodes that read it for all.
//
// Promise: a node that the store serves has a new configuration in force and sends nothing to a leaving worker two seconds after the
// store's acknowledgement, whoever else the store turns away, and in whatever way.
//
// Mechanism: reader_choice, which moves on when no node of the data centre has read for longer than the store takes when it works.
#include "store_fleet.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <thread>

using namespace dandelionstall::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Nodes = 6;
constexpr std::chrono::seconds InForceTime{2}; // limit for a change, counted from the store's acknowledgement
constexpr std::chrono::seconds SettleTime{7};  // after the start, until the choice of readers has settled

bool isReader(store_fleet &fleet, std::size_t index)
{
    const std::string log = fleet.node(index).output();
    const std::size_t last = log.rfind("name=reader_changed");
    return last != std::string::npos && log.substr(last, log.find('\n', last) - last).find("reader=yes") != std::string::npos;
}

std::vector<std::size_t> readersOf(store_fleet &fleet)
{
    std::vector<std::size_t> readers;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (isReader(fleet, i)) {
            readers.push_back(i);
        }
    }
    return readers;
}

std::vector<std::size_t> allBut(const store_fleet &fleet, const std::vector<std::size_t> &left)
{
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (std::find(left.begin(), left.end(), i) == left.end()) {
            others.push_back(i);
        }
    }
    return others;
}

void turnAway(const store_fleet &fleet, const std::string &fault, const std::vector<std::size_t> &nodes)
{
    std::vector<std::string> ips;
    for (const std::size_t node : nodes) {
        ips.push_back(fleet.nodeIp(node));
    }
    fleet.setStoreFault(fmt::format("{}={}", fault, fmt::join(ips, ",")));
}

void expectInForce(const store_fleet &fleet, const std::vector<std::size_t> &nodes, const std::string &path, std::chrono::steady_clock::time_point ackedAt)
{
    for (const std::size_t node : nodes) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(ackedAt + InForceTime - std::chrono::steady_clock::now());
        cr_assert(
            waitUntil([&] { return fleet.statusOf(node, "/" + path + "/1") == "HTTP/1.1 200"; }, left), "node %zu does not know /%s/", node, path.c_str());
    }
}

// A configuration and a leaving worker, while the store turns both readers away in the given way.
void checkTurnedAwayReaders(const std::string &fault, std::chrono::milliseconds changedAfter)
{
    store_fleet fleet(Nodes, 1);
    fleet.start();
    std::this_thread::sleep_for(SettleTime);
    const std::vector<std::size_t> readers = readersOf(fleet);
    cr_assert(readers.size() == 2, "%zu readers", readers.size());
    const std::vector<std::size_t> served = allBut(fleet, readers);
    turnAway(fleet, fault, readers);
    std::this_thread::sleep_for(changedAfter);
    fleet.configure(5, "lookup");
    fleet.announce(served.front(), fmt::format("w{}", served.front()), "draining");
    const auto ackedAt = std::chrono::steady_clock::now();
    expectInForce(fleet, served, "lookup", ackedAt);
    std::this_thread::sleep_until(ackedAt + InForceTime);
    const std::size_t runs = fleet.runsAt(served.front());
    for (std::size_t i = 0; i < 40; ++i) {
        cr_assert(fleet.statusOf(served[i % served.size()], "/lookup/1") == "HTTP/1.1 200");
    }
    cr_assert(fleet.runsAt(served.front()) == runs, "a leaving worker received %zu requests", fleet.runsAt(served.front()) - runs);

    fleet.setStoreFault(""); // all are served again: two readers, and all nodes follow
    std::this_thread::sleep_for(3s);
    fleet.configure(9, "search");
    expectInForce(fleet, allBut(fleet, {}), "search", std::chrono::steady_clock::now());
    cr_assert(readersOf(fleet).size() == 2);
}

} // namespace

Test(reader_hand_over, nodes_follow_the_store_while_it_refuses_both_readers)
{
    checkTurnedAwayReaders("refuse", 500ms);
}

Test(reader_hand_over, nodes_follow_the_store_while_it_does_not_answer_both_readers)
{
    checkTurnedAwayReaders("mute", 0ms);
}

Test(reader_hand_over, the_only_node_that_is_served_reads_for_all)
{
    store_fleet fleet(Nodes, 1);
    fleet.start();
    std::this_thread::sleep_for(SettleTime);
    const std::size_t served = allBut(fleet, readersOf(fleet)).back();
    turnAway(fleet, "refuse", allBut(fleet, {served}));
    fleet.configure(5, "lookup");
    expectInForce(fleet, allBut(fleet, {}), "lookup", std::chrono::steady_clock::now());
}

Test(reader_hand_over, a_data_centre_that_is_turned_away_hears_from_the_others)
{
    store_fleet fleet(Nodes, 2);
    fleet.start();
    std::this_thread::sleep_for(SettleTime);
    turnAway(fleet, "refuse", {0, 2, 4});
    fleet.configure(5, "lookup");
    expectInForce(fleet, allBut(fleet, {}), "lookup", std::chrono::steady_clock::now());
}

Test(reader_hand_over, a_later_era_of_the_store_is_read_while_it_refuses_both_readers)
{
    store_fleet fleet(Nodes, 1);
    fleet.start();
    std::this_thread::sleep_for(SettleTime);
    const std::vector<std::size_t> readers = readersOf(fleet);
    turnAway(fleet, "refuse", readers);
    fleet.rewindStore(0ms);
    fleet.heartbeat(1);
    fleet.configure(5, "lookup");
    expectInForce(fleet, allBut(fleet, readers), "lookup", std::chrono::steady_clock::now());
    cr_assert(not(fleet.linesWith("name=store_era_learned").empty()));
}

Test(reader_hand_over, a_node_that_starts_while_both_readers_are_refused_follows_the_store)
{
    store_fleet fleet(Nodes, 1);
    fleet.start();
    std::this_thread::sleep_for(SettleTime);
    const std::vector<std::size_t> readers = readersOf(fleet);
    const std::size_t fresh = allBut(fleet, readers).front();
    turnAway(fleet, "refuse", readers);
    fleet.node(fresh).kill();
    fleet.startNode(fresh);
    cr_assert(waitUntil([&] { return fleet.isReady(fresh); }));
    fleet.configure(5, "lookup");
    expectInForce(fleet, allBut(fleet, readers), "lookup", std::chrono::steady_clock::now());
}
