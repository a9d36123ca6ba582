// Tests of ejection by path events in coordination/health/pool_tracker.h.
#include <dandelionstall/coordination/health/pool_tracker.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>

#include <algorithm>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

// Six workers, three in each of two data centres; the local node is in the first one.
struct tracker_fixture {
    pool_tracker tracker{1, "kiambu"};
    state::time_point now{1000s};

    tracker_fixture()
    {
        auto table = std::make_shared<state::pool_table>();
        state::pool pool;
        pool.name = "catalogue";
        for (int i = 0; i < 6; ++i) {
            pool.workers.push_back({fmt::format("w{}", i), i < 3 ? "kiambu" : "thika", nodeOf(i), 3});
        }
        table->pools.push_back(pool);
        tracker.setTable(table, now);
        tracker.addLocalPool("catalogue");
    }

    static state::node_address nodeOf(int index)
    {
        return {"10.0.0.1", static_cast<std::uint16_t>(7000 + index)};
    }

    std::ptrdiff_t ejected()
    {
        tracker.evaluate(now);
        const auto &workers = tracker.views().begin()->second->workers;
        return std::count_if(workers.begin(), workers.end(), [](const worker_view &row) { return row.state == worker_state::ejected; });
    }
};

} // namespace

Test(health_paths, counts_a_burst_of_failed_attempts_once)
{
    tracker_fixture fixture;
    for (int i = 0; i < 8; ++i) {
        fixture.tracker.recordPathEvent(
            fixture.nodeOf(0), path_event::attempt_failed, fixture.now); // one unresponsive connection fails all its attempts at once
    }
    cr_assert(fixture.ejected() == 0);
    for (int i = 0; i < 2; ++i) {
        fixture.now += 200ms;
        fixture.tracker.recordPathEvent(fixture.nodeOf(0), path_event::attempt_failed, fixture.now);
    }
    cr_assert(fixture.ejected() == 1);
}

Test(health_paths, treats_an_answer_as_evidence_for_both_directions)
{
    tracker_fixture fixture;
    fixture.tracker.recordPathEvent(fixture.nodeOf(0), path_event::outbound_down, fixture.now);
    fixture.tracker.recordPathEvent(fixture.nodeOf(0), path_event::attempt_succeeded, fixture.now);
    cr_assert(fixture.ejected() == 0);
}

Test(health_paths, ejects_an_unreachable_data_centre_but_suspects_itself_when_the_local_one_is_unreachable)
{
    tracker_fixture fixture;
    for (int i = 3; i < 6; ++i) {
        fixture.tracker.recordPathEvent(fixture.nodeOf(i), path_event::inbound_down, fixture.now);
    }
    cr_assert(fixture.ejected() == 3);

    tracker_fixture isolated;
    for (int i = 0; i < 3; ++i) {
        isolated.tracker.recordPathEvent(isolated.nodeOf(i), path_event::inbound_down, isolated.now);
    }
    cr_assert(isolated.ejected() == 0);
}
