#include <dandelionstall/coordination/failure_guard.h>

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

constexpr double LongRunRisk = 0.2;          // share of the time for which a worker is sick
constexpr seconds DriftTime{2.5};            // for about two thirds of the way back to it
constexpr double HealthyFailureShare = 0.02; // of the work of a healthy worker
constexpr double SickFailureShare = 0.75;    // of the work of a sick one
constexpr double UnrepeatableLimit = 0.25;   // more doubt keeps work out that must not run twice
constexpr double EvenRisk = 0.5;             // up to it two trials run at a time
constexpr double LeastRisk = 0.002;          // no number of successes proves more

// Risk taken after no refusal, one, and any more.
constexpr std::array AcceptedRisks{0.0, 0.35, 0.55};

class belief_guard final : public failure_guard
{
public:
    bool admits(const guarded_item &item, state::time_point now) const override
    {
        const double present = risk(now);
        if (present <= std::max(UnrepeatableLimit, item.acceptedRisk)) {
            return true;
        }
        const std::size_t trials = present <= EvenRisk ? 2 : 1;
        return item.idempotent && present <= TrialLimit && m_trials.size() < trials;
    }

    void recordStart(const guarded_item &item, state::time_point now) override
    {
        m_startedAt[item.id] = now;
        if (risk(now) > UnrepeatableLimit) {
            m_trials.insert(item.id);
        }
    }

    void recordOutcome(const state::attempt_id &id, bool failed, state::time_point now) override
    {
        m_trials.erase(id);
        const state::time_point startedAt = takeStart(id);
        if (!failed && startedAt <= m_failedAt) {
            return; // it began before the worker failed other work, and sick workers fail work as it begins
        }
        m_failedAt = failed ? now : m_failedAt;
        const double before = risk(now);
        const double ifSick = failed ? SickFailureShare : 1.0 - SickFailureShare;
        const double ifHealthy = failed ? HealthyFailureShare : 1.0 - HealthyFailureShare;
        m_risk = std::max(LeastRisk, before * ifSick / (before * ifSick + (1.0 - before) * ifHealthy));
        m_knownAt = now;
    }

    void discardAttempt(const state::attempt_id &id) override
    {
        m_trials.erase(id);
        m_startedAt.erase(id);
    }

    double risk(state::time_point now) const override
    {
        return driftRisk(m_risk, now - m_knownAt);
    }

private:
    state::time_point takeStart(const state::attempt_id &id)
    {
        const auto known = m_startedAt.find(id);
        const state::time_point at = known == m_startedAt.end() ? state::time_point::max() : known->second;
        m_startedAt.erase(id);
        return at;
    }

    double m_risk = LongRunRisk;
    state::time_point m_knownAt;  // last outcome; epoch when there was none
    state::time_point m_failedAt; // last failure; epoch when there was none
    std::set<state::attempt_id> m_trials;
    std::map<state::attempt_id, state::time_point> m_startedAt; // of running work
};

class open_guard final : public failure_guard
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
    const double kept = std::exp(-std::max(seconds(age), seconds(0)) / DriftTime);
    return LongRunRisk + (risk - LongRunRisk) * kept;
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
        return std::make_unique<belief_guard>();
    }
    if (name == "off") {
        return std::make_unique<open_guard>();
    }
    return makeError(coordination_error::unknown_policy, fmt::format("unknown failure guard \"{}\"", name));
}

} // namespace dandelionstall::coordination
