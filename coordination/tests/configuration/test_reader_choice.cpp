// Tests of coordination/configuration/reader_choice.h.
#include "membership/gossip_simulation.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <set>
#include <utility>

using namespace dandelionstall;
using namespace dandelionstall::coordination;

Test(reader_choice, bounds_the_readers_under_differing_views)
{
    // A node whose view lacks m members selects itself only if fewer than ReadersPerDataCentre + m members rank before it.
    cr_assert(rc::check("at most 2 + m readers when each view lacks at most m members", [] {
        const auto size = *rc::gen::inRange<std::size_t>(3, 60);
        const auto missing = *rc::gen::inRange<std::size_t>(0, 4);
        std::vector<state::node_address> all;
        for (std::size_t i = 0; i < size; ++i) {
            all.push_back(gossip_simulation::addressOf(i));
        }
        std::size_t readers = 0;
        for (const state::node_address &self : all) {
            std::vector<state::node_address> view = all;
            for (std::size_t i = 0; i < missing && view.size() > 1; ++i) {
                const auto missingIndex = *rc::gen::inRange<std::size_t>(0, view.size());
                if (view[missingIndex] != self) {
                    view.erase(view.begin() + static_cast<std::ptrdiff_t>(missingIndex));
                }
            }
            readers += isReader(self, view, reader_window{}) ? 1 : 0;
        }
        RC_ASSERT(readers <= ReadersPerDataCentre + missing);
    }));
}

namespace {

constexpr std::size_t Members = 7;
const state::time_point Start{std::chrono::seconds(100)};

std::vector<state::node_address> members(std::size_t count = Members)
{
    std::vector<state::node_address> all;
    for (std::size_t i = 0; i < count; ++i) {
        all.push_back(gossip_simulation::addressOf(i));
    }
    return all;
}

// The choice of the member at this place of the order.
reader_choice choiceAt(std::size_t place, std::size_t count = Members)
{
    const std::vector<state::node_address> order = chooseReaders(members(count), {0, reader_window{}.first, static_cast<std::uint32_t>(count)});
    reader_choice choice(order[place]);
    choice.setMembers(members(count));
    choice.start(Start);
    return choice;
}

void tickUntil(reader_choice &choice, state::time_point from, state::time_point until)
{
    for (state::time_point at = from; at <= until; at += TickInterval) {
        choice.tick(at);
    }
}

} // namespace

Test(reader_choice, every_settled_window_has_the_same_number_of_readers)
{
    const std::vector<state::node_address> all = members();
    std::set<state::node_address> seen;
    for (std::size_t place = 0; place < Members; ++place) {
        reader_choice choice = choiceAt(place);
        choice.recordPeerState({1, reader_window{}.first, FirstSearchWidth}, std::chrono::seconds(5), Start);
        choice.recordRead(Start); // ends the search
        const auto readers = chooseReaders(all, choice.window());
        cr_assert(readers.size() == ReadersPerDataCentre && readers.front() == chooseReaders(all, {0, reader_window{}.first, Members})[place == 1 ? 0 : place]);
        seen.insert(readers.begin(), readers.end());
    }
    cr_assert(seen.size() == all.size());
    cr_assert(chooseReaders({}, reader_window{}).empty());
}

Test(reader_choice, the_readers_end_their_window_without_reads_and_keep_it_with_reads)
{
    reader_choice choice = choiceAt(0);
    tickUntil(choice, Start, Start + DefaultReadGap - TickInterval);
    cr_assert(choice.window().round == 0 && choice.role() == reader_role::primary);
    choice.tick(Start + DefaultReadGap);
    cr_assert(choice.window().round == 1 && phaseOf(choice.window()) == reader_phase::searching && choice.consumeSearchStarted());
    choice.recordRead(Start + DefaultReadGap);
    cr_assert(choice.window().round == 2 && choice.role() == reader_role::primary);
    choice.recordPeerState(choice.window(), std::chrono::milliseconds(100), Start + DefaultReadGap * 2 - TickInterval); // the other one has read
    tickUntil(choice, Start + DefaultReadGap + TickInterval, Start + DefaultReadGap * 2 + TickInterval);
    cr_assert(choice.window().round == 2);
    choice.recordPeerState({5, reader_window{}.first, ReadersPerDataCentre}, MaxReadAge, Start + DefaultReadGap * 2);
    cr_assert(choice.window().round == 5);
}

Test(reader_choice, other_nodes_wait_longer_the_less_they_are_told)
{
    const auto endsAt = [](std::size_t place) {
        reader_choice choice = choiceAt(place);
        state::time_point at = Start;
        for (; choice.window().round == 0; at += TickInterval) {
            choice.tick(at);
        }
        return at - TickInterval - Start;
    };
    cr_assert(endsAt(0) == DefaultReadGap && endsAt(1) == DefaultReadGap);
    cr_assert(endsAt(2) == DefaultReadGap + StandbyDelay && endsAt(3) == DefaultReadGap + StandbyDelay);
    cr_assert(endsAt(4) == DefaultReadGap + OtherNodesDelay);
}

Test(reader_choice, a_search_comes_to_every_member_and_begins_again_after_a_pause)
{
    for (const std::size_t count : {std::size_t{1}, std::size_t{2}, std::size_t{9}, std::size_t{50}, std::size_t{227}}) {
        const std::vector<state::node_address> all = members(count);
        reader_choice choice = choiceAt(0, count);
        std::set<state::node_address> tried;
        state::time_point at = Start;
        for (std::uint32_t round = 0; round == 0 || phaseOf(choice.window()) != reader_phase::exhausted; at += TickInterval) {
            choice.tick(at);
            if (std::exchange(round, choice.window().round) != choice.window().round && phaseOf(choice.window()) == reader_phase::searching) {
                const auto window = chooseReaders(all, choice.window());
                tried.insert(window.begin(), window.end());
            }
        }
        cr_assert(tried.size() == count, "%zu of %zu", tried.size(), count);
        const std::uint32_t exhausted = choice.window().round;
        tickUntil(choice, at, at + SearchPause - TickInterval * 2);
        cr_assert(choice.window().round == exhausted);
        tickUntil(choice, at + SearchPause - TickInterval, at + SearchPause);
        cr_assert(phaseOf(choice.window()) == reader_phase::searching);
    }
}

Test(reader_choice, a_reader_that_reads_ends_a_search_of_others)
{
    reader_choice choice = choiceAt(1);
    const reader_window before = choice.window();
    choice.recordRead(Start);
    choice.recordPeerState({1, 12, FirstSearchWidth}, std::chrono::seconds(3), Start + std::chrono::milliseconds(100));
    cr_assert(choice.role() == reader_role::secondary && choice.window().round == 2);
    cr_assert(choice.window().first == before.first && choice.window().width == before.width, "both readers stay");
}

Test(reader_choice, a_pause_of_the_process_ends_no_window)
{
    reader_choice choice = choiceAt(0);
    choice.tick(Start);
    choice.tick(Start + std::chrono::seconds(20));
    cr_assert(choice.window().round == 0, "other nodes may have read in the meantime");
    tickUntil(choice, Start + std::chrono::seconds(20) + TickInterval, Start + std::chrono::seconds(20) + DefaultReadGap);
    cr_assert(choice.window().round == 1);
}

Test(reader_choice, nodes_that_hear_of_windows_in_any_order_agree)
{
    cr_assert(rc::check("the window in force does not depend on the order", [] {
        const auto windows = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 1000));
        std::vector<reader_window> heard;
        for (const std::uint64_t each : windows) {
            heard.push_back({static_cast<std::uint32_t>(each % 3), each / 3 % 7, static_cast<std::uint32_t>(1 + each / 21 % 8)});
        }
        const auto inForce = [](const std::vector<reader_window> &order) {
            reader_choice choice = choiceAt(Members - 1);
            for (const reader_window &each : order) {
                choice.recordPeerState(each, MaxReadAge, Start);
            }
            return choice.window();
        };
        std::vector<reader_window> reversed(heard.rbegin(), heard.rend());
        RC_ASSERT(inForce(heard) == inForce(reversed));
    }));
}

// Guards against a node on a VM that has just started, whose clock counts from that start: it took this time for an outage of the service,
// and held removals of workers back.
Test(reader_choice, a_node_that_knows_of_no_read_states_no_age)
{
    reader_choice choice = choiceAt(Members - 1);
    cr_assert(choice.serviceReadAge(Start) == MaxReadAge);
    choice.recordPeerState({}, MaxReadAge, Start);
    cr_assert(choice.serviceReadAge(Start) == MaxReadAge);
    choice.recordPeerState({}, std::chrono::milliseconds(50), Start);
    cr_assert(choice.serviceReadAge(Start) == std::chrono::milliseconds(50));
}
