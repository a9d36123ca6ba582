#include "ejector_findings.h"
#include "ejector_policies.h"

#include <dandelionstall/coordination/admission/failure_guard.h>

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace dandelionstall::coordination::detail {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds FirstEjectionMs{5000};    // duration of a first ejection; doubles with each further one
constexpr milliseconds MaxEjectionMs{120'000};   // upper limit of the duration of an ejection
constexpr int EjectionJitterParts = 400;         // an ejection is extended by 0 to 99 of this many parts of its duration
constexpr milliseconds EjectionDecayMs{120'000}; // the count of recent ejections falls by one per this time without an ejection
constexpr milliseconds GrowthStepMs{1000};       // minimum time between two increases of a weight
constexpr std::uint32_t MaxDoublings = 10;       // limits the exponent of the backoff, so that the shift does not overflow
constexpr std::uint32_t GrowthSamples = 2;       // outcomes of recent requests needed to increase the weight after an ejection
constexpr double FirstWeight = 0.2;              // weight at the start of a probation
constexpr double StartingWeightLimit = 0.5;      // maximum weight while the worker reports that it is starting
constexpr double GrowthFactor = 2.0;             // factor of each increase of a weight

// State of one worker during an evaluation.
struct worker_case {
    const worker_view *worker = nullptr;
    worker_finding finding;
    ejection_record record;   // copy of the previous record; becomes the new one
    bool overridden = false;  // leaving or unreachable; not evaluated for ejection
    bool highRisk = false;    // its risk is above LowRiskLimit: its failure guard refuses non-idempotent work, whether or not the worker is ejected
    bool wasEjected = false;  // was ejected before this evaluation
    bool ejectWanted = false; // is to be ejected if the floor allows it
};

bool isOverridingState(worker_state state)
{
    return state == worker_state::leaving || state == worker_state::unreachable;
}

bool isOnProbationAfterEjection(const ejection_record &record)
{
    return record.state == worker_state::probation && record.reason != ejection_reason::cold_start;
}

std::uint32_t pastEjections(const ejection_record &record, state::time_point now)
{
    if (record.recentEjections == 0 || now <= record.ejectedUntil) {
        return record.recentEjections;
    }
    const auto decayed = static_cast<std::uint64_t>((now - record.ejectedUntil) / EjectionDecayMs);
    return decayed >= record.recentEjections ? 0 : record.recentEjections - static_cast<std::uint32_t>(decayed);
}

// Nodes end their ejections at different times, so that not all of them send work to a re-admitted worker at once.
milliseconds ejectionDuration(std::uint32_t ejectionCount, std::uint64_t jitterBits)
{
    const std::uint32_t doublings = std::min(ejectionCount - 1, MaxDoublings);
    const milliseconds duration = std::min(FirstEjectionMs * (1U << doublings), MaxEjectionMs);
    return duration + duration * static_cast<milliseconds::rep>(jitterBits % 100) / EjectionJitterParts;
}

void eject(worker_case &entry, const ejection_input &input)
{
    const state::time_point now = input.now;
    ejection_record &record = entry.record;
    record.recentEjections = pastEjections(record, now) + 1;
    record.state = worker_state::ejected;
    record.reason = entry.finding.fault;
    record.severity = entry.finding.severity;
    record.lastEjectedAt = now;
    record.ejectedUntil = now + ejectionDuration(record.recentEjections, XXH3_64bits_withSeed(entry.worker->id.data(), entry.worker->id.size(), input.seed));
    record.weight = 0.0;
}

void beginProbation(ejection_record &record, ejection_reason reason, state::time_point now)
{
    record.state = worker_state::probation;
    record.reason = reason;
    record.probationStartedAt = now;
    record.weightChangedAt = now;
    record.weight = FirstWeight;
}

void endProbation(ejection_record &record)
{
    record.state = worker_state::healthy;
    record.reason = ejection_reason::none;
    record.severity = 0.0;
    record.weight = 1.0;
}

// After an ejection, the weight grows only if a report has arrived since the last increase that shows no fault and at
// least GrowthSamples recent outcomes. After a cold start, it grows with time alone.
bool canIncreaseWeight(const worker_case &entry, state::time_point now)
{
    if (now - entry.record.weightChangedAt < GrowthStepMs || entry.finding.severity > 0.0) {
        return false;
    }
    if (!isOnProbationAfterEjection(entry.record)) {
        return true;
    }
    return entry.finding.fresh && entry.worker->reportReceivedAt > entry.record.weightChangedAt && entry.worker->report.samples >= GrowthSamples;
}

void increaseWeight(worker_case &entry, state::time_point now)
{
    if (!canIncreaseWeight(entry, now)) {
        return;
    }
    ejection_record &record = entry.record;
    const bool starting = entry.worker->report.starting;
    const double limit = starting ? StartingWeightLimit : 1.0;
    record.weight = std::min(record.weight * GrowthFactor, limit);
    record.weightChangedAt = now;
    if (record.weight >= 1.0) {
        endProbation(record);
    }
}

// Updates the state of a worker that is not ejected in this evaluation.
void updateState(worker_case &entry, state::time_point now)
{
    const worker_report &report = entry.worker->report;
    ejection_record &record = entry.record;
    const bool restarted = record.incarnation != 0 && report.incarnation > record.incarnation;
    record.incarnation = std::max(record.incarnation, report.incarnation);
    if (record.state == worker_state::ejected) {
        beginProbation(record, ejection_reason::trial, now);
    } else if (record.state == worker_state::probation) {
        increaseWeight(entry, now);
    } else if (restarted || report.starting) {
        beginProbation(record, ejection_reason::cold_start, now);
    } else {
        record.state = report.version != 0 ? worker_state::healthy : worker_state::unknown;
        record.reason = ejection_reason::none;
        record.weight = 1.0;
    }
}

// Keeps an unhealthy worker in use, with a reduced weight, because the floor does not allow its ejection.
void keepInUse(worker_case &entry, state::time_point now)
{
    if (entry.record.state == worker_state::probation && entry.record.reason == ejection_reason::floor) {
        return;
    }
    beginProbation(entry.record, ejection_reason::floor, now);
}

// An ejected worker gets no requests and then shows no fault: the one that it was ejected for counts until it is in use again.
ejection_reason faultOf(const worker_case &entry)
{
    return entry.wasEjected && entry.finding.severity == 0.0 ? entry.record.reason : entry.finding.fault;
}

// Tracks how many workers and slots may still be ejected without violating the floor.
class ejection_budget
{
public:
    ejection_budget(const pool_view &view, const std::vector<worker_case> &cases)
        : m_minWorkers(std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(view.floor * static_cast<double>(cases.size()) - 1e-9))))
    {
        double allSlots = 0.0;
        for (const worker_case &entry : cases) {
            allSlots += entry.worker->slots;
            if (!entry.overridden) {
                ++m_workers;
                m_lowRiskWorkers += entry.highRisk ? 0 : 1;
                m_slots += entry.worker->slots;
                m_weightedSlots += weightedSlots(entry);
            }
        }
        m_minSlots = view.floor * allSlots - 1e-9;
    }

    bool allows(const worker_case &entry) const
    {
        const bool withinFloor = m_workers > m_minWorkers && m_slots - entry.worker->slots >= m_minSlots;
        // A slow worker still answers its requests: it stays in use while at most the floor's number of workers has a low risk.
        if (faultOf(entry) == ejection_reason::slow && !entry.highRisk && m_lowRiskWorkers <= m_minWorkers) {
            return false;
        }
        // For a new ejection, the remaining slots count by weight, and those of a worker with a rate limit as far as the rate can
        // fill them, so that it relies neither on workers on probation nor on slots that may not be used.
        return withinFloor && (entry.wasEjected || m_weightedSlots - weightedSlots(entry) >= m_minSlots);
    }

    void reserve(const worker_case &entry)
    {
        --m_workers;
        m_lowRiskWorkers -= entry.highRisk ? 0 : 1;
        m_slots -= entry.worker->slots;
        m_weightedSlots -= weightedSlots(entry);
    }

private:
    static double weightedSlots(const worker_case &entry)
    {
        return entry.wasEjected ? 0.0 : usableSlots(*entry.worker) * entry.record.weight;
    }

    std::size_t m_minWorkers;
    std::size_t m_workers = 0;
    std::size_t m_lowRiskWorkers = 0; // of m_workers, those without a high risk
    double m_minSlots = 0.0;
    double m_slots = 0.0;
    double m_weightedSlots = 0.0;
};

class peer_outlier_ejector final : public ejector
{
public:
    ejection_records evaluate(const ejection_input &input, const ejection_records &previous) const override
    {
        std::vector<worker_case> cases = makeCases(input, previous);
        const bool selfSuspected = input.now < input.localHealth.suspectedUntil || input.localHealth.isolated;
        const bool reportsUnreliable = selfSuspected || mostAreUnhealthy(cases, false, {});
        // Losing the paths to other data centres is no sign of a local fault while those within the local one work.
        const bool pathsUnreliable = selfSuspected || mostAreUnhealthy(cases, true, input.dataCentre);
        for (worker_case &entry : cases) {
            const bool unreliable = entry.finding.fault == ejection_reason::path ? pathsUnreliable : reportsUnreliable;
            entry.ejectWanted
                = !entry.overridden && (entry.wasEjected ? staysEjected(entry, selfSuspected, input.now) : !unreliable && entry.finding.severity > 0.0);
        }
        applyEjections(input, cases, selfSuspected);
        ejection_records updated;
        for (worker_case &entry : cases) {
            updated.emplace(entry.worker->id, entry.record);
        }
        return updated;
    }

private:
    static std::vector<worker_case> makeCases(const ejection_input &input, const ejection_records &previous)
    {
        const peer_summary peers = summarisePeers(*input.view, input.now);
        std::vector<worker_case> cases;
        cases.reserve(input.view->workers.size());
        for (const worker_view &worker : input.view->workers) {
            worker_case entry;
            entry.worker = &worker;
            entry.overridden = isOverridingState(worker.state);
            entry.highRisk = currentRisk(worker, input.now) > LowRiskLimit;
            if (const auto known = previous.find(worker.id); known != previous.end()) {
                entry.record = known->second;
            }
            if (!entry.overridden && isOverridingState(entry.record.state)) {
                beginProbation(entry.record, ejection_reason::cold_start, input.now); // the worker has returned
            }
            entry.wasEjected = entry.record.state == worker_state::ejected;
            const auto path = input.paths.find(worker.id);
            const evidence_threshold level = isOnProbationAfterEjection(entry.record) ? evidence_threshold::strict : evidence_threshold::normal;
            entry.finding = evaluateWorker(worker, path == input.paths.end() ? path_health{} : path->second, peers, level, input.now);
            cases.push_back(entry);
        }
        return cases;
    }

    static bool isUnhealthy(const worker_case &entry, bool byPath)
    {
        return entry.finding.severity > 0.0 && (entry.finding.fault == ejection_reason::path) == byPath;
    }

    // True when more than half of the workers in use show a fault of this kind: the cause is then likely not the workers.
    // With a data centre, only its workers count, unless fewer than two of them are in use.
    static bool mostAreUnhealthy(const std::vector<worker_case> &cases, bool byPath, std::string_view dataCentre)
    {
        std::size_t inUse = 0;
        std::size_t unhealthy = 0;
        for (const worker_case &entry : cases) {
            if (entry.overridden || entry.wasEjected || (!dataCentre.empty() && entry.worker->dataCentre != dataCentre)) {
                continue;
            }
            ++inUse;
            unhealthy += isUnhealthy(entry, byPath) ? 1 : 0;
        }
        const bool tooFewInUse = inUse < 2 && !dataCentre.empty();
        return tooFewInUse ? mostAreUnhealthy(cases, byPath, {}) : unhealthy * 2 > inUse;
    }

    static bool staysEjected(const worker_case &entry, bool selfSuspected, state::time_point now)
    {
        return selfSuspected || now < entry.record.ejectedUntil || entry.finding.severity > 0.0;
    }

    static double severityOf(const worker_case &entry)
    {
        return std::max(entry.finding.severity, entry.wasEjected ? entry.record.severity : 0.0);
    }

    // Ejects workers in order of severity as far as the floor allows, and updates the state of all others.
    static void applyEjections(const ejection_input &input, std::vector<worker_case> &cases, bool selfSuspected)
    {
        ejection_budget budget(*input.view, cases);
        for (worker_case *entry : sortedBySeverity(cases)) {
            if (!budget.allows(*entry)) {
                keepInUse(*entry, input.now);
                continue;
            }
            budget.reserve(*entry);
            if (!entry->wasEjected) {
                eject(*entry, input);
            }
        }
        for (worker_case &entry : cases) {
            if (entry.overridden) {
                entry.record.state = entry.worker->state;
            } else if (!entry.ejectWanted && !selfSuspected) {
                updateState(entry, input.now);
            }
        }
    }

    static std::vector<worker_case *> sortedBySeverity(std::vector<worker_case> &cases)
    {
        std::vector<worker_case *> ejectWanted;
        for (worker_case &entry : cases) {
            if (entry.ejectWanted) {
                ejectWanted.push_back(&entry);
            }
        }
        std::sort(ejectWanted.begin(), ejectWanted.end(), [](const worker_case *a, const worker_case *b) {
            const double severityA = severityOf(*a);
            const double severityB = severityOf(*b);
            return severityA != severityB ? severityA > severityB : a->worker->id < b->worker->id;
        });
        return ejectWanted;
    }
};

} // namespace

std::unique_ptr<ejector> makePeerOutlierEjector()
{
    return std::make_unique<peer_outlier_ejector>();
}

} // namespace dandelionstall::coordination::detail
