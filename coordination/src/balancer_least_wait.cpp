#include "balancer_policies.h"

#include <algorithm>
#include <array>
#include <pcg_random.hpp>
#include <random>

namespace dandelionstall::coordination::detail {

namespace {

using std::chrono::microseconds;

constexpr microseconds RemoteRoundTrip{10'000}; // to a worker in another data centre and back
constexpr microseconds DefaultLatency{10'000};  // assumed run time of a worker that has reported none
constexpr std::size_t DrawsPerGroup = 2;        // candidates compared per group

// Workers that a draw may choose from, with the running sum of their shares.
struct candidate_group {
    std::vector<std::size_t> indices;
    std::vector<double> sums;

    void add(std::size_t index, double share)
    {
        indices.push_back(index);
        sums.push_back((sums.empty() ? 0.0 : sums.back()) + share);
    }

    std::size_t draw(pcg32 &random) const
    {
        const double target = std::uniform_real_distribution<double>(0.0, sums.back())(random);
        const auto found = std::upper_bound(sums.begin(), sums.end(), target);
        return indices[std::min<std::size_t>(static_cast<std::size_t>(found - sums.begin()), indices.size() - 1)];
    }
};

double shareOf(const worker_view &worker)
{
    return std::max(worker.weight, 0.001) * std::max<std::uint32_t>(worker.slots, 1);
}

microseconds expectedWait(const worker_view &worker, std::size_t index, const pick_request &request)
{
    const microseconds latency = worker.report.latency.count() > 0 ? worker.report.latency : DefaultLatency;
    const std::uint32_t own = index < request.inFlight.size() ? request.inFlight[index] : 0;
    const microseconds ownShare = latency * own / std::max<std::uint32_t>(worker.slots, 1);
    const microseconds distance = worker.dataCentre == request.dataCentre ? microseconds{0} : RemoteRoundTrip;
    return worker.report.expectedWait + ownShare + distance;
}

class least_wait_balancer final : public balancer
{
public:
    std::size_t pick(const pool_view &view, const pick_request &request) const override
    {
        candidate_group all;
        candidate_group local;
        for (std::size_t i = 0; i < view.workers.size(); ++i) {
            const worker_view &worker = view.workers[i];
            if (!isCandidate(worker, request)) {
                continue;
            }
            if (worker.id == request.preferred) {
                return i;
            }
            all.add(i, shareOf(worker));
            if (worker.dataCentre == request.dataCentre) {
                local.add(i, shareOf(worker));
            }
        }
        return all.indices.empty() ? NoWorker : pickShortest(view, request, all, local);
    }

private:
    static std::size_t pickShortest(const pool_view &view, const pick_request &request, const candidate_group &all, const candidate_group &local)
    {
        pcg32 random(request.random);
        std::size_t best = NoWorker;
        for (const candidate_group *group : {&local, &all}) {
            for (std::size_t draw = 0; draw < DrawsPerGroup && !group->indices.empty(); ++draw) {
                const std::size_t index = group->draw(random);
                if (best == NoWorker || expectedWait(view.workers[index], index, request) < expectedWait(view.workers[best], best, request)) {
                    best = index;
                }
            }
        }
        return best;
    }
};

} // namespace

std::unique_ptr<balancer> makeLeastWaitBalancer()
{
    return std::make_unique<least_wait_balancer>();
}

} // namespace dandelionstall::coordination::detail
