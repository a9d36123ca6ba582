#include "ejector_findings.h"
#include "ejector_policies.h"

#include <dandelionstall/coordination/failure_guard.h>

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace dandelionstall::coordination::detail {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds FirstHoldMs{5000};      // of a first ejection; doubles with each further one
constexpr milliseconds LongestHoldMs{120'000}; // however often it was ejected
constexpr int HoldSpreadParts = 400;           // a hold is longer by up to 100 of these parts
constexpr milliseconds ForgetMs{120'000};      // one past ejection is forgotten per span without a new one
constexpr milliseconds GrowthStepMs{1000};     // between two steps of a growing share
constexpr std::uint32_t MostDoublings = 10;    // keeps the shift in range
constexpr std::uint32_t GrowthSamples = 2;     // successes of recent real work that allow a step on trial
constexpr double FirstWeight = 0.2;            // share at the start of a trial or a cold start
constexpr double StartingWeightLimit = 0.5;    // while the worker says that it is still starting
constexpr double GrowthFactor = 2.0;           // of the share per step

// One worker during a judgement.
struct case_file {
    const worker_view *worker = nullptr;
    worker_finding finding;
    ejection_record record; // becomes the new record
    bool marked = false;    // leaving or unreachable: no matter of ejection
    bool doubtful = false;  // its guard keeps work away, although it is not ejected
    bool wasEjected = false;
    bool wanted = false; // should be ejected if the floor allows it
};

bool isMark(worker_state state)
{
    return state == worker_state::leaving || state == worker_state::unreachable;
}

bool isOnTrial(const ejection_record &record)
{
    return record.state == worker_state::probation && record.reason != ejection_reason::cold_start;
}

std::uint32_t pastEjections(const ejection_record &record, state::time_point now)
{
    if (record.recentEjections == 0 || now <= record.ejectedUntil) {
        return record.recentEjections;
    }
    const auto forgotten = static_cast<std::uint64_t>((now - record.ejectedUntil) / ForgetMs);
    return forgotten >= record.recentEjections ? 0 : record.recentEjections - static_cast<std::uint32_t>(forgotten);
}

// Nodes end their holds at different times, so that a worker is not offered to all of them at once.
milliseconds holdAfter(std::uint32_t timesEjected, std::uint64_t spreadBits)
{
    const std::uint32_t doublings = std::min(timesEjected - 1, MostDoublings);
    const milliseconds hold = std::min(FirstHoldMs * (1U << doublings), LongestHoldMs);
    return hold + hold * static_cast<milliseconds::rep>(spreadBits % 100) / HoldSpreadParts;
}

void eject(case_file &entry, const ejection_input &input)
{
    const state::time_point now = input.now;
    ejection_record &record = entry.record;
    record.recentEjections = pastEjections(record, now) + 1;
    record.state = worker_state::ejected;
    record.reason = entry.finding.fault;
    record.severity = entry.finding.severity;
    record.lastEjectedAt = now;
    record.ejectedUntil = now + holdAfter(record.recentEjections, XXH3_64bits_withSeed(entry.worker->id.data(), entry.worker->id.size(), input.seed));
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

// A trial grows by real work that has succeeded since the last step; a cold start grows with time.
bool mayGrow(const case_file &entry, state::time_point now)
{
    if (now - entry.record.weightChangedAt < GrowthStepMs || entry.finding.severity > 0.0) {
        return false;
    }
    if (!isOnTrial(entry.record)) {
        return true;
    }
    return entry.finding.fresh && entry.worker->reportReceivedAt > entry.record.weightChangedAt && entry.worker->report.samples >= GrowthSamples;
}

void grow(case_file &entry, state::time_point now)
{
    if (!mayGrow(entry, now)) {
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

// Moves a worker on that is not to be ejected now.
void advance(case_file &entry, state::time_point now)
{
    const worker_report &report = entry.worker->report;
    ejection_record &record = entry.record;
    const bool restarted = record.incarnation != 0 && report.incarnation > record.incarnation;
    record.incarnation = std::max(record.incarnation, report.incarnation);
    if (record.state == worker_state::ejected) {
        beginProbation(record, ejection_reason::trial, now);
    } else if (record.state == worker_state::probation) {
        grow(entry, now);
    } else if (restarted || report.starting) {
        beginProbation(record, ejection_reason::cold_start, now);
    } else {
        record.state = report.version != 0 ? worker_state::healthy : worker_state::unknown;
        record.reason = ejection_reason::none;
        record.weight = 1.0;
    }
}

// Keeps a sick worker in use because the pool needs it.
void keepForFloor(case_file &entry, state::time_point now)
{
    if (entry.record.state == worker_state::probation && entry.record.reason == ejection_reason::floor) {
        return;
    }
    beginProbation(entry.record, ejection_reason::floor, now);
}

// What may be taken out of use.
class ejection_budget
{
public:
    ejection_budget(const pool_view &view, const std::vector<case_file> &cases)
        : m_leastWorkers(std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(view.floor * static_cast<double>(cases.size()) - 1e-9))))
    {
        double allSlots = 0.0;
        for (const case_file &entry : cases) {
            allSlots += entry.worker->slots;
            if (!entry.marked) {
                ++m_workers;
                m_trusted += entry.doubtful ? 0 : 1;
                m_slots += entry.worker->slots;
                m_grownSlots += grownSlots(entry);
            }
        }
        m_leastSlots = view.floor * allSlots - 1e-9;
    }

    bool allows(const case_file &entry) const
    {
        const bool withinFloor = m_workers > m_leastWorkers && m_slots - entry.worker->slots >= m_leastSlots;
        // A slow worker does its work: it must not go while too few are left that do.
        if (entry.finding.fault == ejection_reason::slow && !entry.doubtful && m_trusted <= m_leastWorkers) {
            return false;
        }
        // A new ejection must not rely on workers that have only begun to take work.
        return withinFloor && (entry.wasEjected || m_grownSlots - grownSlots(entry) >= m_leastSlots);
    }

    void spend(const case_file &entry)
    {
        --m_workers;
        m_trusted -= entry.doubtful ? 0 : 1;
        m_slots -= entry.worker->slots;
        m_grownSlots -= grownSlots(entry);
    }

private:
    static double grownSlots(const case_file &entry)
    {
        return entry.wasEjected ? 0.0 : entry.worker->slots * entry.record.weight;
    }

    std::size_t m_leastWorkers;
    std::size_t m_workers = 0;
    std::size_t m_trusted = 0; // of them, those that their guards do not keep work from
    double m_leastSlots = 0.0;
    double m_slots = 0.0;
    double m_grownSlots = 0.0;
};

class peer_outlier_ejector final : public ejector
{
public:
    ejection_records evaluate(const ejection_input &input, const ejection_records &before) const override
    {
        std::vector<case_file> cases = openCases(input, before);
        const bool selfDoubt = input.now < input.localHealth.suspectedUntil || input.localHealth.isolated;
        const bool reportDoubt = selfDoubt || mostLookSick(cases, false, {});
        // Cut off from other data centres is no reason for doubt as long as the own one is heard.
        const bool pathDoubt = selfDoubt || mostLookSick(cases, true, input.dataCentre);
        for (case_file &entry : cases) {
            const bool doubt = entry.finding.fault == ejection_reason::path ? pathDoubt : reportDoubt;
            entry.wanted = !entry.marked && (entry.wasEjected ? staysEjected(entry, selfDoubt, input.now) : !doubt && entry.finding.severity > 0.0);
        }
        settle(input, cases, selfDoubt);
        ejection_records after;
        for (case_file &entry : cases) {
            after.emplace(entry.worker->id, entry.record);
        }
        return after;
    }

private:
    static std::vector<case_file> openCases(const ejection_input &input, const ejection_records &before)
    {
        const peer_summary peers = summarisePeers(*input.view, input.now);
        std::vector<case_file> cases;
        cases.reserve(input.view->workers.size());
        for (const worker_view &worker : input.view->workers) {
            case_file entry;
            entry.worker = &worker;
            entry.marked = isMark(worker.state);
            entry.doubtful = currentRisk(worker, input.now) > TrustedRiskLimit;
            if (const auto known = before.find(worker.id); known != before.end()) {
                entry.record = known->second;
            }
            if (!entry.marked && isMark(entry.record.state)) {
                beginProbation(entry.record, ejection_reason::cold_start, input.now); // it has come back
            }
            entry.wasEjected = entry.record.state == worker_state::ejected;
            const auto path = input.paths.find(worker.id);
            const evidence_threshold level = isOnTrial(entry.record) ? evidence_threshold::strict : evidence_threshold::normal;
            entry.finding = evaluateWorker(worker, path == input.paths.end() ? path_health{} : path->second, peers, level, input.now);
            cases.push_back(entry);
        }
        return cases;
    }

    static bool isSick(const case_file &entry, bool byPath)
    {
        return entry.finding.severity > 0.0 && (entry.finding.fault == ejection_reason::path) == byPath;
    }

    // True when more than half of the workers in use show a fault of the kind: the cause is then not the workers.
    static bool mostLookSick(const std::vector<case_file> &cases, bool byPath, std::string_view dataCentre)
    {
        std::size_t inUse = 0;
        std::size_t sick = 0;
        for (const case_file &entry : cases) {
            if (entry.marked || entry.wasEjected || (!dataCentre.empty() && entry.worker->dataCentre != dataCentre)) {
                continue;
            }
            ++inUse;
            sick += isSick(entry, byPath) ? 1 : 0;
        }
        const bool tooFew = inUse < 2 && !dataCentre.empty();
        return tooFew ? mostLookSick(cases, byPath, {}) : sick * 2 > inUse;
    }

    static bool staysEjected(const case_file &entry, bool selfDoubt, state::time_point now)
    {
        return selfDoubt || now < entry.record.ejectedUntil || entry.finding.severity > 0.0;
    }

    static double rankOf(const case_file &entry)
    {
        return std::max(entry.finding.severity, entry.wasEjected ? entry.record.severity : 0.0);
    }

    // Ejects the worst as far as the floor allows, and moves all others on.
    static void settle(const ejection_input &input, std::vector<case_file> &cases, bool selfDoubt)
    {
        ejection_budget budget(*input.view, cases);
        for (case_file *entry : worstFirst(cases)) {
            if (!budget.allows(*entry)) {
                keepForFloor(*entry, input.now);
                continue;
            }
            budget.spend(*entry);
            if (!entry->wasEjected) {
                eject(*entry, input);
            }
        }
        for (case_file &entry : cases) {
            if (entry.marked) {
                entry.record.state = entry.worker->state;
            } else if (!entry.wanted && !selfDoubt) {
                advance(entry, input.now);
            }
        }
    }

    static std::vector<case_file *> worstFirst(std::vector<case_file> &cases)
    {
        std::vector<case_file *> wanted;
        for (case_file &entry : cases) {
            if (entry.wanted) {
                wanted.push_back(&entry);
            }
        }
        std::sort(wanted.begin(), wanted.end(), [](const case_file *a, const case_file *b) {
            const double rankA = rankOf(*a);
            const double rankB = rankOf(*b);
            return rankA != rankB ? rankA > rankB : a->worker->id < b->worker->id;
        });
        return wanted;
    }
};

} // namespace

std::unique_ptr<ejector> makePeerOutlierEjector()
{
    return std::make_unique<peer_outlier_ejector>();
}

} // namespace dandelionstall::coordination::detail
