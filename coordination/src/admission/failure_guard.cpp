#include <dandelionstall/coordination/admission/failure_guard.h>

#include <dandelionstall/coordination/errors.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <set>

namespace dandelionstall::coordination {

namespace {

using seconds = std::chrono::duration<double>;

constexpr double LongRunRisk = 0.2;             // average share of time for which a worker is unhealthy; the estimate without outcomes
constexpr seconds DriftTime{2.5};               // time constant of the drift to LongRunRisk: after this time about a third of the difference remains
constexpr double HealthyFailureShare = 0.02;    // share of its work that a healthy worker fails
constexpr double UnhealthyFailureShare = 0.75;  // share of its work that an unhealthy worker fails
constexpr double NonIdempotentRiskLimit = 0.25; // above this risk, non-idempotent work is refused
constexpr double TwoTrialsRiskLimit = 0.5;      // up to this risk, two trials run at a time; above it, one
constexpr double MinRisk = 0.002;               // lower bound of the estimate, whatever the number of successes

// Accepted risk after no refusal, after one, and after two or more.
constexpr std::array AcceptedRisks{0.0, 0.35, 0.55};

class bayesian_guard final : public failure_guard
{
public:
    bool admits(const guarded_item &item, state::time_point now) const override
    {
        const double riskNow = risk(now);
        if (riskNow <= std::max(NonIdempotentRiskLimit, item.acceptedRisk)) {
            return true;
        }
        const std::size_t maxTrials = riskNow <= TwoTrialsRiskLimit ? 2 : 1;
        return item.idempotent && riskNow <= TrialRiskLimit && m_trials.size() < maxTrials;
    }

    void recordStart(const guarded_item &item, state::time_point now) override
    {
        m_startedAt[item.id] = now;
        if (risk(now) > NonIdempotentRiskLimit) {
            m_trials.insert(item.id);
        }
    }

    void recordOutcome(const state::attempt_id &id, bool failed, state::time_point now) override
    {
        m_trials.erase(id);
        const state::time_point startedAt = consumeStartTime(id);
        if (!failed && startedAt <= m_lastFailureAt) {
            return; // started before the last failure; unhealthy workers fail work at its start, so this success proves nothing
        }
        m_lastFailureAt = failed ? now : m_lastFailureAt;
        const double before = risk(now);
        const double ifUnhealthy = failed ? UnhealthyFailureShare : 1.0 - UnhealthyFailureShare;
        const double ifHealthy = failed ? HealthyFailureShare : 1.0 - HealthyFailureShare;
        m_risk = std::max(MinRisk, before * ifUnhealthy / (before * ifUnhealthy + (1.0 - before) * ifHealthy));
        m_lastOutcomeAt = now;
    }

    void discardAttempt(const state::attempt_id &id) override
    {
        m_trials.erase(id);
        m_startedAt.erase(id);
    }

    double risk(state::time_point now) const override
    {
        return driftRisk(m_risk, now - m_lastOutcomeAt);
    }

private:
    state::time_point consumeStartTime(const state::attempt_id &id)
    {
        const auto found = m_startedAt.find(id);
        const state::time_point startTime = found == m_startedAt.end() ? state::time_point::max() : found->second;
        m_startedAt.erase(id);
        return startTime;
    }

    double m_risk = LongRunRisk;
    state::time_point m_lastOutcomeAt; // time of the last outcome; epoch when there was none
    state::time_point m_lastFailureAt; // time of the last failure; epoch when there was none
    std::set<state::attempt_id> m_trials;
    std::map<state::attempt_id, state::time_point> m_startedAt; // start times of running attempts
};

class admit_all_guard final : public failure_guard
{
public:
    bool admits(const guarded_item &, state::time_point) const override
    {
        return true;
    }
    void recordStart(const guarded_item &, state::time_point) override
    { }
    void recordOutcome(const state::attempt_id &, bool, state::time_point) override
    { }
    void discardAttempt(const state::attempt_id &) override
    { }
    double risk(state::time_point) const override
    {
        return -1.0;
    }
};

} // namespace

double driftRisk(double risk, state::duration age)
{
    if (risk < 0.0) {
        return risk;
    }
    const double remaining = std::exp(-std::max(seconds(age), seconds(0)) / DriftTime);
    return LongRunRisk + (risk - LongRunRisk) * remaining;
}

double currentRisk(const worker_view &worker, state::time_point now)
{
    return worker.report.version == 0 ? 0.0 : std::max(0.0, driftRisk(worker.report.risk, now - worker.reportReceivedAt));
}

double acceptedRisk(std::size_t refusals)
{
    return AcceptedRisks.at(std::min(refusals, AcceptedRisks.size() - 1));
}

absl::StatusOr<std::unique_ptr<failure_guard>> makeFailureGuard(std::string_view name)
{
    if (name == "belief") {
        return std::make_unique<bayesian_guard>();
    }
    if (name == "off") {
        return std::make_unique<admit_all_guard>();
    }
    return makeError(coordination_error::unknown_policy, fmt::format("unknown failure guard \"{}\"", name));
}

} // namespace dandelionstall::coordination
