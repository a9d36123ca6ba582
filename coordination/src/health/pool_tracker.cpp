// Tables, reports, paths and conditions of nodes, and queries. The evaluation of a pool is in pool_tracker_evaluation.cpp.
#include <dandelionstall/coordination/health/pool_tracker.h>

#include <dandelionstall/coordination/balancing/worker_subset.h>

#include <algorithm>
#include <fmt/format.h>

#include <unordered_map>

namespace dandelionstall::coordination {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::minutes UnusedPoolLifetime{5}; // a pool that is not local expires when it has not been used for this long
constexpr milliseconds PauseSuspicionMs{1500};        // no ejections for this long after a process pause, so that fresh reports of all nodes can arrive
constexpr milliseconds PathFailureGapMs{100};         // failures less than this after the last counted one are not counted
constexpr std::size_t MaxPathFailures = 8;            // maximum number of failures stored per node
constexpr std::string_view DefaultEjector = "peer_outlier";

using worker_index = std::unordered_map<std::string_view, const worker_view *>; // by worker id

worker_index indexWorkers(const pool_view &view)
{
    worker_index index;
    index.reserve(view.workers.size());
    for (const worker_view &worker : view.workers) {
        index.emplace(worker.id, &worker);
    }
    return index;
}

// Copies the known state of workers that still exist on the same node.
void copyKnownState(const pool_view &previous, pool_view &updated)
{
    const worker_index index = indexWorkers(previous);
    for (worker_view &worker : updated.workers) {
        const auto found = index.find(worker.id);
        if (found == index.end() || found->second->node != worker.node) {
            continue;
        }
        const worker_view &known = *found->second;
        worker.state = known.state;
        worker.weight = known.weight;
        worker.report = known.report;
        worker.reportReceivedAt = known.reportReceivedAt;
        worker.incarnation = known.incarnation;
    }
}

// An unresponsive connection fails all its attempts at once: these count as one failure.
void recordFailure(std::vector<state::time_point> &failures, state::time_point now)
{
    if (!failures.empty() && now - failures.back() < PathFailureGapMs) {
        return;
    }
    failures.push_back(now);
    if (failures.size() > MaxPathFailures) {
        failures.erase(failures.begin());
    }
}

std::unique_ptr<ejector> makePolicy(const std::string &name)
{
    auto policy = makeEjector(name);
    return policy.ok() ? std::move(*policy) : std::move(*makeEjector(DefaultEjector));
}

std::string describe(const worker_view &worker, const ejection_record &record, state::time_point now)
{
    const auto reportAgeMs = std::chrono::duration_cast<milliseconds>(now - worker.reportReceivedAt).count();
    const std::string report = worker.report.version == 0 ? "no report yet"
                                                          : fmt::format("success {:.0f} % of {}, slowness {:.1f}, report {} ms old",
                                                                        worker.report.successShare * 100.0,
                                                                        worker.report.samples,
                                                                        worker.report.slowness,
                                                                        reportAgeMs);
    if (worker.state == worker_state::ejected) {
        const auto remainingMs = std::chrono::duration_cast<milliseconds>(record.ejectedUntil - now).count();
        return fmt::format("ejected for {}, hold ends in {} ms, ejected {} times lately; {}",
                           reasonName(record.reason),
                           std::max<milliseconds::rep>(remainingMs, 0),
                           record.recentEjections,
                           report);
    }
    if (worker.state == worker_state::probation) {
        return fmt::format("share {:.0f} % ({}); {}", record.weight * 100.0, reasonName(record.reason), report);
    }
    return fmt::format("{}; {}", stateName(worker.state), report);
}

} // namespace

pool_tracker::pool_tracker(std::uint64_t seed, std::string dataCentre, state::node_address self)
    : m_seed(seed)
    , m_dataCentre(std::move(dataCentre))
    , m_self(std::move(self))
{ }

void pool_tracker::setTable(std::shared_ptr<const state::pool_table> table, state::time_point now)
{
    m_table = std::move(table);
    std::map<std::string, tracked_pool, std::less<>> previous;
    previous.swap(m_pools);
    for (auto &[name, old] : previous) {
        tracked_pool *pool = track(name, old.expiresAt);
        if (pool == nullptr) {
            continue;
        }
        copyKnownState(old.view, pool->view);
        pool->ejectionRecords = std::move(old.ejectionRecords);
        const worker_index present = indexWorkers(pool->view);
        std::erase_if(pool->ejectionRecords, [&present](const auto &entry) { return !present.contains(entry.first); });
        pool->published = std::make_shared<const pool_view>(pool->view);
    }
    for (const auto &[name, local] : m_localPools) {
        track(name, state::time_point::max());
    }
    untrackExpired(now);
}

void pool_tracker::addLocalPool(std::string_view pool)
{
    m_localPools.emplace(pool, true);
    track(pool, state::time_point::max());
}

void pool_tracker::recordPoolUse(std::string_view pool, state::time_point now)
{
    track(pool, now + UnusedPoolLifetime);
}

bool pool_tracker::recordReport(const worker_report &report, state::time_point now)
{
    const auto pool = m_pools.find(report.pool);
    if (pool == m_pools.end()) {
        return false;
    }
    std::vector<worker_view> &workers = pool->second.view.workers;
    const auto worker = std::find_if(workers.begin(), workers.end(), [&report](const worker_view &row) { return row.id == report.worker; });
    if (worker == workers.end() || !isNewer(report, worker->report)) {
        return false;
    }
    pool->second.sharpChange = pool->second.sharpChange || isSharpChange(worker->report, report);
    worker->report = report;
    worker->reportReceivedAt = now;
    worker->incarnation = report.incarnation;
    worker->slots = report.slots != 0 ? report.slots : worker->slots;
    pool->second.changedSincePublished = true;
    return true;
}

void pool_tracker::recordPathEvent(const state::node_address &node, path_event event, state::time_point now)
{
    const bool good = event == path_event::attempt_succeeded || event == path_event::inbound_up || event == path_event::outbound_up;
    const auto known = m_paths.find(node);
    if (known == m_paths.end() && (good || !hasWorkerAt(node))) {
        return;
    }
    path_record &path = known == m_paths.end() ? m_paths[node] : known->second;
    bool changed = false;
    switch (event) {
    case path_event::attempt_succeeded:
        changed = !isFaultless(path);
        path = {};
        break;
    case path_event::attempt_failed:
        changed = true;
        recordFailure(path.failures, now);
        break;
    case path_event::inbound_down:
        changed = std::exchange(path.inboundUp, false);
        break;
    case path_event::inbound_up:
        changed = !std::exchange(path.inboundUp, true);
        break;
    case path_event::outbound_up:
        changed = !std::exchange(path.outboundUp, true);
        break;
    case path_event::outbound_down:
        changed = std::exchange(path.outboundUp, false);
        break;
    }
    m_changeCount += changed ? 1 : 0;
    if (isFaultless(path)) {
        m_paths.erase(node);
    }
}

void pool_tracker::recordNodeCondition(const state::node_address &node, node_condition condition, state::time_point)
{
    if (condition == node_condition::live) {
        m_changeCount += m_nodeConditions.erase(node);
        return;
    }
    const auto [known, added] = m_nodeConditions.try_emplace(node, condition);
    m_changeCount += added || known->second != condition ? 1 : 0;
    known->second = condition;
}

void pool_tracker::recordPause(state::time_point now)
{
    ++m_changeCount;
    m_localHealth.suspectedUntil = now + PauseSuspicionMs;
    m_paths.clear();
}

void pool_tracker::setIsolated(bool isolated)
{
    m_changeCount += m_localHealth.isolated != isolated ? 1 : 0;
    m_localHealth.isolated = isolated;
}

std::vector<std::string> pool_tracker::evaluate(state::time_point now)
{
    untrackExpired(now);
    std::vector<std::string> changed;
    for (auto &[name, pool] : m_pools) {
        if (evaluatePool(pool, now)) {
            changed.push_back(name);
        }
    }
    return changed;
}

pool_tracker::pool_views pool_tracker::views() const
{
    pool_views result;
    for (const auto &[name, pool] : m_pools) {
        result.emplace(name, pool.published);
    }
    return result;
}

std::vector<worker_explanation> pool_tracker::explain(std::string_view pool, state::time_point now) const
{
    std::vector<worker_explanation> result;
    const auto found = m_pools.find(pool);
    if (found == m_pools.end()) {
        return result;
    }
    for (const worker_view &worker : found->second.view.workers) {
        result.push_back(explainWorker(found->second, worker, now));
    }
    return result;
}

std::vector<worker_explanation> pool_tracker::consumeStateChanges(state::time_point now)
{
    std::vector<worker_explanation> result;
    for (const auto &[name, changed] : std::exchange(m_stateChanges, {})) {
        const auto pool = m_pools.find(name);
        if (pool == m_pools.end()) {
            continue;
        }
        for (const worker_view &worker : pool->second.view.workers) {
            if (changed.contains(worker.id)) {
                result.push_back(explainWorker(pool->second, worker, now));
            }
        }
    }
    return result;
}

worker_explanation pool_tracker::explainWorker(const tracked_pool &pool, const worker_view &worker, state::time_point now)
{
    const auto known = pool.ejectionRecords.find(worker.id);
    const ejection_record record = known == pool.ejectionRecords.end() ? ejection_record{} : known->second;
    return {pool.view.name, worker.id, worker.state, record.reason, worker.weight, record.recentEjections, describe(worker, record, now)};
}

pool_tracker::tracked_pool *pool_tracker::track(std::string_view pool, state::time_point expiresAt)
{
    if (const auto known = m_pools.find(pool); known != m_pools.end()) {
        known->second.expiresAt = std::max(known->second.expiresAt, expiresAt);
        return &known->second;
    }
    const state::pool *row = m_table == nullptr ? nullptr : state::findPool(*m_table, pool);
    if (row == nullptr) {
        return nullptr;
    }
    tracked_pool &tracked = m_pools[std::string(pool)];
    tracked.view = makePoolView(*row);
    markSubset(*row, tracked.view);
    tracked.ejectionPolicy = makePolicy(row->ejector);
    tracked.expiresAt = expiresAt;
    tracked.published = std::make_shared<const pool_view>(tracked.view);
    return &tracked;
}

void pool_tracker::markSubset(const state::pool &pool, pool_view &view) const
{
    const pool_extent extent(pool);
    for (worker_view &worker : view.workers) {
        worker.inSubset = extent.isInSubset({m_self, m_dataCentre}, worker.id, worker.dataCentre);
    }
}

void pool_tracker::untrackExpired(state::time_point now)
{
    if (std::erase_if(m_pools, [now](const auto &entry) { return entry.second.expiresAt <= now; }) > 0) {
        std::erase_if(m_paths, [this](const auto &entry) { return !hasWorkerAt(entry.first); });
    }
}

bool pool_tracker::isFaultless(const path_record &path)
{
    return path.inboundUp && path.outboundUp && path.failures.empty();
}

bool pool_tracker::hasWorkerAt(const state::node_address &node) const
{
    const auto isAt = [&node](const worker_view &worker) {
        return worker.node == node;
    };
    return std::any_of(m_pools.begin(), m_pools.end(), [&isAt](const auto &entry) {
        const std::vector<worker_view> &workers = entry.second.view.workers;
        return std::any_of(workers.begin(), workers.end(), isAt);
    });
}

} // namespace dandelionstall::coordination
