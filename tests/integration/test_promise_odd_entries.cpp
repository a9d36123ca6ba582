// Guards against one odd entry among those of the workers, written by another program, for which nodes end or stop following the others.
//
// Promise: an entry that describes no usable worker names none; the others hold, and go on being followed.
//
// Mechanism: each entry is decoded by itself, with bounds for its texts and numbers; what a node passes on to others stays readable for
// them, and rows that are not are left out one by one.
#include "store_fleet.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <array>
#include <thread>

using namespace dandelionstall::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Nodes = store_fleet::Nodes;
constexpr std::chrono::seconds InForceTime{2};
constexpr std::chrono::seconds LogTime{1}; // by then a line is in the node's log

std::string entry(const std::string &address, const std::string &rest)
{
    return fmt::format(
        R"({{"service":"orders","address":"{}","zone":"dc-0","version":"v1","slots":3,"state":"ready","coldRemainingMs":0,"sequence":1{}}})", address, rest);
}

std::vector<std::string> oddEntries(const store_fleet &fleet)
{
    const std::string own = fleet.nodeIp(0) + ":9000"; // the address of a worker that runs
    return {
        "",
        "{",
        std::string("\0\xff\xfe", 3),
        "NaN",
        std::string(1'000'000, '['),
        entry("10.0.0.1:1", R"(,"deep":)" + std::string(20'000, '[') + std::string(20'000, ']')),
        entry("10.0.0.1:1", R"(,"born":1e999)"),
        entry("10.0.0.1:1", R"(,"born":)" + std::string(3000, '9')),
        entry("10.0.0.1:1", R"(,"slots":99999999999999999999)"),
        entry("10.0.0.1:1", R"(,"coldRemainingMs":18446744073709551615)"),
        entry("10.0.0.1:0", ""),
        entry("10.0.0.1:65536", ""),
        entry("10.0.0.1:-1", ""),
        entry("0.0.0.0:9000", ""),
        entry("255.255.255.255:9000", ""),
        entry("10.0.0.1", ""),
        entry(own, R"(,"slots":"3")"),
        entry(own, R"(,"state":"resting")"),
        entry(own, R"(,"service":"nobody","born":18446744073709551615)"),
        entry(own, R"(,"service":")" + std::string(3000, 's') + "\""),
        entry(own, R"(,"zone":")" + std::string(3000, 'z') + R"(","born":99)"),
        entry("10.0.0.1:1", R"(,"service":"nobody","version":")" + std::string(100'000, 'v') + "\""),
    };
}

void expectRunning(store_fleet &fleet)
{
    for (std::size_t i = 0; i < Nodes; ++i) {
        cr_assert(fleet.node(i).running(), "node %zu has ended: %s", i, fleet.node(i).output().c_str());
        cr_assert(fleet.isReady(i));
    }
}

std::size_t usedWorkers(const store_fleet &fleet, std::size_t requests)
{
    std::array<std::size_t, Nodes> before{};
    for (std::size_t i = 0; i < Nodes; ++i) {
        before.at(i) = fleet.runsAt(i);
    }
    for (std::size_t i = 0; i < requests; ++i) {
        cr_assert(fleet.statusOf(i % Nodes, "/read/1") == "HTTP/1.1 200");
    }
    std::size_t used = 0;
    for (std::size_t i = 0; i < Nodes; ++i) {
        used += fleet.runsAt(i) > before.at(i) ? 1 : 0;
    }
    return used;
}

// The choice prefers the worker with the lower risk in the last reports, so that a healthy one may get nothing of a round of requests.
bool areAllUsed(const store_fleet &fleet, std::size_t requests, std::chrono::seconds limit)
{
    return waitUntil([&] { return usedWorkers(fleet, requests) == Nodes; }, limit);
}

// Since the start, no node has dropped one of the fleet's workers or taken it for one that leaves, not even for a moment.
void expectHeld(const store_fleet &fleet)
{
    std::this_thread::sleep_for(LogTime);
    const std::string lines = fleet.linesWith("name=worker_gone worker=w") + fleet.linesWith("phase=leaving");
    cr_assert(lines.empty(), "%s", lines.substr(0, 500).c_str());
}

// A worker begins to leave, and all nodes stop using it in time; then it starts anew.
void expectFollowed(store_fleet &fleet, std::uint64_t &born)
{
    fleet.announce(1, "w1", "draining", born);
    std::this_thread::sleep_for(InForceTime);
    const std::size_t runs = fleet.runsAt(1);
    for (std::size_t i = 0; i < 5 * Nodes; ++i) {
        cr_assert(fleet.statusOf(i % Nodes, "/read/1") == "HTTP/1.1 200");
    }
    cr_assert(fleet.runsAt(1) == runs, "the leaving of a worker was not followed");
    fleet.announce(1, "w1", "ready", ++born);
    cr_assert(areAllUsed(fleet, 5 * Nodes, 5 * InForceTime), "a worker that has started anew is not used");
}

} // namespace

// Each odd entry by itself among the good ones, in the answer of a watch, in a read of the whole list, and through other nodes.
Test(odd_entries, the_good_ones_hold_and_go_on_being_followed)
{
    store_fleet fleet;
    fleet.start();
    std::uint64_t born = 1;
    const std::vector<std::string> odd = oddEntries(fleet);
    for (std::size_t i = 0; i < odd.size(); ++i) {
        fleet.writeEntry("odd", odd[i]);
        fleet.announce(2, "w2", "ready", 1 + i); // news beside it
        std::this_thread::sleep_for(700ms);
        expectRunning(fleet);
        cr_assert(areAllUsed(fleet, 10 * Nodes, InForceTime), "entry %zu: %s", i, odd[i].substr(0, 200).c_str());
    }
    expectHeld(fleet);
    expectFollowed(fleet, born);
    cr_assert(not(fleet.linesWith("name=worker_entry_refused").empty()));
    cr_assert(fleet.linesWith("name=gossip_refused").empty(), "%s", fleet.linesWith("name=gossip_refused").substr(0, 500).c_str());
}

Test(odd_entries, a_thousand_of_them_hide_no_good_one)
{
    store_fleet fleet;
    fleet.start();
    std::uint64_t born = 1;
    const std::vector<std::string> odd = oddEntries(fleet);
    for (std::size_t i = 0; i < 1000; ++i) {
        const std::string &value = odd[i % odd.size()];
        fleet.writeEntry(fmt::format("odd-{:04}", i), value.size() > 10'000 ? "[" : value);
    }
    std::this_thread::sleep_for(2s);
    expectRunning(fleet);
    cr_assert(areAllUsed(fleet, 10 * Nodes, InForceTime));
    expectHeld(fleet);
    expectFollowed(fleet, born);
    fleet.node(3).kill(); // the whole list is read at a start
    fleet.startNode(3);
    cr_assert(waitUntil([&] { return fleet.isReady(3); }));
    expectFollowed(fleet, born);
    expectRunning(fleet);
}

// More changes at once than the answer of a watch may hold: everything is read anew, by pages.
Test(odd_entries, entries_too_large_for_one_answer_are_passed_over)
{
    store_fleet fleet;
    fleet.start();
    std::uint64_t born = 1;
    fleet.setStoreFault("absent=error");
    std::this_thread::sleep_for(1s);
    for (std::size_t i = 0; i < 6; ++i) {
        fleet.writeEntry(fmt::format("huge-{}", i), std::string(1'000'000, 'x'));
    }
    fleet.setStoreFault("");
    std::this_thread::sleep_for(2s);
    expectFollowed(fleet, born);
    expectRunning(fleet);
}
