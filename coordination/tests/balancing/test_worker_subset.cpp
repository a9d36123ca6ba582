// Tests of coordination/balancing/worker_subset.h.
#include <dandelionstall/coordination/balancing/balancer.h>
#include <dandelionstall/coordination/balancing/worker_subset.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>

using namespace dandelionstall;
using namespace dandelionstall::coordination;

namespace {

constexpr std::size_t DataCentres = 5;

std::string dataCentreOf(std::size_t index)
{
    return fmt::format("dc-{}", index % DataCentres);
}

state::pool makePool(std::size_t workers)
{
    state::pool pool;
    for (std::size_t i = 0; i < workers; ++i) {
        pool.workers.push_back({fmt::format("w{}", i), dataCentreOf(i), {fmt::format("10.0.{}.{}", i / 250, i % 250 + 1), 7400}, 0});
    }
    return pool;
}

std::set<std::string> subsetOf(const state::pool &pool, const state::pool_worker &ingress)
{
    const pool_extent extent(pool);
    std::set<std::string> subset;
    for (const state::pool_worker &worker : pool.workers) {
        if (extent.isInSubset({ingress.node, ingress.dataCentre}, worker.id, worker.dataCentre)) {
            subset.insert(worker.id);
        }
    }
    return subset;
}

} // namespace

Test(worker_subset, a_small_pool_is_its_own_subset)
{
    const state::pool pool = makePool(SubsetWorkers);
    cr_assert(subsetOf(pool, pool.workers[3]).size() == SubsetWorkers);
}

// The number of ingresses that a sidecar tells of a change, and the number of workers that an ingress uses first.
Test(worker_subset, its_size_and_the_number_of_ingresses_of_a_worker_do_not_grow_with_the_pool)
{
    for (const std::size_t workers : {64U, 284U, 1000U}) {
        const state::pool pool = makePool(workers);
        std::map<std::string, std::size_t> ingresses;
        std::size_t largest = 0;
        for (const state::pool_worker &ingress : pool.workers) {
            const std::set<std::string> subset = subsetOf(pool, ingress);
            largest = std::max(largest, subset.size());
            for (const std::string &worker : subset) {
                ++ingresses[worker];
            }
        }
        const auto most = std::max_element(ingresses.begin(), ingresses.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        cr_assert(largest <= 2 * SubsetWorkers, "%zu workers: %zu in a subset", workers, largest);
        cr_assert(most->second <= 2 * SubsetWorkers, "%zu workers: %zu ingresses", workers, most->second);
        cr_assert(ingresses.size() == workers, "a worker in nobody's subset");
    }
}

Test(worker_subset, a_tenth_of_the_pool_that_leaves_changes_few_pairs)
{
    const state::pool before = makePool(284);
    state::pool after = before;
    std::erase_if(after.workers, [](const state::pool_worker &worker) { return worker.id.ends_with('7'); });
    std::size_t kept = 0;
    std::size_t changed = 0;
    for (const state::pool_worker &ingress : after.workers) {
        const std::set<std::string> earlier = subsetOf(before, ingress);
        for (const std::string &worker : subsetOf(after, ingress)) {
            ++(earlier.contains(worker) ? kept : changed);
        }
    }
    cr_assert(changed * 5 < kept, "%zu changed, %zu kept", changed, kept);
}

// When no worker of the subset can take the request at once, the whole pool is used.
Test(worker_subset, does_not_confine_a_request)
{
    const state::time_point now{std::chrono::seconds(1000)};
    const auto balancer = *makeBalancer("least_wait");
    pool_view view = makePoolView(makePool(100));
    for (std::size_t i = 0; i < view.workers.size(); ++i) {
        worker_view &worker = view.workers[i];
        worker.inSubset = i < 10;
        worker.report.version = 1;
        worker.report.latency = std::chrono::milliseconds(200);
        worker.reportReceivedAt = now;
    }
    pick_request request;
    request.dataCentre = "dc-0";
    request.now = now;
    const auto countOutside = [&] {
        std::size_t outside = 0;
        for (request.random = 1; request.random <= 200; ++request.random) {
            outside += view.workers[balancer->pick(view, request)].inSubset ? 0 : 1;
        }
        return outside;
    };
    cr_assert(countOutside() == 0);
    for (std::size_t i = 0; i < 10; ++i) {
        view.workers[i].report.expectedWait = std::chrono::seconds(2);
    }
    cr_assert(countOutside() == 200, "the subset is full");
    for (std::size_t i = 0; i < 10; ++i) {
        view.workers[i].report.expectedWait = {};
        view.workers[i].report.risk = 0.9;
    }
    cr_assert(countOutside() == 200, "the subset is at risk");
    for (std::size_t i = 0; i < 10; ++i) {
        view.workers[i].state = worker_state::ejected;
    }
    cr_assert(countOutside() == 200, "the subset is ejected");
}
