#include "balancer_policies.h"

#include <dandelionstall/coordination/failure_guard.h>

#include <algorithm>
#include <pcg_random.hpp>
#include <random>

namespace dandelionstall::coordination::detail {

namespace {

using std::chrono::duration;
using seconds = duration<double>;

constexpr seconds RemoteRoundTrip{0.010};  // to a worker in another data centre and back
constexpr seconds DefaultLatency{0.010};   // assumed run time of a worker that has reported none
constexpr double TrustLatencies = 1.0;     // a report is half trusted when this many run times old
constexpr double OwnLoadFactor = 2.0;      // own running attempts count for those of other nodes that nothing is known of yet
constexpr std::size_t LocalDraws = 2;      // candidates compared in the own data centre
constexpr std::size_t DistantDraws = 1;    // candidates compared in the whole pool, beside local ones
constexpr std::size_t Draws = 2;           // the same without local ones
constexpr seconds RiskCost{1.0};           // what a surely failing worker costs work that must not run twice
constexpr seconds RepeatableRiskCost{0.1}; // the same for work that is tried elsewhere
constexpr seconds RemoteByteCost{4e-6};    // of a byte that crosses between data centres, in waiting that it is worth
constexpr double LeastShare = 0.001;       // keeps draws possible

// Workers that a draw may choose from, with the running sum of their shares.
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
        const double share = std::max(worker.weight, LeastShare) * std::max<std::uint32_t>(worker.slots, 1);
        m_indices.push_back(index);
        m_sums.push_back((m_sums.empty() ? 0.0 : m_sums.back()) + share);
    }

    bool isEmpty() const
    {
        return m_indices.empty();
    }

    const std::vector<std::size_t> &indices() const
    {
        return m_indices;
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

// Scores workers by the time that a new item would wait there.
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
        m_typical = view.workers.empty() ? seconds{0} : sum / static_cast<double>(view.workers.size());
    }

    // An old report says little about the load now: it counts less, and the pool's typical load more.
    seconds operator()(std::size_t index) const
    {
        const worker_view &worker = m_view.workers[index];
        const seconds latency = latencyOf(worker);
        const seconds age = std::max(seconds{0}, seconds(m_request.now - worker.reportReceivedAt));
        const double trust = worker.report.version == 0 ? 0.0 : TrustLatencies * latency / (TrustLatencies * latency + age);
        const std::uint32_t own = index < m_request.inFlight.size() ? m_request.inFlight[index] : 0;
        const seconds ownLoad = latency * own / std::max<std::uint32_t>(worker.slots, 1);
        const seconds remote = RemoteRoundTrip + RemoteByteCost * static_cast<double>(m_request.answerBytes);
        const seconds distance = worker.dataCentre == m_request.dataCentre ? seconds{0} : remote;
        const seconds doubt = currentRisk(worker, m_request.now) * (m_request.idempotent ? RepeatableRiskCost : RiskCost);
        return doubt + seconds(worker.report.expectedWait) * trust + m_typical * (1.0 - trust) + ownLoad * OwnLoadFactor + distance;
    }

private:
    static seconds latencyOf(const worker_view &worker)
    {
        return worker.report.latency.count() > 0 ? seconds(worker.report.latency) : DefaultLatency;
    }

    const pool_view &m_view;
    const pick_request &m_request;
    seconds m_typical{0};
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
        keepTrusted(view, request, candidates);
        candidate_group all;
        candidate_group local;
        all.reserve(candidates.size());
        for (const std::size_t i : candidates) {
            const worker_view &worker = view.workers[i];
            const bool isLocal = worker.dataCentre == request.dataCentre;
            if (worker.id == request.preferred && isLocal) {
                return i;
            }
            all.add(i, worker);
            if (isLocal) {
                local.add(i, worker);
            }
        }
        const wait_estimate waitOf(view, request);
        return pickShortest(request, all, local, waitOf);
    }

private:
    // Leaves out the doubtful workers unless all are.
    static void keepTrusted(const pool_view &view, const pick_request &request, std::vector<std::size_t> &candidates)
    {
        const double limit = std::max(request.idempotent ? TrialLimit : TrustedRiskLimit, request.acceptedRisk);
        const auto isDoubtful = [&](std::size_t i) {
            return currentRisk(view.workers[i], request.now) > limit;
        };
        if (!std::all_of(candidates.begin(), candidates.end(), isDoubtful)) {
            std::erase_if(candidates, isDoubtful);
        }
    }

    static std::size_t pickShortest(const pick_request &request, const candidate_group &all, const candidate_group &local, const wait_estimate &waitOf)
    {
        pcg32 random(request.random);
        std::size_t best = NoWorker;
        if (request.isRetry) {
            for (const std::size_t index : all.indices()) {
                best = best == NoWorker || waitOf(index) < waitOf(best) ? index : best;
            }
            return best;
        }
        const auto consider = [&](const candidate_group &group, std::size_t draws) {
            for (std::size_t i = 0; i < draws; ++i) {
                const std::size_t index = group.draw(random);
                best = best == NoWorker || waitOf(index) < waitOf(best) ? index : best;
            }
        };
        if (!local.isEmpty()) {
            consider(local, LocalDraws);
        }
        consider(all, local.isEmpty() ? Draws : DistantDraws);
        return best;
    }

    // The floor leaves a usable worker unless all others are leaving or unreachable. Then work that may fail beats work that surely does.
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
