#include <dandelionstall/coordination/worker_outcome_tracker.h>

#include "route_costs.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <unordered_map>

namespace dandelionstall::coordination {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds WindowMs{5000};           // outcomes older than this are forgotten
constexpr std::size_t MaxOutcomes = 64;          // kept at a time
constexpr milliseconds LeastSpanMs{500};         // of the run of outcomes that is reported
constexpr std::size_t SlownessOutcomes = 9;      // latest answers whose median is the slowness
constexpr std::size_t LeastSlownessOutcomes = 5; // fewer say nothing
constexpr double OverdueFactor = 3.0;            // an item is overdue beyond this multiple of its expected cost ...
constexpr milliseconds OverdueMarginMs{50};      // ... plus this
constexpr double OvertakenTimeout = 0.5;         // blame for a timeout while later work was answered

// Per outcome, the log likelihood of a worker that fails 30 % of its work against one that fails 1 %.
constexpr double FailureScore = 3.4;
constexpr double SuccessScore = -0.35;

struct kept_outcome {
    state::time_point endedAt;
    double blame = 0.0; // 0 answered .. 1 failed
    double ratio = 0.0; // run time against the expected cost; 0 when not measured
    microseconds runTime{0};
};

struct running_item {
    std::string route;
    state::time_point startedAt;
    bool overtaken = false; // work that was started later has ended
};

class window_evidence final : public worker_outcome_tracker
{
public:
    void recordStart(const state::attempt_id &id, std::string_view route, state::time_point now) override
    {
        m_running[id] = running_item{std::string(route), now, false};
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
        if (sample.startedAt < m_trustedFrom || sample.outcome == work_outcome::refused) {
            return;
        }
        keep(sample, overtaken);
    }

    void recordProbe(bool ok, state::time_point) override
    {
        m_probeFailing = !ok;
    }

    void recordPause(state::time_point now) override
    {
        m_trustedFrom = now;
        m_outcomes.clear();
        m_probeFailing = false;
        for (auto &[id, item] : m_running) {
            item.startedAt = std::max(item.startedAt, now);
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
        for (auto &[id, item] : m_running) {
            item.overtaken = item.overtaken || item.startedAt < startedAt;
        }
    }

    void keep(const outcome_sample &sample, bool overtaken)
    {
        const auto runTime = std::chrono::duration_cast<microseconds>(sample.endedAt - sample.startedAt);
        kept_outcome outcome{sample.endedAt, 0.0, 0.0, runTime};
        if (sample.outcome == work_outcome::answered) {
            outcome.ratio = m_costs.costRatio(sample.route, sample.costHint, runTime);
            m_costs.learn(sample.route, sample.costHint, runTime);
        } else {
            outcome.blame = sample.outcome == work_outcome::timed_out && overtaken ? OvertakenTimeout : 1.0;
        }
        m_outcomes.push_back(outcome);
        if (m_outcomes.size() > MaxOutcomes) {
            m_outcomes.pop_front();
        }
    }

    std::size_t firstRecent(state::time_point now) const
    {
        const auto recent
            = std::find_if(m_outcomes.begin(), m_outcomes.end(), [now](const kept_outcome &outcome) { return now - outcome.endedAt <= WindowMs; });
        return static_cast<std::size_t>(recent - m_outcomes.begin());
    }

    // Reports the latest run of outcomes that speaks most clearly of failure, so that a fault shows as soon after a long
    // good run as after a short one. A run of good outcomes is reported whole.
    void fillFailures(worker_report &report, std::size_t first, state::time_point now) const
    {
        double score = 0.0;
        double bestScore = 0.0;
        std::size_t bestFirst = first;
        for (std::size_t i = m_outcomes.size(); i-- > first;) {
            const kept_outcome &outcome = m_outcomes[i];
            score += outcome.blame * FailureScore + (1.0 - outcome.blame) * SuccessScore;
            const bool longEnough = now - outcome.endedAt >= LeastSpanMs || i == first;
            if (longEnough && score > bestScore) {
                bestScore = score;
                bestFirst = i;
            }
        }
        double blame = 0.0;
        for (std::size_t i = bestFirst; i < m_outcomes.size(); ++i) {
            blame += m_outcomes[i].blame;
        }
        report.samples = static_cast<std::uint32_t>(m_outcomes.size() - bestFirst);
        report.successShare = report.samples == 0 ? 1.0 : 1.0 - blame / report.samples;
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
        if (ratios.size() >= LeastSlownessOutcomes) {
            const auto middle = ratios.begin() + static_cast<std::ptrdiff_t>(ratios.size() / 2);
            std::nth_element(ratios.begin(), middle, ratios.end());
            report.slowness = *middle;
        }
        const auto typical = std::chrono::duration<double, std::micro>(m_costs.typicalCost());
        report.latency = std::chrono::duration_cast<microseconds>(typical * report.slowness);
    }

    bool isOverdue(const running_item &item, state::time_point now) const
    {
        const microseconds expected = m_costs.expectedCost(item.route);
        return now - item.startedAt >= std::chrono::duration_cast<microseconds>(expected * OverdueFactor) + OverdueMarginMs;
    }

    void fillProgress(worker_report &report, state::time_point now) const
    {
        report.overdueCount = 0;
        report.longestOverdue = microseconds{0};
        for (const auto &[id, item] : m_running) {
            if (item.overtaken || !isOverdue(item, now)) {
                continue;
            }
            const auto age = std::chrono::duration_cast<microseconds>(now - item.startedAt);
            ++report.overdueCount;
            report.longestOverdue = std::max(report.longestOverdue, age - m_costs.expectedCost(item.route));
        }
    }

    std::deque<kept_outcome> m_outcomes; // by end, oldest first
    std::unordered_map<state::attempt_id, running_item> m_running;
    detail::route_costs m_costs;
    state::time_point m_trustedFrom;
    bool m_probeFailing = false;
};

} // namespace

std::unique_ptr<worker_outcome_tracker> makeWorkerOutcomeTracker()
{
    return std::make_unique<window_evidence>();
}

} // namespace dandelionstall::coordination
