// Tests of coordination/health/pool_view.h.
#include <dandelionstall/coordination/health/pool_view.h>
#include <dandelionstall/coordination/limits/limits.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>

#include <cmath>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point Start{1h};

pool_view makeView(std::uint32_t nodes, worker_state others)
{
    pool_view view;
    for (std::uint32_t i = 0; i < nodes; ++i) {
        worker_view worker;
        worker.id = fmt::format("w{}", i);
        worker.node = {fmt::format("10.0.0.{}", i + 1), 7400};
        worker.state = i == 0 ? worker_state::healthy : others;
        view.workers.push_back(worker);
    }
    return view;
}

} // namespace

// Each node that is cut off sees all others as unreachable, while callers beside them are still served there. If it took over their
// shares, every node would admit the whole rate of an organisation.
Test(sharing_nodes, nodes_that_cannot_reach_each_other_do_not_all_admit_the_whole_rate)
{
    constexpr std::uint32_t Nodes = 6;
    constexpr double Rate = 60.0;
    std::uint32_t admitted = 0;
    for (std::uint32_t node = 0; node < Nodes; ++node) {
        const auto limiter = makeOrganisationLimiter(8, node);
        const std::uint32_t sharing = countSharingNodes(makeView(Nodes, worker_state::unreachable));
        for (state::time_point now = Start; now < Start + 10s; now += 5ms) {
            admitted += limiter->admit({"org", "route", Rate, sharing}, now).admitted ? 1 : 0;
        }
    }
    cr_assert_leq(admitted, 10 * Rate + Nodes * std::max(3.0, Rate / Nodes), "%u admitted in 10 s", admitted);
}

Test(sharing_nodes, workers_that_take_no_work_hold_no_share)
{
    cr_assert(eq(u32, countSharingNodes(makeView(6, worker_state::healthy)), 6));
    cr_assert(eq(u32, countSharingNodes(makeView(6, worker_state::probation)), 6));
    cr_assert(eq(u32, countSharingNodes(makeView(6, worker_state::ejected)), 1));
    cr_assert(eq(u32, countSharingNodes(makeView(6, worker_state::leaving)), 1));
}

Test(sharing_nodes, workers_on_one_node_share_as_one)
{
    pool_view view = makeView(3, worker_state::healthy);
    view.workers.push_back(view.workers.back());
    cr_assert(eq(u32, countSharingNodes(view), 3));
}

Test(limited_worker, counts_with_the_slots_that_its_rate_can_fill)
{
    worker_view worker;
    worker.slots = 3;
    worker.reportReceivedAt = Start;
    worker.report.latency = 200ms;
    cr_assert(usableSlots(worker) == 3.0);
    cr_assert(rateRoomAt(worker) == state::time_point{});
    worker.report.limit = limit_knowledge::limited;
    worker.report.rateLimit = 2.0;
    worker.report.roomAfter = 300ms;
    cr_assert(std::abs(usableSlots(worker) - 0.4) < 1e-9);
    cr_assert(rateRoomAt(worker) == Start + 300ms);
    worker.report.rateLimit = 1000.0;
    cr_assert(usableSlots(worker) == 3.0);
}
