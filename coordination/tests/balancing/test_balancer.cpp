// Tests of coordination/balancing/balancer.h.
#include <dandelionstall/coordination/balancing/balancer.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <algorithm>

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
        cr_assert(rc::check(name, [&policy, name] {
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
            const bool anyUsable = std::any_of(view.workers.begin(), view.workers.end(), isUsable);
            const bool lastResort = !anyUsable && std::string_view(name) == "least_wait" && view.workers[index].state == worker_state::ejected;
            RC_ASSERT(isUsable(view.workers[index]) || lastResort);
            RC_ASSERT(index != 0 && index != 3);
        }));
    }
    cr_assert(not(makeBalancer("fastest").ok()));
}

Test(balancer, prefers_the_local_data_centre_unless_its_waits_are_longer)
{
    const auto policy = makeBalancer("least_wait");
    pool_view view = makeView(6);
    const auto localPicks = [&] {
        pick_request request;
        request.dataCentre = "kiambu";
        int local = 0;
        for (request.random = 0; request.random < 200; ++request.random) {
            local += view.workers[(*policy)->pick(view, request)].dataCentre == "kiambu" ? 1 : 0;
        }
        return local;
    };
    cr_assert(eq(int, localPicks(), 200));
    for (worker_view &worker : view.workers) {
        worker.report.version = 1;
        worker.report.latency = std::chrono::milliseconds{50};
        worker.report.expectedWait = std::chrono::milliseconds{worker.dataCentre == "kiambu" ? 400 : 0};
    }
    cr_assert(lt(int, localPicks(), 120), "a worker of the other data centre is among the candidates in about half of the picks");
}

Test(balancer, avoids_workers_above_the_trial_risk_limit_until_their_risk_drifts_down)
{
    const auto policy = makeBalancer("least_wait");
    pool_view view = makeView(3);
    const state::time_point now = state::time_point{} + std::chrono::hours(1);
    for (worker_view &worker : view.workers) {
        worker.reportReceivedAt = now;
        worker.report.version = 1;
        worker.report.risk = 0.02;
        worker.report.expectedWait = std::chrono::milliseconds(400); // the unhealthy worker fails work immediately, so that it reports no wait
    }
    view.workers[0].report.risk = 0.98;
    view.workers[0].report.expectedWait = std::chrono::microseconds(0);
    pick_request request;
    request.now = now;
    request.idempotent = true;
    for (request.random = 0; request.random < 200; ++request.random) {
        cr_assert(ne(sz, (*policy)->pick(view, request), 0));
    }
    request.now = now + std::chrono::seconds(5); // its risk has drifted down: a trial shows whether the worker has recovered
    bool tried = false;
    for (request.random = 0; request.random < 200; ++request.random) {
        tried = tried || (*policy)->pick(view, request) == 0;
    }
    cr_assert(tried);
}

Test(balancer, retries_at_the_best_worker_of_the_pool)
{
    const auto policy = makeBalancer("least_wait");
    pool_view view = makeView(12);
    const state::time_point now = state::time_point{} + std::chrono::hours(1);
    for (worker_view &worker : view.workers) {
        worker.reportReceivedAt = now;
        worker.report.version = 1;
        worker.report.risk = 0.6;
    }
    view.workers[7].report.risk = 0.02;
    pick_request request;
    request.now = now;
    request.idempotent = true;
    request.isRetry = true;
    for (request.random = 0; request.random < 100; ++request.random) {
        cr_assert(eq(sz, (*policy)->pick(view, request), 7));
    }
}

Test(balancer, limits_workers_on_probation_to_their_weight_and_picks_the_preferred_worker)
{
    const auto policy = makeBalancer("least_wait");
    pool_view view = makeView(10);
    view.workers[3].state = worker_state::probation;
    view.workers[3].weight = 0.2;
    int picked = 0;
    pick_request request;
    for (request.random = 0; request.random < 2000; ++request.random) {
        picked += (*policy)->pick(view, request) == 3 ? 1 : 0;
    }
    cr_assert(gt(int, picked, 10));
    cr_assert(lt(int, picked, 120), "a worker with full weight would get 200 picks");
    request.preferredWorker = "w7";
    cr_assert(eq(sz, (*policy)->pick(view, request), 7));
}

Test(balancer, draws_a_limited_worker_less_often_but_not_never)
{
    const auto policy = makeBalancer("least_wait");
    pool_view view = makeView(6);
    for (worker_view &worker : view.workers) {
        worker.dataCentre = "kiambu";
    }
    view.workers[0].report.limit = limit_knowledge::limited;
    view.workers[0].report.rateLimit = 0.01;
    pick_request request;
    request.dataCentre = "kiambu";
    std::size_t limited = 0;
    constexpr std::size_t Picks = 6000;
    for (std::size_t i = 0; i < Picks; ++i) {
        request.random = i * 0x9e3779b97f4a7c15U;
        limited += (*policy)->pick(view, request) == 0 ? 1 : 0;
    }
    cr_assert(limited > Picks / 100 && limited < Picks / 6, "%zu", limited);
}
