#include <dandelionstall/coordination/balancing/balancer.h>

#include <dandelionstall/coordination/errors.h>

#include "balancer_policies.h"

#include <algorithm>
#include <atomic>
#include <fmt/format.h>

namespace dandelionstall::coordination {

namespace detail {

bool isExcluded(const worker_view &worker, const pick_request &request)
{
    return std::find(request.exclude.begin(), request.exclude.end(), worker.id) != request.exclude.end();
}

bool isCandidate(const worker_view &worker, const pick_request &request)
{
    return isUsable(worker) && !isExcluded(worker, request);
}

} // namespace detail

namespace {

// Baseline for comparison: a uniformly random usable worker, regardless of load.
class random_balancer final : public balancer
{
public:
    std::size_t pick(const pool_view &view, const pick_request &request) const override
    {
        std::vector<std::size_t> candidates;
        for (std::size_t i = 0; i < view.workers.size(); ++i) {
            if (detail::isCandidate(view.workers[i], request)) {
                candidates.push_back(i);
            }
        }
        return candidates.empty() ? NoWorker : candidates[request.random % candidates.size()];
    }
};

// Baseline for comparison: the usable workers in rotation.
class round_robin_balancer final : public balancer
{
public:
    std::size_t pick(const pool_view &view, const pick_request &request) const override
    {
        const std::size_t size = view.workers.size();
        const std::uint64_t first = m_next.fetch_add(1, std::memory_order_relaxed);
        for (std::size_t step = 0; step < size; ++step) {
            const std::size_t index = (first + step) % size;
            if (detail::isCandidate(view.workers[index], request)) {
                return index;
            }
        }
        return NoWorker;
    }

private:
    mutable std::atomic<std::uint64_t> m_next{0};
};

} // namespace

absl::StatusOr<std::unique_ptr<balancer>> makeBalancer(std::string_view name)
{
    if (name == "least_wait") {
        return detail::makeLeastWaitBalancer();
    }
    if (name == "random") {
        return std::make_unique<random_balancer>();
    }
    if (name == "round_robin") {
        return std::make_unique<round_robin_balancer>();
    }
    return makeError(coordination_error::unknown_policy, fmt::format("unknown balancer \"{}\"", name));
}

} // namespace dandelionstall::coordination
