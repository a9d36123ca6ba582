#include "injector.h"

#include <http_call.h>
#include <run_log.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <csignal>

namespace dandelionstall::soak {

namespace json = boost::json;

namespace {

constexpr double SlowFactor = 20.0;
constexpr double MaxRateLimit = 4.0; // requests per second

bool isNodeKind(fault_kind kind)
{
    return kind == fault_kind::node_kill || kind == fault_kind::node_pause || kind == fault_kind::node_stop;
}

bool isWorkerFault(fault_kind kind)
{
    return (kind >= fault_kind::worker_fail && kind <= fault_kind::worker_reset) || kind == fault_kind::worker_limit || kind == fault_kind::worker_leave;
}

bool isPathRule(fault_kind kind)
{
    return kind >= fault_kind::path_cut && kind <= fault_kind::path_reset;
}

bool isStoreKind(fault_kind kind)
{
    return kind >= fault_kind::store_closed && kind <= fault_kind::store_stale;
}

// Returns true when this was the last active pause. The count is already zero when the process was killed in between.
bool endPause(int &pauses)
{
    const bool last = pauses == 1;
    pauses = std::max(0, pauses - 1);
    return last;
}

std::string workerLines(const fault_step &step)
{
    switch (step.kind) {
    case fault_kind::worker_fail:
        return fmt::format("fail={:.3f}\nhealth=ok\n", step.strength);
    case fault_kind::worker_hang:
        return fmt::format("hang={:.3f}\nhealth=ok\n", step.strength);
    case fault_kind::worker_slow:
        return fmt::format("slow={:.3f}\n", 1.0 + SlowFactor * step.strength);
    case fault_kind::worker_limit:
        return fmt::format("rate_limit={:.2f}\n", MaxRateLimit * step.strength);
    case fault_kind::worker_leave:
        return "leaving=1\n";
    case fault_kind::worker_shed:
        return fmt::format("shed={:.3f}\n", step.strength);
    default:
        return fmt::format("reset={:.3f}\n", step.strength);
    }
}

// hasKeyedStore: the platform has a key-value store, which never answers with older values, but may drop its history.
std::string storeLines(fault_kind kind, bool hasKeyedStore)
{
    if (kind == fault_kind::store_closed) {
        return "absent=close\n";
    }
    if (kind == fault_kind::store_silent) {
        return "silent=yes\n";
    }
    return hasKeyedStore ? "compact=yes\n" : "stale=yes\n";
}

void addRule(json::array &rules, const std::string &from, const std::string &to, const fault_step &step)
{
    json::object rule{{"from", from}, {"to", to}};
    switch (step.kind) {
    case fault_kind::path_slow:
        rule["delay_ms"] = step.strength * 1000.0;
        break;
    case fault_kind::path_lossy:
        rule["loss"] = step.strength;
        break;
    case fault_kind::path_reset:
        rule["reset"] = step.strength;
        break;
    default:
        rule["cut"] = "hold";
        break;
    }
    rules.push_back(std::move(rule));
}

} // namespace

injector::injector(testing::fleet &fleet, fault_plan plan)
    : m_fleet(fleet)
    , m_plan(std::move(plan))
{ }

// ---- Time ----

void injector::advance(std::chrono::milliseconds elapsed)
{
    restartEnded();
    for (std::size_t i = 0; i < m_active.size();) {
        if (m_active[i].at + m_active[i].duration > elapsed) {
            ++i;
            continue;
        }
        const fault_step step = m_active[i];
        m_active.erase(m_active.begin() + static_cast<std::ptrdiff_t>(i));
        end(step);
    }
    while (m_nextStep < m_plan.steps.size() && m_plan.steps[m_nextStep].at <= elapsed) {
        const fault_step &step = m_plan.steps[m_nextStep++];
        if (step.duration.count() > 0) {
            m_active.push_back(step);
        }
        begin(step);
    }
}

void injector::endAll()
{
    m_nextStep = m_plan.steps.size();
    while (!m_active.empty()) {
        const fault_step step = m_active.back();
        m_active.pop_back();
        end(step);
    }
    restartEnded();
}

void injector::begin(const fault_step &step)
{
    if (isNodeKind(step.kind)) {
        beginNode(step);
    } else if (step.kind == fault_kind::worker_kill || step.kind == fault_kind::worker_pause) {
        beginWorker(step);
    } else if (isWorkerFault(step.kind)) {
        applyWorker(step.target);
    } else if (isPathRule(step.kind)) {
        applyPaths();
    } else if (isStoreKind(step.kind)) {
        applyStore();
    } else if (step.kind == fault_kind::table_change) {
        changeTable();
    } else {
        m_fleet.blackholeConnections(m_fleet.node(step.target).ip, m_fleet.node(step.peer).ip);
    }
}

void injector::end(const fault_step &step)
{
    if (step.kind == fault_kind::node_pause) {
        if (endPause(m_pausedNodes[step.target])) {
            m_fleet.node(step.target).process.signal(SIGCONT);
        }
    } else if (step.kind == fault_kind::node_kill && m_killedNodes.erase(step.target) > 0) {
        m_fleet.startNode(step.target);
        ++m_restarts[step.target];
    } else if (step.kind == fault_kind::worker_kill || step.kind == fault_kind::worker_pause) {
        endWorker(step);
    } else if (isWorkerFault(step.kind)) {
        applyWorker(step.target);
    } else if (isPathRule(step.kind)) {
        applyPaths();
    } else if (isStoreKind(step.kind)) {
        applyStore();
    }
}

// ---- Nodes ----

void injector::beginNode(const fault_step &step)
{
    testing::child_process &process = m_fleet.node(step.target).process;
    if (!process.running()) {
        return;
    }
    if (step.kind != fault_kind::node_stop && !m_disturbed.contains(step.target)) {
        m_disturbed[step.target] = m_log.disturbances.size();
        m_log.disturbances.push_back({step.target, standins::steadyNow(), {}});
    }
    if (step.kind == fault_kind::node_pause) {
        process.signal(SIGSTOP);
        ++m_pausedNodes[step.target];
    } else if (step.kind == fault_kind::node_kill) {
        process.kill();
        m_pausedNodes[step.target] = 0;
        m_stopping.erase(step.target);
        m_killedNodes.insert(step.target);
    } else {
        process.signal(SIGTERM);
        if (!m_stopping.contains(step.target)) {
            m_stopping[step.target] = m_log.stops.size();
            m_log.stops.push_back({step.target, standins::steadyNow(), {}});
        }
    }
}

// Restarts nodes that have exited, except killed ones, which end() restarts. Records nodes that exited without SIGTERM or
// with an error, and ends the disturbances of nodes that are ready.
void injector::restartEnded()
{
    for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i) {
        testing::fleet_node &node = m_fleet.node(i);
        if (m_killedNodes.contains(i) || node.process.running()) {
            continue;
        }
        const auto stop = m_stopping.find(i);
        if (stop == m_stopping.end() || node.process.exitCode() != 0) {
            m_log.unexpectedExits.push_back(fmt::format("{} ended with code {}", node.name, node.process.exitCode()));
        }
        if (stop != m_stopping.end()) {
            m_log.stops[stop->second].until = standins::steadyNow();
            m_stopping.erase(stop);
        }
        m_pausedNodes[i] = 0;
        m_fleet.startNode(i);
        ++m_restarts[i];
    }
    for (auto disturbance = m_disturbed.begin(); disturbance != m_disturbed.end();) {
        const bool over = isUp(disturbance->first) && testing::getHttp(m_fleet.node(disturbance->first).admin, "/v1/ready").status == 200;
        if (over) {
            m_log.disturbances[disturbance->second].until = standins::steadyNow();
        }
        disturbance = over ? m_disturbed.erase(disturbance) : std::next(disturbance);
    }
}

bool injector::isUp(std::size_t node)
{
    return m_fleet.node(node).process.running() && m_pausedNodes[node] == 0 && !m_stopping.contains(node);
}

bool injector::isRestored()
{
    for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i) {
        if (!isUp(i)) {
            return false;
        }
    }
    return m_active.empty() && m_killedNodes.empty() && m_killedWorkers.empty() && m_disturbed.empty();
}

std::uint64_t injector::restartsOf(std::size_t node) const
{
    const auto known = m_restarts.find(node);
    return known == m_restarts.end() ? 0 : known->second;
}

const injection_log &injector::log() const
{
    return m_log;
}

// ---- Workers ----

std::string injector::workerOf(std::size_t node)
{
    return m_fleet.node(node).workers.front().plan.id;
}

void injector::beginWorker(const fault_step &step)
{
    testing::child_process &process = m_fleet.node(step.target).workers.front().process;
    if (!process.running()) {
        return;
    }
    if (step.kind == fault_kind::worker_pause) {
        process.signal(SIGSTOP);
        ++m_pausedWorkers[step.target];
    } else {
        process.kill();
        m_pausedWorkers[step.target] = 0;
        m_killedWorkers.insert(step.target);
        m_log.endedWorkers.insert(workerOf(step.target));
    }
}

void injector::endWorker(const fault_step &step)
{
    testing::fleet_worker &worker = m_fleet.node(step.target).workers.front();
    if (step.kind == fault_kind::worker_pause) {
        if (endPause(m_pausedWorkers[step.target])) {
            worker.process.signal(SIGCONT);
        }
    } else if (m_killedWorkers.erase(step.target) > 0) {
        m_fleet.startWorker(worker);
    }
    applyWorker(step.target);
}

// Sets the fault of this worker's active step that began last, and clears its faults when no step is active.
void injector::applyWorker(std::size_t node)
{
    if (m_killedWorkers.contains(node) || m_pausedWorkers[node] > 0) {
        return; // a killed or paused worker cannot receive commands; endWorker() sets its faults later
    }
    std::string lines;
    for (const fault_step &step : m_active) {
        lines = isWorkerFault(step.kind) && step.target == node ? workerLines(step) : lines;
    }
    m_fleet.setFault(workerOf(node), lines);
}

// ---- Paths and tables ----

void injector::applyPaths()
{
    json::array rules;
    for (const fault_step &step : m_active) {
        if (!isPathRule(step.kind)) {
            continue;
        }
        addRule(rules, m_fleet.node(step.target).ip, m_fleet.node(step.peer).ip, step);
        if (step.kind != fault_kind::path_one_way) {
            addRule(rules, m_fleet.node(step.peer).ip, m_fleet.node(step.target).ip, step);
        }
    }
    m_fleet.setPaths(json::serialize(rules));
}

void injector::applyStore()
{
    std::string lines;
    for (const fault_step &step : m_active) {
        lines = isStoreKind(step.kind) ? storeLines(step.kind, m_fleet.plan().store.has_value()) : lines;
    }
    testing::command(m_fleet.configService(), "/_fault", lines);
}

// Each table contains the routes of all earlier tables, so a missing route shows that a node uses an older table.
void injector::changeTable()
{
    m_fleet.publishTable(++m_log.lastTable);
}

} // namespace dandelionstall::soak
