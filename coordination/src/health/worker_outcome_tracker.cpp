#include <dandelionstall/coordination/health/worker_outcome_tracker.h>

#include "admission/route_costs.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <unordered_map>

namespace dandelionstall::coordination {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds WindowMs{5000};         // outcomes older than this are not reported
constexpr std::size_t MaxOutcomes = 64;        // maximum number of stored outcomes
constexpr milliseconds MinSeriesSpanMs{500};   // minimum age of the oldest outcome in a reported series, unless all are reported
constexpr std::size_t SlownessOutcomes = 9;    // number of latest answers whose median run time ratio is the slowness
constexpr std::size_t MinSlownessOutcomes = 5; // with fewer answers the slowness is 1
constexpr double OverdueFactor = 3.0;          // a request is overdue after this multiple of its expected cost plus OverdueMarginMs
constexpr milliseconds OverdueMarginMs{50};    // added to the multiple of the expected cost
constexpr double OvertakenTimeoutWeight = 0.5; // failure weight of a timeout when a request that started later ended first

// Per outcome, the log likelihood ratio of a worker that fails 30 % of its requests to one that fails 1 %.
constexpr double FailureScore = 3.4;
constexpr double SuccessScore = -0.35;

struct stored_outcome {
    state::time_point endedAt;  // when the request ended
    double failureWeight = 0.0; // 0 when answered, 1 when failed; between them for an overtaken timeout
    double ratio = 0.0;         // run time divided by the expected cost; 0 when the request was not answered
    microseconds runTime{0};    // from start to end
};

struct running_request {
    std::string route;
    state::time_point startedAt;
    bool overtaken = false; // a request that started later has ended
};

class sliding_window_tracker final : public worker_outcome_tracker
{
public:
    void recordStart(const state::attempt_id &id, std::string_view route, state::time_point now) override
    {
        m_running[id] = running_request{std::string(route), now, false};
    }

    void recordEnd(const state::attempt_id &id, const outcome_sample &sample) override
    {
        const auto running = m_running.find(id);
        const bool overtaken = running != m_running.end() && running->second.overtaken;
        if (running != m_running.end()) {
            m_running.erase(running);
        }
        if (sample.outcome != work_outcome::timed_out) {
            markOvertaken(sample.startedAt);
        }
        if (sample.startedAt < m_validFrom || sample.outcome == work_outcome::refused) {
            return;
        }
        store(sample, overtaken);
    }

    void recordProbe(bool ok, state::time_point) override
    {
        m_probeFailing = !ok;
    }

    void recordPause(state::time_point now) override
    {
        m_validFrom = now;
        m_outcomes.clear();
        m_probeFailing = false;
        for (auto &[id, request] : m_running) {
            request.startedAt = std::max(request.startedAt, now);
        }
    }

    void fillReport(worker_report &report, state::time_point now) const override
    {
        const std::size_t first = firstRecent(now);
        fillFailures(report, first, now);
        fillSlowness(report, first);
        fillProgress(report, now);
        report.probeFailing = m_probeFailing;
    }

private:
    void markOvertaken(state::time_point startedAt)
    {
        for (auto &[id, request] : m_running) {
            request.overtaken = request.overtaken || request.startedAt < startedAt;
        }
    }

    void store(const outcome_sample &sample, bool overtaken)
    {
        const auto runTime = std::chrono::duration_cast<microseconds>(sample.endedAt - sample.startedAt);
        stored_outcome outcome{sample.endedAt, 0.0, 0.0, runTime};
        if (sample.outcome == work_outcome::answered) {
            outcome.ratio = m_costs.costRatio(sample.route, sample.costHint, runTime);
            m_costs.learn(sample.route, sample.costHint, runTime);
        } else {
            outcome.failureWeight = sample.outcome == work_outcome::timed_out && overtaken ? OvertakenTimeoutWeight : 1.0;
        }
        m_outcomes.push_back(outcome);
        if (m_outcomes.size() > MaxOutcomes) {
            m_outcomes.pop_front();
        }
    }

    std::size_t firstRecent(state::time_point now) const
    {
        const auto recent
            = std::find_if(m_outcomes.begin(), m_outcomes.end(), [now](const stored_outcome &outcome) { return now - outcome.endedAt <= WindowMs; });
        return static_cast<std::size_t>(recent - m_outcomes.begin());
    }

    // Reports the series of latest outcomes with the highest log likelihood ratio for failure, so that successes before a
    // fault don't delay its detection. If no series indicates failure, all recent outcomes are reported.
    void fillFailures(worker_report &report, std::size_t first, state::time_point now) const
    {
        double score = 0.0;
        double bestScore = 0.0;
        std::size_t bestFirst = first;
        for (std::size_t i = m_outcomes.size(); i-- > first;) {
            const stored_outcome &outcome = m_outcomes[i];
            score += outcome.failureWeight * FailureScore + (1.0 - outcome.failureWeight) * SuccessScore;
            const bool longEnough = now - outcome.endedAt >= MinSeriesSpanMs || i == first;
            if (longEnough && score > bestScore) {
                bestScore = score;
                bestFirst = i;
            }
        }
        double failureWeight = 0.0;
        for (std::size_t i = bestFirst; i < m_outcomes.size(); ++i) {
            failureWeight += m_outcomes[i].failureWeight;
        }
        report.samples = static_cast<std::uint32_t>(m_outcomes.size() - bestFirst);
        report.successShare = report.samples == 0 ? 1.0 : 1.0 - failureWeight / report.samples;
    }

    void fillSlowness(worker_report &report, std::size_t first) const
    {
        std::vector<double> ratios;
        for (std::size_t i = m_outcomes.size(); i-- > first && ratios.size() < SlownessOutcomes;) {
            if (m_outcomes[i].ratio > 0.0) {
                ratios.push_back(m_outcomes[i].ratio);
            }
        }
        report.slowness = 1.0;
        if (ratios.size() >= MinSlownessOutcomes) {
            const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
            std::nth_element(ratios.begin(), middle, ratios.end());
            report.slowness = *middle;
        }
        const auto typical = std::chrono::duration<double, std::micro>(m_costs.typicalCost());
        report.latency = std::chrono::duration_cast<microseconds>(typical * report.slowness);
    }

    bool isOverdue(const running_request &request, state::time_point now) const
    {
        const microseconds expected = m_costs.expectedCost(request.route);
        return now - request.startedAt >= std::chrono::duration_cast<microseconds>(expected * OverdueFactor) + OverdueMarginMs;
    }

    void fillProgress(worker_report &report, state::time_point now) const
    {
        report.overdueCount = 0;
        report.longestOverdue = microseconds{0};
        for (const auto &[id, request] : m_running) {
            if (request.overtaken || !isOverdue(request, now)) {
                continue;
            }
            const auto age = std::chrono::duration_cast<microseconds>(now - request.startedAt);
            ++report.overdueCount;
            report.longestOverdue = std::max(report.longestOverdue, age - m_costs.expectedCost(request.route));
        }
    }

    std::deque<stored_outcome> m_outcomes; // in order of recordEnd() calls, oldest first
    std::unordered_map<state::attempt_id, running_request> m_running;
    detail::route_costs m_costs;
    state::time_point m_validFrom; // outcomes of requests that started earlier are dropped
    bool m_probeFailing = false;
};

} // namespace

std::unique_ptr<worker_outcome_tracker> makeWorkerOutcomeTracker()
{
    return std::make_unique<sliding_window_tracker>();
}

} // namespace dandelionstall::coordination
