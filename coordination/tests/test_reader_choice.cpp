// Tests of coordination/reader_choice.h.
#include "gossip_simulation.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <set>

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
            readers += isReader(self, view, 0) ? 1 : 0;
        }
        RC_ASSERT(readers <= ReadersPerDataCentre + missing);
    }));
}

Test(reader_choice, every_round_has_the_same_number_of_readers)
{
    std::vector<state::node_address> all;
    for (std::size_t i = 0; i < 7; ++i) {
        all.push_back(gossip_simulation::addressOf(i));
    }
    std::set<state::node_address> seen;
    for (std::uint32_t round = 0; round < 4; ++round) {
        const auto readers = chooseReaders(all, round);
        cr_assert(readers.size() == ReadersPerDataCentre);
        seen.insert(readers.begin(), readers.end());
    }
    cr_assert(seen.size() == all.size());
    cr_assert(chooseReaders({}, 0).empty());
}

Test(reader_choice, starts_the_next_round_without_reads_and_keeps_a_round_with_reads)
{
    const state::time_point start{std::chrono::seconds(100)};
    reader_choice choice;
    choice.start(start);
    choice.tick(start + ReaderHandOverTimeout - std::chrono::seconds(1));
    cr_assert(choice.round() == 0);
    choice.tick(start + ReaderHandOverTimeout);
    cr_assert(choice.round() == 1);
    choice.recordPeerState(1, std::chrono::seconds(1), start + ReaderHandOverTimeout * 2 - std::chrono::seconds(1));
    choice.tick(start + ReaderHandOverTimeout * 2);
    cr_assert(choice.round() == 1);
    choice.recordPeerState(5, std::chrono::seconds(200), start + ReaderHandOverTimeout * 2);
    cr_assert(choice.round() == 5);
}
