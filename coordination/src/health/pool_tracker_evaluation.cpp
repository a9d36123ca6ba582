// Evaluation of one pool: when it is due, its input for the ejector, and the view that comes of it. The rest is in pool_tracker.cpp.
#include <dandelionstall/coordination/health/pool_tracker.h>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds IdleIntervalMs{500};        // time between two evaluations of a pool without updates, ejected workers or workers on probation
constexpr milliseconds IdleIntervalPerPoolMs{14};  // minimum idle interval per tracked pool, except for local pools; limits the evaluations per second
constexpr milliseconds LoadIntervalPerWorkerMs{1}; // minimum time per worker between two evaluations without a sharp change
constexpr milliseconds PathWindowMs{3000};         // path failures older than this are ignored

bool hasUnresolvedEjection(const ejection_records &records)
{
    return std::any_of(records.begin(), records.end(), [](const auto &entry) {
        return entry.second.state == worker_state::ejected || entry.second.state == worker_state::probation;
    });
}

} // namespace

// The states leaving and unreachable come from membership or from the worker itself, and override the ejector's result.
void pool_tracker::applyNodeConditions(tracked_pool &pool) const
{
    for (worker_view &worker : pool.view.workers) {
        const auto known = m_nodeConditions.find(worker.node);
        const bool dead = known != m_nodeConditions.end() && known->second == node_condition::dead;
        const bool leaving = worker.announcedLeaving || worker.report.leaving || (known != m_nodeConditions.end() && known->second == node_condition::leaving);
        if (dead) {
            worker.state = worker_state::unreachable;
        } else if (leaving) {
            worker.state = worker_state::leaving;
        } else if (worker.state == worker_state::unreachable || worker.state == worker_state::leaving) {
            worker.state = worker_state::unknown;
        }
    }
}

ejection_input pool_tracker::makeEjectionInput(const tracked_pool &pool, state::time_point now) const
{
    ejection_input input;
    input.view = &pool.view;
    input.localHealth = m_localHealth;
    input.seed = m_seed;
    input.dataCentre = m_dataCentre;
    input.now = now;
    for (const worker_view &worker : pool.view.workers) {
        const auto known = m_paths.find(worker.node);
        if (known == m_paths.end()) {
            continue;
        }
        const path_record &path = known->second;
        const auto recent = std::count_if(path.failures.begin(), path.failures.end(), [now](state::time_point at) { return now - at <= PathWindowMs; });
        input.paths.emplace(worker.id, path_health{path.inboundUp, path.outboundUp, static_cast<std::uint32_t>(recent), 0});
    }
    return input;
}

milliseconds pool_tracker::idleEvaluationInterval(const tracked_pool &pool) const
{
    const bool local = pool.expiresAt == state::time_point::max();
    const milliseconds shared = IdleIntervalPerPoolMs * static_cast<std::int64_t>(m_pools.size());
    return local ? IdleIntervalMs : std::max(IdleIntervalMs, shared);
}

bool pool_tracker::evaluatePool(tracked_pool &pool, state::time_point now)
{
    const bool atOnce = pool.sharpChange || pool.evaluatedChanges != m_changeCount;
    if (!atOnce && now < (pool.changedSincePublished ? pool.nextLoadEvaluationAt : pool.nextEvaluationAt)) {
        return false;
    }
    pool.evaluatedChanges = m_changeCount;
    pool.sharpChange = false;
    pool.nextLoadEvaluationAt = now + LoadIntervalPerWorkerMs * static_cast<milliseconds::rep>(pool.view.workers.size());
    applyNodeConditions(pool);
    pool.ejectionRecords = pool.ejectionPolicy->evaluate(makeEjectionInput(pool, now), pool.ejectionRecords);
    applyEjectionRecords(pool.ejectionRecords, pool.view);
    pool.nextEvaluationAt = hasUnresolvedEjection(pool.ejectionRecords) ? pool.nextLoadEvaluationAt : now + idleEvaluationInterval(pool);
    const auto isSameResult = [](const worker_view &a, const worker_view &b) {
        return a.state == b.state && a.weight == b.weight;
    };
    const std::vector<worker_view> &current = pool.view.workers;
    const std::vector<worker_view> &published = pool.published->workers;
    if (!pool.changedSincePublished && std::equal(current.begin(), current.end(), published.begin(), published.end(), isSameResult)) {
        return false;
    }
    recordStateChanges(pool);
    pool.published = std::make_shared<const pool_view>(pool.view);
    pool.changedSincePublished = false;
    return true;
}

void pool_tracker::recordStateChanges(const tracked_pool &pool)
{
    const std::vector<worker_view> &published = pool.published->workers;
    for (std::size_t i = 0; i < published.size(); ++i) {
        const worker_view &worker = pool.view.workers[i];
        if (worker.state != published[i].state) {
            m_stateChanges[pool.view.name].insert(worker.id);
        }
    }
}

} // namespace dandelionstall::coordination
