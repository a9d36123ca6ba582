// Promise: a worker whose end the platform's store has acknowledged gets no request two seconds later, whatever happens to the watches of
// the store, to the nodes and to writes that are held up.
//
// Mechanisms: worker_directory, see its table of what is believed about a worker's end.
#include "expect.h"
#include "store_fleet.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <thread>

using namespace dandelionstall::testing;

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Nodes = store_fleet::Nodes;
constexpr milliseconds DrainTime{2000}; // from the acknowledgement of the store; see bound.drainMs in store_fleet.cpp
constexpr milliseconds CalmTime{3000};  // reads of the store before a test changes anything

// Sends requests through all nodes and expects that none reaches the worker at the place.
void expectNoRuns(const store_fleet &fleet, std::size_t place)
{
    const std::size_t runs = fleet.runsAt(place);
    for (std::size_t i = 0; i < 40; ++i) {
        cr_assert(fleet.statusOf(i % Nodes, "/read/1") == "HTTP/1.1 200");
    }
    cr_assert(fleet.runsAt(place) == runs, "%zu requests reached worker w%zu", fleet.runsAt(place) - runs, place);
}

} // namespace

// Guards against requests to a worker whose removal the nodes held back for longer than DrainTime, since their watches were cut before it.
Test(worker_ends, a_removal_right_after_cut_watches_is_in_force_in_time)
{
    store_fleet fleet;
    fleet.start();
    std::this_thread::sleep_for(CalmTime);
    fleet.cutWatches();
    std::this_thread::sleep_for(milliseconds(20));
    fleet.removeEntry("w1");
    std::this_thread::sleep_for(DrainTime);
    expectNoRuns(fleet, 1);
}
