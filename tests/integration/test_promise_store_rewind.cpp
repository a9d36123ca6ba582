// Promise: after the platform's store has come back from an older copy, workers that leave and configurations that arrive are in force within
// two seconds, although their revisions were given out before; no configuration goes back, and the fleet goes on serving.
//
// Mechanisms: store_revision (era, then revision) in key_value_source, worker_directory and gossip.
#include "expect.h"
#include "store_fleet.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <thread>

using namespace dandelionstall::testing;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Nodes = store_fleet::Nodes;
constexpr std::chrono::seconds InForceTime{2}; // limit for a new configuration or a leaving worker
constexpr milliseconds CopyAge{1500};          // age of the copy that the store comes back from
constexpr milliseconds ReadTime{800};          // time in which the readers have seen what was written
constexpr int ManyHeartbeats = 40;             // revisions given out before the store comes back, more than any test gives out after it

// A fleet whose store has given out many revisions within the age of the copy.
void startWithHistory(store_fleet &fleet)
{
    fleet.start();
    std::this_thread::sleep_for(CopyAge);
    fleet.heartbeat(ManyHeartbeats);
    std::this_thread::sleep_for(ReadTime);
}

bool servesEverywhere(const store_fleet &fleet, const std::string &path, const std::string &status)
{
    for (std::size_t i = 0; i < Nodes; ++i) {
        if (fleet.statusOf(i, path) != status) {
            return false;
        }
    }
    return true;
}

void expectNoRuns(const store_fleet &fleet, std::size_t place)
{
    std::this_thread::sleep_for(InForceTime);
    const std::size_t runs = fleet.runsAt(place);
    for (int i = 0; i < 40; ++i) {
        cr_assert(fleet.statusOf(static_cast<std::size_t>(i) % Nodes, "/read/1") == "HTTP/1.1 200");
    }
    cr_assert(fleet.runsAt(place) == runs, "%zu requests reached worker w%zu", fleet.runsAt(place) - runs, place);
}

} // namespace

Test(store_rewind, a_worker_that_leaves_just_after_it_gets_nothing)
{
    store_fleet fleet;
    startWithHistory(fleet);
    fleet.rewindStore(CopyAge);
    fleet.heartbeat(1);
    fleet.announce(1, "w1", "draining");
    expectNoRuns(fleet, 1);
    cr_assert(waitUntil([&] { return not fleet.linesWith("name=store_era_learned era=2 before=1").empty(); }));
    cr_assert(waitUntil([&] { return not fleet.linesWith("name=store_era_settled era=2").empty(); }));
}

Test(store_rewind, a_worker_that_was_leaving_does_not_return_with_the_copy)
{
    store_fleet fleet;
    startWithHistory(fleet);
    fleet.announce(1, "w1", "draining");
    cr_assert(waitUntil([&] { return not fleet.linesWith("name=worker_known worker=w1 phase=leaving").empty(); }));
    fleet.rewindStore(CopyAge); // the copy says that it is ready
    expectNoRuns(fleet, 1);
}

Test(store_rewind, a_configuration_with_a_revision_used_before_is_in_force_and_none_goes_back)
{
    store_fleet fleet;
    startWithHistory(fleet);
    fleet.configure(5, "lookup");
    cr_assert(waitUntil([&] { return servesEverywhere(fleet, "/lookup/1", "HTTP/1.1 200"); }, InForceTime));
    fleet.rewindStore(CopyAge); // the copy holds version 1
    for (int i = 0; i < 10; ++i) {
        cr_assert(servesEverywhere(fleet, "/lookup/1", "HTTP/1.1 200"), "a configuration went back");
        std::this_thread::sleep_for(milliseconds(100));
    }
    fleet.configure(5, "lookup"); // the operator writes again
    fleet.configure(9, "search");
    cr_assert(waitUntil([&] { return servesEverywhere(fleet, "/search/1", "HTTP/1.1 200"); }, InForceTime));
    cr_assert(servesEverywhere(fleet, "/lookup/1", "HTTP/1.1 404"));
}

Test(store_rewind, nodes_that_the_store_refuses_follow_by_the_others)
{
    store_fleet fleet;
    startWithHistory(fleet);
    fleet.setStoreFault(fmt::format("refuse={}", fleet.nodeIp(2)));
    fleet.rewindStore(CopyAge);
    fleet.heartbeat(1);
    fleet.announce(1, "w1", "draining");
    fleet.configure(9, "search");
    cr_assert(waitUntil([&] { return servesEverywhere(fleet, "/search/1", "HTTP/1.1 200"); }, InForceTime));
    std::this_thread::sleep_for(InForceTime);
    const std::size_t runs = fleet.runsAt(1);
    for (int i = 0; i < 40; ++i) {
        cr_assert(fleet.statusOf(2, "/search/1") == "HTTP/1.1 200");
    }
    cr_assert(fleet.runsAt(1) == runs);
}

Test(store_rewind, two_of_them_within_three_seconds)
{
    store_fleet fleet;
    startWithHistory(fleet);
    fleet.rewindStore(CopyAge);
    fleet.heartbeat(ManyHeartbeats / 4);
    std::this_thread::sleep_for(ReadTime);
    fleet.rewindStore(CopyAge);
    fleet.heartbeat(1);
    fleet.announce(1, "w1", "draining");
    expectNoRuns(fleet, 1);
    fleet.configure(9, "search");
    cr_assert(waitUntil([&] { return servesEverywhere(fleet, "/search/1", "HTTP/1.1 200"); }, InForceTime));
}

Test(store_rewind, while_all_nodes_of_a_data_centre_start_again)
{
    store_fleet fleet;
    startWithHistory(fleet);
    for (const std::size_t node : {0U, 2U}) { // dc-0
        fleet.node(node).kill();
    }
    fleet.rewindStore(CopyAge);
    for (const std::size_t node : {0U, 2U}) {
        fleet.startNode(node);
    }
    fleet.heartbeat(1);
    fleet.announce(1, "w1", "draining");
    for (std::size_t i = 0; i < Nodes; ++i) {
        cr_assert(waitUntil([&] { return fleet.isReady(i); }), "%s", fleet.node(i).output().c_str());
    }
    expectNoRuns(fleet, 1);
    fleet.configure(9, "search");
    cr_assert(waitUntil([&] { return servesEverywhere(fleet, "/search/1", "HTTP/1.1 200"); }, InForceTime));
}

// Stores without eras work as before, also when their answers lack the header from some time on.
Test(store_rewind, a_store_without_eras_is_followed_as_before)
{
    store_fleet fleet;
    fleet.setStoreFault("era=none");
    fleet.start();
    fleet.announce(1, "w1", "draining");
    expectNoRuns(fleet, 1);
    cr_assert(fleet.linesWith("name=store_era_learned").empty());
}
