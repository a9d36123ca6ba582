// Guards against nodes that learn of no change for as long as the store turns away those that read it for all: the choice of readers
// with gossip between nodes, in virtual time. The same with real processes: tests/integration/test_promise_reader_hand_over.cpp.
#include "reader_simulation.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seed = 20261203;
constexpr std::chrono::milliseconds SettleTime{8000};

// Data centres of one fleet, and the time within which a change has to be known everywhere.
struct fleet_size {
    std::size_t dataCentres = 0;
    std::size_t nodes = 0; // in each
    std::chrono::milliseconds limit{0};
};

constexpr fleet_size Small{3, 7, 2000ms};
constexpr fleet_size Grown{3, 28, 2500ms};
constexpr fleet_size Large{3, 118, 3000ms};
constexpr fleet_size FullSizeDataCentre{1, 227, 7000ms};

std::unique_ptr<reader_simulation> settled(const fleet_size &size, std::uint64_t seed = Seed)
{
    auto simulation = std::make_unique<reader_simulation>(seed);
    for (std::size_t i = 0; i < size.dataCentres; ++i) {
        simulation->addNodes(size.nodes, fmt::format("dc-{}", i));
    }
    simulation->introduceAll();
    simulation->change(1);
    simulation->fleet().run(SettleTime);
    return simulation;
}

void setAccess(reader_simulation &simulation, const std::vector<std::size_t> &nodes, store_access access)
{
    for (const std::size_t node : nodes) {
        simulation.access()[node] = access;
    }
}

void expectKnown(reader_simulation &simulation, state::table_revision revision, std::chrono::milliseconds limit, const std::string &what)
{
    simulation.change(revision);
    const std::chrono::milliseconds needed = simulation.timeUntilKnown(2 * limit);
    cr_log_info("%s: known after %lld ms of %lld\n", what.c_str(), static_cast<long long>(needed.count()), static_cast<long long>(limit.count()));
    cr_assert(
        needed <= limit, "%s: known after %lld ms, expected %lld", what.c_str(), static_cast<long long>(needed.count()), static_cast<long long>(limit.count()));
}

// Turns both readers of each data centre away, then makes changes at some distance of time, each of which must be known in time.
void checkTurnedAwayReaders(const fleet_size &size, store_access access)
{
    for (const std::chrono::milliseconds offset : {0ms, 300ms, 700ms, 1100ms, 1500ms}) {
        const auto simulation = settled(size, Seed + static_cast<std::uint64_t>(offset.count()));
        const std::vector<std::size_t> readers = simulation->readers();
        cr_assert(readers.size() == size.dataCentres * ReadersPerDataCentre, "%zu readers", readers.size());
        setAccess(*simulation, readers, access);
        simulation->fleet().run(offset);
        expectKnown(*simulation, 2, size.limit, fmt::format("{} nodes, {} ms after", size.nodes, offset.count()));
    }
}

// Leaves one node of each data centre served, the last one that a search comes to.
std::vector<std::size_t> turnAwayAllButLast(reader_simulation &simulation, const fleet_size &size, store_access access)
{
    std::vector<std::size_t> served;
    for (std::size_t centre = 0; centre < size.dataCentres; ++centre) {
        std::vector<state::node_address> nodes;
        for (std::size_t i = 0; i < size.nodes; ++i) {
            nodes.push_back(gossip_simulation::addressOf(centre * size.nodes + i));
        }
        const reader_window window = simulation.fleet().at(centre * size.nodes).readers().window();
        const std::vector<state::node_address> order = chooseReaders(nodes, {window.round, window.first, static_cast<std::uint32_t>(size.nodes)});
        for (std::size_t i = 0; i < size.nodes; ++i) {
            const std::size_t node = centre * size.nodes + i;
            if (gossip_simulation::addressOf(node) == order.back()) {
                served.push_back(node);
            } else {
                simulation.access()[node] = access;
            }
        }
    }
    return served;
}

std::size_t firstBeside(const std::vector<std::size_t> &nodes)
{
    std::size_t node = 0;
    while (std::find(nodes.begin(), nodes.end(), node) != nodes.end()) {
        ++node;
    }
    return node;
}

bool anySearch(gossip_simulation &fleet)
{
    bool any = false;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        any = fleet.at(i).consumeSearchStarted() || any;
    }
    return any;
}

} // namespace

Test(reader_hand_over, changes_are_known_in_time_while_both_readers_are_refused)
{
    checkTurnedAwayReaders(Small, store_access::refused);
    checkTurnedAwayReaders(Grown, store_access::refused);
}

Test(reader_hand_over, changes_are_known_in_time_while_both_readers_get_no_answer)
{
    checkTurnedAwayReaders(Small, store_access::mute);
    checkTurnedAwayReaders(Grown, store_access::mute);
}

Test(reader_hand_over, changes_are_known_in_time_in_large_data_centres)
{
    checkTurnedAwayReaders(Large, store_access::mute);
    checkTurnedAwayReaders(FullSizeDataCentre, store_access::mute);
}

Test(reader_hand_over, the_only_node_that_is_served_reads_in_time)
{
    for (const fleet_size &size : {Small, Grown, Large, FullSizeDataCentre}) {
        for (const store_access access : {store_access::refused, store_access::mute}) {
            const auto simulation = settled(size);
            turnAwayAllButLast(*simulation, size, access);
            expectKnown(*simulation, 2, size.limit, fmt::format("one of {} served", size.nodes));
        }
    }
}

Test(reader_hand_over, readers_that_fail_in_different_ways_are_replaced_in_time)
{
    const auto frozenAndRefused = settled(Small);
    std::vector<std::size_t> readers = frozenAndRefused->readers();
    for (std::size_t i = 0; i < readers.size(); ++i) {
        if (i % 2 == 0) {
            frozenAndRefused->fleet().setRunning(readers[i], false);
        } else {
            frozenAndRefused->access()[readers[i]] = store_access::refused;
        }
    }
    expectKnown(*frozenAndRefused, 2, Small.limit, "one reader frozen, one refused");

    const auto cutAndMute = settled(Small);
    readers = cutAndMute->readers();
    for (std::size_t i = 0; i < readers.size(); ++i) {
        for (std::size_t other = 0; i % 2 == 0 && other < cutAndMute->fleet().size(); ++other) {
            cutAndMute->fleet().setLinkBlocked(readers[i], other); // receives, but sends nothing
        }
        if (i % 2 != 0) {
            cutAndMute->access()[readers[i]] = store_access::mute;
        }
    }
    cutAndMute->fleet().run(500ms);
    cutAndMute->change(2);
    cutAndMute->fleet().run(Small.limit);
    for (std::size_t node = 0; node < cutAndMute->fleet().size(); ++node) {
        const bool excused = cutAndMute->access()[node] != store_access::served;
        cr_assert(excused || cutAndMute->isKnown(node), "node %zu", node);
    }
}

Test(reader_hand_over, a_node_that_is_cut_off_from_all_others_reads_for_itself)
{
    const auto simulation = settled(Small);
    const std::vector<std::size_t> readers = simulation->readers();
    const std::size_t cut = firstBeside(readers);
    for (std::size_t other = 0; other < simulation->fleet().size(); ++other) {
        simulation->fleet().setLinkBlocked(cut, other);
        simulation->fleet().setLinkBlocked(other, cut);
    }
    expectKnown(*simulation, 2, Small.limit, "cut off from all others");
}

Test(reader_hand_over, a_data_centre_that_is_turned_away_hears_from_the_others)
{
    const auto simulation = settled(Small);
    for (std::size_t i = 0; i < Small.nodes; ++i) {
        simulation->access()[i] = store_access::refused;
    }
    simulation->fleet().run(5s);
    simulation->change(2);
    simulation->fleet().run(Small.limit);
    for (std::size_t i = 0; i < simulation->fleet().size(); ++i) {
        cr_assert(simulation->isKnown(i), "node %zu", i);
    }
}

Test(reader_hand_over, a_node_that_starts_while_both_readers_are_refused_follows_the_store)
{
    const auto simulation = settled(Small);
    const std::vector<std::size_t> readers = simulation->readers();
    setAccess(*simulation, readers, store_access::refused);
    const std::size_t fresh = firstBeside(readers);
    simulation->fleet().restart(fresh, 2);
    simulation->fleet().run(1s);
    expectKnown(*simulation, 2, Small.limit, "restarted");
}

// The nodes that are served again must know a change within the time in which they count as served (contact time 3 s) and its limit.
Test(reader_hand_over, a_node_that_is_served_again_after_an_outage_of_all_reads_in_time)
{
    for (const std::chrono::milliseconds outage : {2s, 7s, 61s}) {
        const auto simulation = settled(Small, Seed + static_cast<std::uint64_t>(outage.count()));
        std::fill(simulation->access().begin(), simulation->access().end(), store_access::mute);
        simulation->fleet().run(outage);
        simulation->access()[4] = store_access::served;
        expectKnown(*simulation, 2, 3s + Small.limit - 500ms, "served again"); // a request 500 ms before the end of both times is in time
    }
}

Test(reader_hand_over, calls_are_bounded_during_an_outage_and_after_it)
{
    const auto simulation = settled(Grown);
    gossip_simulation &fleet = simulation->fleet();
    const auto nodes = static_cast<double>(fleet.size());
    const auto callsIn = [&](std::chrono::seconds span) {
        simulation->consumeCalls();
        fleet.run(span);
        return static_cast<double>(simulation->consumeCalls()) / static_cast<double>(span.count());
    };
    const double usual = callsIn(10s);
    cr_assert(usual <= 2.0 * Grown.dataCentres * ReadersPerDataCentre + 1.0, "%.1f calls a second", usual);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        simulation->access()[i] = store_access::refused;
    }
    for (int second = 0; second < 10; ++second) {
        const double calls = callsIn(1s);
        cr_assert(calls <= nodes + usual, "%.1f calls in second %d", calls, second); // the readers go on as usual, and each node tries once
    }
    const double later = callsIn(60s);
    cr_assert(later <= nodes / 2, "%.1f calls a second", later); // SearchPause is 2 s
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        simulation->access()[i] = store_access::served;
    }
    cr_assert(callsIn(1s) <= nodes + usual);
    fleet.run(5s);
    cr_assert(callsIn(10s) <= usual + 2.0);
    cr_assert(simulation->readers().size() == Grown.dataCentres * ReadersPerDataCentre);
}

Test(reader_hand_over, readers_that_are_served_again_do_not_read_beside_the_others)
{
    const auto simulation = settled(Grown);
    setAccess(*simulation, simulation->readers(), store_access::refused);
    simulation->fleet().run(3s);
    for (store_access &each : simulation->access()) {
        each = store_access::served;
    }
    simulation->fleet().run(2s);
    for (int i = 0; i < 40; ++i) {
        simulation->fleet().run(250ms);
        cr_assert(simulation->readers().size() == Grown.dataCentres * ReadersPerDataCentre, "%zu readers", simulation->readers().size());
    }
}

Test(reader_hand_over, no_search_begins_while_the_store_serves_the_readers)
{
    for (const fleet_size &size : {Small, FullSizeDataCentre}) {
        const auto simulation = settled(size);
        anySearch(simulation->fleet());
        simulation->fleet().run(60s);
        cr_assert(not(anySearch(simulation->fleet())), "%zu nodes", size.nodes);
    }
}
