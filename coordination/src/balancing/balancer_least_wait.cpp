#include "balancer_policies.h"

#include <dandelionstall/coordination/admission/failure_guard.h>

#include <algorithm>
#include <pcg_random.hpp>
#include <random>

namespace dandelionstall::coordination::detail {

namespace {

using std::chrono::duration;
using seconds = duration<double>;

constexpr seconds RemoteRoundTrip{0.010};   // round trip to a worker in another data centre
constexpr seconds DefaultLatency{0.010};    // assumed run time of a worker that has reported none
constexpr double HalfWeightLatencies = 1.0; // age, in run times of the worker, at which its report counts half
constexpr double InFlightFactor = 2.0;      // weight of the local in-flight attempts; above 1 to account for attempts of other nodes that no report shows yet
constexpr std::size_t LocalDraws = 2;       // candidates drawn from the local data centre
constexpr std::size_t PoolDrawsBesideLocal = 1; // candidates drawn from the whole pool when there are local candidates
constexpr std::size_t PoolDraws = 2;            // candidates drawn from the whole pool when there are no local ones
constexpr seconds NonIdempotentRiskCost{1.0};   // cost of a certainly unhealthy worker for non-idempotent work, as additional wait
constexpr seconds IdempotentRiskCost{0.1};      // cost of such a worker for idempotent work, which can be retried at another worker
constexpr seconds RemoteByteCost{4e-6};         // additional wait accepted to avoid transferring one answer byte between data centres
constexpr double LimitedDrawShare = 0.25;       // least share of its slots for which a limited worker with room is drawn, so that its limit's end is noticed
constexpr seconds SpillWait{0.1};               // expected wait at the best worker of the subset above which the whole pool is considered as well
constexpr double MinWeight = 0.001;             // lower bound of a worker's weight, so that a draw is possible when all weights are 0

// Candidates for weighted random draws, with the cumulative sum of their shares (weight times slots).
class candidate_group
{
public:
    void reserve(std::size_t count)
    {
        m_indices.reserve(count);
        m_sums.reserve(count);
    }

    void add(std::size_t index, const worker_view &worker)
    {
        const double allSlots = std::max<std::uint32_t>(worker.slots, 1);
        const double slots = std::max(usableSlots(worker), LimitedDrawShare * allSlots);
        const double share = std::max(worker.weight, MinWeight) * slots;
        m_indices.push_back(index);
        m_sums.push_back((m_sums.empty() ? 0.0 : m_sums.back()) + share);
    }

    bool isEmpty() const
    {
        return m_indices.empty();
    }

    std::size_t draw(pcg32 &random) const
    {
        const double target = std::uniform_real_distribution<double>(0.0, m_sums.back())(random);
        const auto found = std::upper_bound(m_sums.begin(), m_sums.end(), target);
        return m_indices[std::min(static_cast<std::size_t>(found - m_sums.begin()), m_indices.size() - 1)];
    }

private:
    std::vector<std::size_t> m_indices;
    std::vector<double> m_sums;
};

// Estimates the cost of a worker for a new item: expected wait plus additions for distance and risk, in seconds of wait.
class wait_estimate
{
public:
    wait_estimate(const pool_view &view, const pick_request &request)
        : m_view(view)
        , m_request(request)
    {
        seconds sum{0};
        for (const worker_view &worker : view.workers) {
            sum += seconds(worker.report.expectedWait);
        }
        m_averageWait = view.workers.empty() ? seconds{0} : sum / static_cast<double>(view.workers.size());
    }

    // Expected wait for a slot. An old report says little about the present load: the older a report is, the less its expected wait
    // counts and the more the average wait of the pool.
    seconds queue(std::size_t index) const
    {
        const worker_view &worker = m_view.workers[index];
        const seconds latency = latencyOf(worker);
        const seconds age = std::max(seconds{0}, seconds(m_request.now - worker.reportReceivedAt));
        const double reportWeight = worker.report.version == 0 ? 0.0 : HalfWeightLatencies * latency / (HalfWeightLatencies * latency + age);
        const std::uint32_t inFlight = index < m_request.inFlight.size() ? m_request.inFlight[index] : 0;
        const seconds inFlightWait = latency * inFlight / std::max<std::uint32_t>(worker.slots, 1);
        return seconds(worker.report.expectedWait) * reportWeight + m_averageWait * (1.0 - reportWeight) + inFlightWait * InFlightFactor;
    }

    seconds operator()(std::size_t index) const
    {
        const worker_view &worker = m_view.workers[index];
        const seconds remoteCost = RemoteRoundTrip + RemoteByteCost * static_cast<double>(m_request.answerBytes);
        const seconds distanceCost = worker.dataCentre == m_request.dataCentre ? seconds{0} : remoteCost;
        const seconds riskCost = currentRisk(worker, m_request.now) * (m_request.idempotent ? IdempotentRiskCost : NonIdempotentRiskCost);
        return riskCost + queue(index) + distanceCost;
    }

private:
    static seconds latencyOf(const worker_view &worker)
    {
        return worker.report.latency.count() > 0 ? seconds(worker.report.latency) : DefaultLatency;
    }

    const pool_view &m_view;
    const pick_request &m_request;
    seconds m_averageWait{0};
};

class least_wait_balancer final : public balancer
{
public:
    std::size_t pick(const pool_view &view, const pick_request &request) const override
    {
        bool anyUsable = false;
        std::vector<std::size_t> candidates;
        candidates.reserve(view.workers.size());
        for (std::size_t i = 0; i < view.workers.size(); ++i) {
            const worker_view &worker = view.workers[i];
            anyUsable = anyUsable || isUsable(worker);
            if (isCandidate(worker, request)) {
                candidates.push_back(i);
            }
        }
        if (candidates.empty()) {
            return anyUsable ? NoWorker : pickEjected(view, request);
        }
        removeRisky(view, request, candidates);
        for (const std::size_t i : candidates) {
            if (view.workers[i].id == request.preferredWorker && view.workers[i].dataCentre == request.dataCentre) {
                return i;
            }
        }
        const wait_estimate waitOf(view, request);
        pcg32 random(request.random);
        const std::vector<std::size_t> subset = subsetOf(view, request, candidates);
        const std::size_t best = pickShortest(view, request, subset, waitOf, random);
        const bool fits = best != NoWorker && waitOf.queue(best) <= SpillWait;
        if (fits || subset.size() == candidates.size()) {
            return best;
        }
        const std::size_t other = pickShortest(view, request, candidates, waitOf, random);
        return best == NoWorker || waitOf(other) < waitOf(best) ? other : best;
    }

private:
    static std::vector<std::size_t> subsetOf(const pool_view &view, const pick_request &request, const std::vector<std::size_t> &candidates)
    {
        std::vector<std::size_t> subset = candidates;
        if (!request.wholePool) {
            std::erase_if(subset, [&view](std::size_t i) { return !view.workers[i].inSubset; });
        }
        return subset;
    }

    // Removes the candidates whose risk is above the limit of the request, unless all of them are above it.
    static void removeRisky(const pool_view &view, const pick_request &request, std::vector<std::size_t> &candidates)
    {
        const double limit = std::max(request.idempotent ? TrialRiskLimit : LowRiskLimit, request.acceptedRisk);
        const auto isRisky = [&](std::size_t i) {
            return currentRisk(view.workers[i], request.now) > limit;
        };
        if (!std::all_of(candidates.begin(), candidates.end(), isRisky)) {
            std::erase_if(candidates, isRisky);
        }
    }

    // Returns the best of a few drawn candidates, for a retry the best of all. NoWorker without candidates.
    static std::size_t
    pickShortest(const pool_view &view, const pick_request &request, const std::vector<std::size_t> &candidates, const wait_estimate &waitOf, pcg32 &random)
    {
        std::size_t best = NoWorker;
        const auto consider = [&](std::size_t index) {
            best = best == NoWorker || waitOf(index) < waitOf(best) ? index : best;
        };
        if (request.isRetry) {
            std::for_each(candidates.begin(), candidates.end(), consider);
            return best;
        }
        candidate_group all;
        candidate_group local;
        all.reserve(candidates.size());
        for (const std::size_t i : candidates) {
            const worker_view &worker = view.workers[i];
            all.add(i, worker);
            if (worker.dataCentre == request.dataCentre) {
                local.add(i, worker);
            }
        }
        for (std::size_t i = 0; i < LocalDraws && !local.isEmpty(); ++i) {
            consider(local.draw(random));
        }
        const std::size_t poolDraws = local.isEmpty() ? PoolDraws : PoolDrawsBesideLocal;
        for (std::size_t i = 0; i < poolDraws && !all.isEmpty(); ++i) {
            consider(all.draw(random));
        }
        return best;
    }

    // Called when the pool has no usable worker. The floor keeps some workers usable unless all workers that are not
    // ejected are leaving or unreachable. In that case an ejected worker, which may fail the work, is better than a certain
    // failure.
    static std::size_t pickEjected(const pool_view &view, const pick_request &request)
    {
        candidate_group ejected;
        for (std::size_t i = 0; i < view.workers.size(); ++i) {
            if (view.workers[i].state == worker_state::ejected && !isExcluded(view.workers[i], request)) {
                ejected.add(i, view.workers[i]);
            }
        }
        pcg32 random(request.random);
        return ejected.isEmpty() ? NoWorker : ejected.draw(random);
    }
};

} // namespace

std::unique_ptr<balancer> makeLeastWaitBalancer()
{
    return std::make_unique<least_wait_balancer>();
}

} // namespace dandelionstall::coordination::detail
