// Tests of coordination/membership/membership.h: several nodes in one simulation loop with fixed seeds and injected network faults.
#include "gossip_simulation.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20'261'203;

gossip_simulation makeFleet(std::size_t size, const link_options &links = {}, std::uint64_t seed = Seed)
{
    gossip_simulation fleet(links, seed);
    for (std::size_t i = 0; i < size; ++i) {
        fleet.addNode(i % 3 == 0 ? "thika" : "ruiru");
    }
    return fleet;
}

bool settle(gossip_simulation &fleet)
{
    return fleet.runUntil([&] { return fleet.allSeeAllAlive(); }, 20s);
}

bool allSeeState(gossip_simulation &fleet, std::size_t about, member_state state)
{
    return fleet.allRunning([&](std::size_t viewer) { return viewer == about || fleet.memberStateSeenBy(viewer, about) == state; });
}

} // namespace

Test(membership, all_nodes_discover_all_nodes)
{
    gossip_simulation fleet = makeFleet(30);
    cr_assert(settle(fleet));
    cr_assert(fleet.at(7).members().countLive() == 30);
}

Test(membership, a_dead_member_is_declared_dead_and_rejoins_with_a_new_incarnation)
{
    gossip_simulation fleet = makeFleet(20);
    cr_assert(settle(fleet));
    fleet.setRunning(7, false);
    cr_assert(fleet.runUntil([&] { return allSeeState(fleet, 7, member_state::dead); }, 5s));
    fleet.restart(7, 2);
    fleet.setRunning(7, true);
    cr_assert(settle(fleet));
    cr_assert(fleet.at(3).members().find(gossip_simulation::addressOf(7))->incarnation == 2);
}

Test(membership, an_incarnation_started_with_an_earlier_wall_clock_supersedes_the_previous_one)
{
    gossip_simulation fleet = makeFleet(20);
    cr_assert(settle(fleet));
    fleet.restart(7, 5000);
    cr_assert(settle(fleet));
    fleet.run(2s);
    fleet.restart(7, 3000); // the wall clock was set back between the two starts
    const std::uint64_t before = fleet.at(7).members().version();
    const auto isKnownWithNewIncarnation = [&] {
        const state::incarnation present = fleet.at(7).members().self().incarnation;
        const auto sees = [&](std::size_t viewer) {
            return viewer == 7 || fleet.at(viewer).members().find(gossip_simulation::addressOf(7))->incarnation == present;
        };
        return present > 5000 && fleet.allRunning(sees);
    };
    cr_assert(fleet.runUntil(isKnownWithNewIncarnation, 3s));
    cr_assert(allSeeState(fleet, 7, member_state::alive));
    cr_assert(fleet.at(7).members().version() != before); // triggers publication of the new incarnation, which reports then carry
}

Test(membership, a_paused_member_refutes_its_death_and_declares_no_member_dead)
{
    gossip_simulation fleet = makeFleet(20);
    cr_assert(settle(fleet));
    fleet.setRunning(7, false);
    fleet.run(8s);
    fleet.setRunning(7, true);
    fleet.run(60ms);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        cr_assert(fleet.memberStateSeenBy(7, i) != member_state::dead || i == 7);
    }
    cr_assert(fleet.at(7).members().isSelfSuspected(fleet.now()));
    cr_assert(fleet.at(7).members().consumePauseDetected());
    cr_assert(settle(fleet));
    cr_assert(fleet.at(7).members().self().refutations > 0);
}

Test(membership, a_node_that_receives_no_answers_suspects_itself)
{
    gossip_simulation fleet = makeFleet(20);
    cr_assert(settle(fleet));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.setLinkBlocked(7, i); // its messages are lost; messages of the other nodes still arrive
    }
    fleet.run(4s);
    cr_assert(fleet.at(7).members().isIsolated(fleet.now()));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        cr_assert(fleet.memberStateSeenBy(7, i) != member_state::dead);
    }
    cr_assert(fleet.memberStateSeenBy(3, 7) == member_state::dead);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.setLinkBlocked(7, i, false);
    }
    cr_assert(settle(fleet));
}

Test(membership, a_blocked_link_is_reported_with_its_direction_and_neither_member_is_declared_dead)
{
    gossip_simulation fleet = makeFleet(6, {.loss = 0.0});
    cr_assert(settle(fleet));
    fleet.setLinkBlocked(1, 2); // only from node 1 to node 2
    bool reported = false;
    fleet.afterTick = [&](std::size_t index) {
        for (const path_observation &path : fleet.at(index).members().consumePathObservations()) {
            reported = reported || (index == 1 && path.node == gossip_simulation::addressOf(2) && path.inboundUp && !path.outboundUp);
        }
        cr_assert(fleet.memberStateSeenBy(index, 1) != member_state::dead);
        cr_assert(fleet.memberStateSeenBy(index, 2) != member_state::dead);
    };
    fleet.run(15s);
    cr_assert(reported);
}

Test(membership, members_rejoin_after_a_network_partition)
{
    gossip_simulation fleet = makeFleet(12);
    cr_assert(settle(fleet));
    const auto setPartitioned = [&](bool blocked) {
        for (std::size_t a = 0; a < 5; ++a) {
            for (std::size_t b = 5; b < 12; ++b) {
                fleet.setLinkBlocked(a, b, blocked);
                fleet.setLinkBlocked(b, a, blocked);
            }
        }
    };
    setPartitioned(true);
    fleet.run(20s);
    cr_assert(fleet.memberStateSeenBy(6, 1) == member_state::dead);
    setPartitioned(false);
    cr_assert(fleet.runUntil([&] { return fleet.allSeeAllAlive(); }, 30s));
}

Test(membership, leaving_reaches_all_nodes_within_three_seconds)
{
    gossip_simulation fleet = makeFleet(30);
    cr_assert(settle(fleet));
    const auto allSeeLeaving = [&](std::size_t about) {
        return fleet.allRunning([&](std::size_t viewer) { return viewer == about || fleet.seesLeaving(viewer, about); });
    };
    fleet.sendBatch(7, fleet.at(7).leave(fleet.now()));
    cr_assert(fleet.runUntil([&] { return allSeeLeaving(7); }, 3s));

    std::vector<vm_record> vms;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        vms.push_back({gossip_simulation::addressOf(i), i % 3 == 0 ? "thika" : "ruiru", i == 9});
    }
    fleet.at(2).setVmList(vms, fleet.now()); // only one reader receives the list
    cr_assert(fleet.runUntil([&] { return allSeeLeaving(9) && fleet.at(9).members().isLeaving(); }, 3s));

    fleet.at(4).markLeavingVms({{gossip_simulation::addressOf(11), "ruiru", true}}, fleet.now()); // partial list
    cr_assert(fleet.runUntil([&] { return allSeeLeaving(11) && fleet.at(11).members().isLeaving(); }, 3s));
    cr_assert(not(fleet.seesLeaving(4, 12)));
}

Test(membership, the_vm_list_declares_no_member_dead)
{
    gossip_simulation fleet = makeFleet(6);
    cr_assert(settle(fleet));
    fleet.at(2).setVmList({}, fleet.now());
    fleet.run(5s);
    cr_assert(fleet.allSeeAllAlive());
}

Test(membership, no_member_that_answers_stays_dead_under_any_loss_and_duplication)
{
    const bool holds = rc::check("all nodes see all members alive after the faults end", [] {
        const link_options links{.loss = *rc::gen::inRange(0, 40) / 100.0,
                                 .duplication = *rc::gen::inRange(0, 50) / 100.0,
                                 .latency = std::chrono::milliseconds(*rc::gen::inRange(0, 20)),
                                 .jitter = std::chrono::milliseconds(*rc::gen::inRange(0, 60))};
        const auto size = *rc::gen::inRange<std::size_t>(3, 10);
        gossip_simulation fleet = makeFleet(size, links, *rc::gen::arbitrary<std::uint64_t>());
        fleet.run(3s);
        const auto paused = *rc::gen::inRange<std::size_t>(0, size);
        fleet.setRunning(paused, false);
        fleet.run(std::chrono::milliseconds(*rc::gen::inRange(0, 4000)));
        fleet.setRunning(paused, true);
        fleet.run(2s);
        gossip_simulation *running = &fleet;
        RC_ASSERT(running->runUntil([&] { return running->allSeeAllAlive(); }, 60s));
    });
    cr_assert(holds);
}
