// Simulates a pool of workers, each with its own admission policy and slots, under seeded random arrivals. Uses neither
// network nor clock.
//
// Items are placed at a random worker, or at the less loaded of two random workers, as a balancer would do.
//
// Index:
//   [SECTION] Set-up and result
//   [SECTION] Pools
//   [SECTION] Event loop
//   [SECTION] Achievable worth
#pragma once

#include <dandelionstall/coordination/admission/admission.h>

#include <pcg_random.hpp>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelionstall::bench {

using namespace coordination;
using state::duration;
using state::time_point;

// [SECTION] Set-up and result

// One class of requests.
struct work_class {
    std::string route;
    double worth = 1.0;
    std::chrono::milliseconds meanCost{0};
    std::chrono::milliseconds timeout{0};
    double share = 0.0;  // share of the offered slot time, 0..1
    bool isLong = false; // long work; not part of the reported latency of short work
};

// Size and load of a simulated pool.
struct pool_size {
    std::string name;
    std::uint32_t workers = 1;
    std::uint32_t slots = 1;
    std::vector<work_class> classes;
};

// Offered load until a time point of the run, as a multiple of the pool's capacity.
struct load_phase {
    time_point until;
    double load = 0.0;
};

struct run_setup {
    std::string policy;
    std::uint64_t seed = 0;
    std::vector<load_phase> phases;
    time_point measureFrom; // items offered and answers given from here until measureUntil are measured
    time_point measureUntil;
    double hiddenStragglers = 0.0; // share of items of each class that run StragglerFactor times as long without a hint
    bool balanced = true;          // false places items at a random worker
    bool withLong = true;          // false leaves out the long classes and their load
};

struct run_result {
    double worthAnswered = 0.0;                    // worth of items answered before their deadline
    double worthAchievable = 0.0;                  // worth when all slot time is filled with the classes of highest worth per time first
    double worthOpen = 0.0;                        // worth answered by items started in the measured period
    double achievableOpen = 0.0;                   // worthAchievable without the slot time of items that were running when the period began
    double worthHindsight = 0.0;                   // worthAchievable when the run time of each item is known beforehand
    double shortP99Ms = 0.0;                       // 99th percentile latency of short items; an item without an answer counts with its timeout
    double shortAnswered = 0.0;                    // answered share of the short items
    double longAnswered = 0.0;                     // answered share of the long items
    double wasted = 0.0;                           // share of the slot time spent on items without an answer
    double refusedAfterMs = 0.0;                   // mean time from offer to refusal
    std::map<std::string, std::uint64_t> refusals; // number of refusals by reason
};

inline constexpr double StragglerFactor = 100.0; // multiple of the run time of a hidden straggler
inline constexpr double RunTimeSigma = 0.4;      // standard deviation of the logarithm of run times
inline constexpr std::uint32_t QueuePlaces = 64; // queue length of each worker

// [SECTION] Pools

inline pool_size makeKiambu() // the pool of dressing orders
{
    using std::chrono::milliseconds;
    return {"kiambu",
            15,
            3,
            {{"booking", 5.0, milliseconds(40), milliseconds(2000), 0.15, false},
             {"lookup", 1.0, milliseconds(20), milliseconds(1000), 0.45, false},
             {"search", 0.5, milliseconds(30), milliseconds(1500), 0.25, false},
             {"manual", 4.0, milliseconds(2000), milliseconds(10'000), 0.15, true}}};
}

inline pool_size makeVaga() // the pool "tagdesk"
{
    using std::chrono::milliseconds;
    return {"vaga",
            23,
            5,
            {{"check", 3.0, milliseconds(10), milliseconds(500), 0.40, false},
             {"claim", 5.0, milliseconds(25), milliseconds(1000), 0.20, false},
             {"release", 4.0, milliseconds(15), milliseconds(2000), 0.15, false},
             {"listing", 0.5, milliseconds(30), milliseconds(1500), 0.10, false},
             {"receipts", 6.0, milliseconds(1500), milliseconds(15'000), 0.15, true}}};
}

// [SECTION] Event loop

namespace detail {

struct offered_item {
    std::size_t kind = 0;   // index of the item's class
    std::size_t worker = 0; // index of the worker that it was placed at
    time_point offeredAt;
    time_point deadline;
    duration runTime{0};
};

struct achievable_work {
    double density = 0.0; // worth per second
    double worth = 0.0;   // worth of the item
    double runTime = 0.0; // seconds
};

enum class event_kind { arrival, end, timer };

struct event {
    time_point at;
    std::uint64_t order = 0; // order of events at the same time
    event_kind kind = event_kind::arrival;
    std::uint64_t subject = 0; // index of the class (arrival), item (end) or worker (timer)

    friend bool operator>(const event &left, const event &right)
    {
        return left.at != right.at ? left.at > right.at : left.order > right.order;
    }
};

inline double toSeconds(duration span)
{
    return std::chrono::duration<double>(span).count();
}

inline duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

class pool_run
{
public:
    pool_run(const pool_size &pool, const run_setup &setup)
        : m_pool(pool)
        , m_setup(setup)
        , m_random(setup.seed)
    {
        for (std::uint32_t worker = 0; worker < pool.workers; ++worker) {
            m_workers.push_back(*makeAdmissionPolicy(setup.policy, {pool.slots, QueuePlaces}, setup.seed + worker));
        }
        m_timers.resize(pool.workers, time_point::max());
    }

    run_result run()
    {
        for (std::size_t kind = 0; kind < m_pool.classes.size(); ++kind) {
            scheduleArrival(kind, time_point{});
        }
        while (!m_events.empty()) {
            const event next = m_events.top();
            m_events.pop();
            handle(next);
        }
        return summarise();
    }

private:
    void handle(const event &next)
    {
        switch (next.kind) {
        case event_kind::arrival:
            offer(next.subject, next.at);
            scheduleArrival(next.subject, next.at);
            break;
        case event_kind::end:
            end(next.subject, next.at);
            break;
        case event_kind::timer:
            if (m_timers[next.subject] == next.at) {
                m_timers[next.subject] = time_point::max();
                applyActions(next.subject, m_workers[next.subject]->advance(next.at), next.at);
            }
            break;
        }
    }

    void schedule(time_point at, event_kind kind, std::uint64_t subject)
    {
        m_events.push({at, m_order++, kind, subject});
    }

    double loadAt(time_point now) const
    {
        for (const load_phase &phase : m_setup.phases) {
            if (now < phase.until) {
                return phase.load;
            }
        }
        return 0.0;
    }

    void scheduleArrival(std::size_t kind, time_point now)
    {
        const work_class &work = m_pool.classes[kind];
        const double slots = static_cast<double>(m_pool.workers) * m_pool.slots;
        const double rate = loadAt(now) * slots * work.share / toSeconds(work.meanCost);
        if (rate > 0.0 && (m_setup.withLong || !work.isLong)) {
            schedule(now + fromSeconds(std::exponential_distribution<double>(rate)(m_random)), event_kind::arrival, kind);
        }
    }

    duration drawRunTime(const work_class &work)
    {
        const double mean = toSeconds(work.meanCost);
        const double factor = std::lognormal_distribution<double>(-RunTimeSigma * RunTimeSigma / 2, RunTimeSigma)(m_random);
        const bool straggles = std::uniform_real_distribution<double>()(m_random) < m_setup.hiddenStragglers;
        return fromSeconds(mean * factor * (straggles ? StragglerFactor : 1.0));
    }

    std::size_t selectWorker(time_point now)
    {
        const std::size_t left = m_random(m_pool.workers);
        if (!m_setup.balanced) {
            return left;
        }
        const std::size_t right = m_random(m_pool.workers);
        const auto loadOf = [&](std::size_t worker) {
            const admission_load load = m_workers[worker]->load(now);
            return load.busy + load.queued;
        };
        return loadOf(left) <= loadOf(right) ? left : right;
    }

    void offer(std::size_t kind, time_point now)
    {
        const work_class &work = m_pool.classes[kind];
        const std::size_t worker = selectWorker(now);
        const state::attempt_id id{1, m_items.size()};
        m_items.push_back({kind, worker, now, now + work.timeout, drawRunTime(work)});
        m_answeredAt.push_back(time_point::max());
        applyActions(worker, m_workers[worker]->offer({.id = id, .route = work.route, .worth = work.worth, .deadline = now + work.timeout}, now), now);
    }

    void end(std::uint64_t sequence, time_point now)
    {
        const offered_item &item = m_items[sequence];
        const bool answered = m_startedAt.at(sequence) + item.runTime <= now;
        if (answered) {
            m_answeredAt[sequence] = now;
        } else {
            m_wasted += toSeconds(now - m_startedAt.at(sequence));
        }
        if (m_startedAt.at(sequence) < m_setup.measureFrom && now > m_setup.measureFrom) {
            m_committed += toSeconds(std::min(now, m_setup.measureUntil) - m_setup.measureFrom);
            m_committedWorth += answered && isMeasured(now) ? m_pool.classes[item.kind].worth : 0.0;
        }
        m_startedAt.erase(sequence);
        const work_result result = answered ? work_result::answered : work_result::abandoned;
        applyActions(item.worker, m_workers[item.worker]->finish({1, sequence}, result, now), now);
    }

    // Starts and refuses items as decided by a worker's admission policy. A started item ends with its answer, or is aborted
    // at its deadline.
    void applyActions(std::size_t worker, const admission_actions &actions, time_point now)
    {
        for (const state::attempt_id &id : actions.start) {
            m_startedAt[id.sequence] = now;
            schedule(std::min(now + m_items[id.sequence].runTime, m_items[id.sequence].deadline), event_kind::end, id.sequence);
        }
        for (const admission_refusal &refusal : actions.refuse) {
            ++m_result.refusals[std::string(reasonName(refusal.reason))];
            m_refusedAfter += toSeconds(now - m_items[refusal.id.sequence].offeredAt);
        }
        const time_point timer = m_workers[worker]->nextAdvanceAt();
        if (timer != time_point::max() && timer != m_timers[worker]) {
            schedule(timer, event_kind::timer, worker);
        }
        m_timers[worker] = timer;
    }

    run_result summarise()
    {
        std::vector<double> latencies;
        double answered[2] = {0, 0};
        double offered[2] = {0, 0};
        for (std::size_t index = 0; index < m_items.size(); ++index) {
            const offered_item &item = m_items[index];
            const work_class &work = m_pool.classes[item.kind];
            const bool hasAnswer = m_answeredAt[index] != time_point::max();
            if (hasAnswer && isMeasured(m_answeredAt[index])) {
                m_result.worthAnswered += work.worth;
            }
            if (!isMeasured(item.offeredAt)) {
                continue;
            }
            offered[work.isLong] += 1;
            answered[work.isLong] += hasAnswer;
            if (!work.isLong) {
                latencies.push_back(1e3 * toSeconds((hasAnswer ? m_answeredAt[index] : item.deadline) - item.offeredAt));
            }
        }
        std::sort(latencies.begin(), latencies.end());
        m_result.shortP99Ms = latencies.empty() ? 0.0 : latencies[latencies.size() * 99 / 100];
        m_result.shortAnswered = answered[0] / std::max(offered[0], 1.0);
        m_result.longAnswered = answered[1] / std::max(offered[1], 1.0);
        m_result.wasted = m_wasted / (toSeconds(m_setup.phases.back().until - time_point{}) * m_pool.workers * m_pool.slots);
        std::uint64_t refused = 0;
        for (const auto &[reason, count] : m_result.refusals) {
            refused += count;
        }
        m_result.refusedAfterMs = 1e3 * m_refusedAfter / static_cast<double>(std::max<std::uint64_t>(refused, 1));
        m_result.worthAchievable = achievable(false, 0.0);
        m_result.worthOpen = m_result.worthAnswered - m_committedWorth;
        m_result.achievableOpen = achievable(false, m_committed);
        m_result.worthHindsight = achievable(true, 0.0);
        return m_result;
    }

    bool isMeasured(time_point at) const
    {
        return at >= m_setup.measureFrom && at < m_setup.measureUntil;
    }

    // [SECTION] Achievable worth

    // Fills the slot time of the measured period, less the seconds already used, with the offered items of highest worth per
    // time first. With hindsight, the real run times are used instead of the mean ones of the class.
    double achievable(bool hindsight, double usedSeconds) const
    {
        std::vector<achievable_work> work;
        for (const offered_item &item : m_items) {
            const work_class &kind = m_pool.classes[item.kind];
            const double runTime = toSeconds(item.runTime);
            if (isMeasured(item.offeredAt) && item.runTime <= item.deadline - item.offeredAt) {
                work.push_back({kind.worth / (hindsight ? runTime : toSeconds(kind.meanCost)), kind.worth, runTime});
            }
        }
        std::sort(work.begin(), work.end(), [](const auto &left, const auto &right) { return left.density > right.density; });
        double left = toSeconds(m_setup.measureUntil - m_setup.measureFrom) * m_pool.workers * m_pool.slots - usedSeconds;
        double worth = 0.0;
        for (const achievable_work &item : work) {
            worth += item.worth * std::min(1.0, left / item.runTime);
            left = std::max(0.0, left - item.runTime);
        }
        return worth;
    }

    const pool_size &m_pool;
    const run_setup &m_setup;
    pcg64 m_random;
    std::uint64_t m_order = 0;
    double m_wasted = 0.0;         // slot seconds spent on items without an answer
    double m_refusedAfter = 0.0;   // sum of the seconds from offer to refusal
    double m_committed = 0.0;      // slot seconds of the measured period used by items started before it
    double m_committedWorth = 0.0; // worth that those items answered in the measured period
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<admission_policy>> m_workers;
    std::vector<time_point> m_timers; // per worker: next call of advance(); max() when none
    std::vector<offered_item> m_items;
    std::vector<time_point> m_answeredAt;                      // per item: time of the answer; max() without one
    std::unordered_map<std::uint64_t, time_point> m_startedAt; // start time by index of the running item
    run_result m_result;
};

} // namespace detail

// Runs the simulation and returns its result.
inline run_result runPool(const pool_size &pool, const run_setup &setup)
{
    return detail::pool_run(pool, setup).run();
}

} // namespace dandelionstall::bench
