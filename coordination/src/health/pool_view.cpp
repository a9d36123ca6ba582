#include <dandelionstall/coordination/health/pool_view.h>

#include <algorithm>
#include <cmath>
#include <set>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::microseconds DefaultRunTime{100'000}; // of a worker that has not reported any
constexpr double SuspectedRisk = 0.5;
constexpr double SharpSuccessChange = 0.15;
constexpr double SharpSlownessRatio = 1.3;
constexpr std::chrono::milliseconds SharpOverdue{200};

} // namespace

bool hasStateChange(const worker_report &before, const worker_report &after)
{
    const bool riskCrossed = (before.risk >= SuspectedRisk) != (after.risk >= SuspectedRisk);
    const bool limitChanged = (before.limit == limit_knowledge::limited) != (after.limit == limit_knowledge::limited);
    return before.leaving != after.leaving || before.starting != after.starting || riskCrossed || limitChanged;
}

bool isSharpChange(const worker_report &before, const worker_report &after)
{
    const double ratio = (after.slowness + 1e-3) / (before.slowness + 1e-3);
    const bool overdueGrows = after.longestOverdue > before.longestOverdue * 2 && after.longestOverdue > SharpOverdue;
    return hasStateChange(before, after) || std::abs(before.successShare - after.successShare) >= SharpSuccessChange || ratio >= SharpSlownessRatio
           || ratio <= 1.0 / SharpSlownessRatio || overdueGrows;
}

state::time_point leavingUntil(std::uint64_t lifetime, state::time_point statedAt)
{
    return lifetime == 0 ? statedAt + UnnamedLifetime : state::time_point::max();
}

bool isUsable(const worker_view &worker)
{
    return worker.state == worker_state::unknown || worker.state == worker_state::healthy || worker.state == worker_state::probation;
}

state::time_point rateRoomAt(const worker_view &worker)
{
    return worker.report.limit == limit_knowledge::limited ? worker.reportReceivedAt + worker.report.roomAfter : state::time_point{};
}

double usableSlots(const worker_view &worker)
{
    if (worker.report.limit != limit_knowledge::limited) {
        return worker.slots;
    }
    const std::chrono::duration<double> runTime = worker.report.latency.count() > 0 ? worker.report.latency : DefaultRunTime;
    return std::min<double>(worker.slots, worker.report.rateLimit * runTime.count());
}

std::uint32_t countSharingNodes(const pool_view &pool)
{
    std::set<state::node_address> nodes;
    for (const worker_view &worker : pool.workers) {
        if (isUsable(worker) || worker.state == worker_state::unreachable) {
            nodes.insert(worker.node);
        }
    }
    return static_cast<std::uint32_t>(nodes.size());
}

std::string_view stateName(worker_state state)
{
    switch (state) {
    case worker_state::unknown:
        return "unknown";
    case worker_state::healthy:
        return "healthy";
    case worker_state::probation:
        return "probation";
    case worker_state::ejected:
        return "ejected";
    case worker_state::leaving:
        return "leaving";
    case worker_state::unreachable:
        return "unreachable";
    }
    return "unknown";
}

bool isNewer(const worker_report &candidate, const worker_report &current)
{
    if (candidate.incarnation != current.incarnation) {
        return candidate.incarnation > current.incarnation;
    }
    return candidate.version > current.version;
}

pool_view makePoolView(const state::pool &pool)
{
    pool_view view;
    view.name = pool.name;
    view.floor = pool.floor;
    view.balancer = pool.balancer;
    view.ejector = pool.ejector;
    view.admission = pool.admission;
    view.retry = pool.retry;
    view.workers.reserve(pool.workers.size());
    for (const state::pool_worker &worker : pool.workers) {
        worker_view row;
        row.id = worker.id;
        row.dataCentre = worker.dataCentre;
        row.node = worker.node;
        row.slots = worker.slots != 0 ? worker.slots : pool.slots;
        row.announcedLeaving = worker.leaving;
        row.coldUntil = worker.coldUntil;
        row.lifetime = worker.startedAtMs;
        view.workers.push_back(std::move(row));
    }
    return view;
}

} // namespace dandelionstall::coordination
