// Tests of coordination/balancer.h.
#include <dandelionstall/coordination/balancer.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;

namespace {

pool_view makeView(std::size_t workers)
{
    pool_view view;
    for (std::size_t i = 0; i < workers; ++i) {
        worker_view worker;
        worker.id = "w" + std::to_string(i);
        worker.dataCentre = i % 2 == 0 ? "kiambu" : "thika";
        worker.slots = 3;
        view.workers.push_back(worker);
    }
    return view;
}

} // namespace

Test(balancer, never_picks_an_unusable_or_excluded_worker)
{
    for (const char *name : {"random", "round_robin", "least_wait"}) {
        const auto policy = makeBalancer(name);
        cr_assert(policy.ok());
        cr_assert(rc::check(name, [&policy] {
            pool_view view = makeView(*rc::gen::inRange<std::size_t>(1, 12));
            for (worker_view &worker : view.workers) {
                worker.state = static_cast<worker_state>(*rc::gen::inRange(0, 6));
            }
            const std::vector<std::string> exclude{"w0", "w3"};
            pick_request request;
            request.dataCentre = "kiambu";
            request.exclude = exclude;
            request.random = *rc::gen::arbitrary<std::uint64_t>();
            const std::size_t index = (*policy)->pick(view, request);
            RC_PRE(index != NoWorker);
            RC_ASSERT(isUsable(view.workers[index]));
            RC_ASSERT(index != 0 && index != 3);
        }));
    }
    cr_assert(not(makeBalancer("fastest").ok()));
}
