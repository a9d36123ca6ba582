#include <dandelionstall/protocol/admin_json.h>

#include <dandelionstall/coordination/reasons.h>
#include <dandelionstall/protocol/errors.h>

#include <fmt/format.h>

#include <algorithm>

namespace dandelionstall::protocol {

namespace json = boost::json;
using coordination::fleet_snapshot;
using coordination::pool_view;
using coordination::worker_state;
using coordination::worker_view;
using std::chrono::milliseconds;

namespace {

double toMilliseconds(state::duration span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

std::string formatDigest(std::uint64_t digest)
{
    return fmt::format("{:016x}", digest);
}

template<typename list, typename formatter>
json::array makeArray(const list &values, const formatter &format)
{
    json::array array;
    for (const auto &value : values) {
        array.emplace_back(format(value));
    }
    return array;
}

json::object localWorkerJson(const state::local_worker &worker)
{
    return {{"id", worker.id}, {"pool", worker.pool}, {"address", formatNodeAddress(worker.address)}, {"health_path", worker.healthPath}};
}

// Returns the pool's view from the snapshot, or an initial view when the snapshot has none.
std::shared_ptr<const pool_view> viewOf(const fleet_snapshot &snapshot, const state::pool &pool)
{
    const auto found = snapshot.poolViews.find(pool.name);
    return found != snapshot.poolViews.end() ? found->second : std::make_shared<const pool_view>(coordination::makePoolView(pool));
}

json::object countStates(const pool_view &view)
{
    constexpr std::array States{
        worker_state::unknown, worker_state::healthy, worker_state::probation, worker_state::ejected, worker_state::leaving, worker_state::unreachable};
    json::object counts;
    for (const worker_state state : States) {
        const auto inState = [state](const worker_view &worker) {
            return worker.state == state;
        };
        counts[stateName(state)] = std::count_if(view.workers.begin(), view.workers.end(), inState);
    }
    return counts;
}

template<typename table>
json::object tableJson(const table &inForce, std::size_t rows)
{
    return {{"revision", inForce.revision}, {"digest", formatDigest(inForce.digest)}, {"rows", rows}};
}

json::object poolSummaryJson(const fleet_snapshot &snapshot, const state::pool &pool)
{
    const std::shared_ptr<const pool_view> view = viewOf(snapshot, pool);
    return {
        {"name", pool.name},
        {"workers", pool.workers.size()},
        {"usable", std::count_if(view->workers.begin(), view->workers.end(), coordination::isUsable)},
        {"slots", pool.slots},
        {"floor", pool.floor},
        {"balancer", pool.balancer},
        {"ejector", pool.ejector},
        {"admission", pool.admission},
        {"retry", pool.retry},
        {"drain_ms", pool.drainTime.count()},
        {"states", countStates(*view)},
    };
}

json::object reportJson(const worker_view &worker, state::time_point now)
{
    const coordination::worker_report &report = worker.report;
    const bool limited = report.limit == coordination::limit_knowledge::limited;
    return {
        {"rate_limit", limited ? json::value(report.rateLimit) : json::value(nullptr)},
        {"age_ms", toMilliseconds(now - worker.reportReceivedAt)},
        {"busy", report.busy},
        {"queued", report.queued},
        {"expected_wait_ms", toMilliseconds(report.expectedWait)},
        {"success_share", report.successShare},
        {"latency_ms", toMilliseconds(report.latency)},
        {"slowness", report.slowness},
        {"samples", report.samples},
        {"oldest_running_ms", toMilliseconds(report.longestOverdue)},
        {"starting", report.starting},
    };
}

std::string describeLimit(const coordination::worker_report &report)
{
    return report.limit == coordination::limit_knowledge::limited ? fmt::format(", states a limit of {} requests a second", report.rateLimit) : "";
}

std::string describeReport(const coordination::worker_report &report, state::duration age)
{
    if (report.version == 0) {
        return "no report yet";
    }
    const auto ageMs = std::chrono::duration_cast<milliseconds>(age).count();
    if (report.samples == 0) {
        return fmt::format("no recent requests, reported {} ms ago", ageMs);
    }
    return fmt::format("{:.1f} % of {} recent requests succeeded, run time {:.1f} times the expected, oldest overdue by {} ms, reported {} ms ago",
                       report.successShare * 100,
                       report.samples,
                       report.slowness,
                       std::chrono::duration_cast<milliseconds>(report.longestOverdue).count(),
                       ageMs);
}

json::object workerJson(const worker_view &worker, state::time_point now)
{
    json::object line{
        {"id", worker.id},
        {"data_centre", worker.dataCentre},
        {"node", formatNodeAddress(worker.node)},
        {"state", stateName(worker.state)},
        {"why", describeWorker(worker, now)},
        {"usable", coordination::isUsable(worker)},
        {"weight", worker.weight},
        {"slots", worker.slots},
        {"incarnation", worker.incarnation},
        {"report", nullptr},
    };
    if (worker.report.version != 0) {
        line["report"] = reportJson(worker, now);
    }
    return line;
}

json::array workersJson(const pool_view &view, state::time_point now)
{
    return makeArray(view.workers, [now](const worker_view &worker) { return workerJson(worker, now); });
}

json::object routeJson(const state::route &route)
{
    return {
        {"name", route.name},
        {"host", route.host.empty() ? "*" : route.host},
        {"path", route.pathPrefix},
        {"methods", makeArray(route.methods, [](const std::string &method) { return method; })},
        {"pool", route.pool},
        {"idempotent", route.idempotent},
        {"worth", route.worth},
        {"timeout_ms", route.timeout.count()},
        {"cost_hint_ms", route.costHint.count()},
        {"public", route.isPublic},
        {"organisation_rate", route.organisationRate},
        {"line", route.line},
    };
}

json::object versionJson(const coordination::table_version &version)
{
    return {{"revision", version.revision}, {"digest", formatDigest(version.digest)}};
}

json::object tableStatusJson(const table_status &table)
{
    return {{"in_force", versionJson(table.inForce)}, {"known", versionJson(table.newestKnown)}, {"last_refusal", table.lastRefusal}};
}

json::object memberJson(const member_status &status)
{
    const coordination::member &member = status.member;
    return {
        {"node", formatNodeAddress(member.address)},
        {"data_centre", member.dataCentre},
        {"state", memberStateName(member.state)},
        {"incarnation", member.incarnation},
        {"leaving", member.leaving},
    };
}

json::object memberConfigJson(const member_status &status)
{
    return {
        {"node", formatNodeAddress(status.member.address)},
        {"state", memberStateName(status.member.state)},
        {"routes_revision", status.routesRevision},
        {"pools_revision", status.poolsRevision},
    };
}

} // namespace

// [SECTION] Node

json::object healthJson(const node_identity &identity, state::time_point now)
{
    return {
        {"status", "alive"},
        {"node", identity.name},
        {"version", identity.version},
        {"incarnation", identity.incarnation},
        {"uptime_ms", std::chrono::duration_cast<milliseconds>(now - identity.startedAt).count()},
    };
}

readiness readinessOf(const fleet_snapshot &snapshot)
{
    readiness value;
    if (!snapshot.routes) {
        value.missing.emplace_back("route table");
    }
    if (!snapshot.pools) {
        value.missing.emplace_back("pool table");
    }
    if (snapshot.leaving) {
        value.missing.emplace_back("this node is leaving");
    }
    value.ready = value.missing.empty();
    return value;
}

json::object readyJson(const readiness &value)
{
    return {{"ready", value.ready}, {"missing", makeArray(value.missing, [](const std::string &reason) { return reason; })}};
}

json::object settingsJson(const state::settings &settings)
{
    return {
        {"node",
         {{"name", settings.name},
          {"data_centre", settings.dataCentre},
          {"region", settings.region},
          {"listen", formatNodeAddress(settings.listenAddress)},
          {"advertise", formatNodeAddress(settings.advertiseAddress)},
          {"callers", formatNodeAddress(settings.callersAddress)},
          {"admin", formatNodeAddress(settings.adminAddress)},
          {"ingress_threads", settings.ingressThreads}}},
        {"platform",
         {{"config_service", formatNodeAddress(settings.configService)},
          {"routes_key", settings.routesKey},
          {"pools_key", settings.poolsKey},
          {"vm_list", formatNodeAddress(settings.vmList)},
          {"seeds", makeArray(settings.seeds, state::formatNodeAddress)}}},
        {"limits",
         {{"max_header_bytes", settings.maxHeaderBytes},
          {"max_body_bytes", settings.maxBodyBytes},
          {"memory_mb", settings.memoryMb},
          {"max_kept_answer_bytes", settings.maxKeptAnswerBytes},
          {"max_callers", settings.maxCallers},
          {"max_queued_per_worker", settings.maxQueuedPerWorker},
          {"max_organisations", settings.maxOrganisations},
          {"header_timeout_ms", settings.headerTimeout.count()},
          {"idle_timeout_ms", settings.idleTimeout.count()},
          {"ticket_lifetime_ms", settings.ticketLifetime.count()}}},
        {"log", {{"level", settings.logLevel}}},
        {"workers", makeArray(settings.workers, localWorkerJson)},
    };
}

// [SECTION] Tables and pools

json::object tablesJson(const fleet_snapshot &snapshot)
{
    json::object tables{{"generation", snapshot.generation}, {"routes", nullptr}, {"pools", nullptr}};
    if (snapshot.routes) {
        tables["routes"]
            = {{"revision", snapshot.routes->revision}, {"digest", formatDigest(snapshot.routes->digest)}, {"rows", snapshot.routes->routes.size()}};
    }
    if (snapshot.pools) {
        tables["pools"] = tableJson(*snapshot.pools, snapshot.pools->pools.size());
    }
    return tables;
}

json::object poolsJson(const fleet_snapshot &snapshot)
{
    json::array lines;
    if (snapshot.pools) {
        lines = makeArray(snapshot.pools->pools, [&](const state::pool &pool) { return poolSummaryJson(snapshot, pool); });
    }
    return {{"pools", std::move(lines)}};
}

absl::StatusOr<json::object> poolJson(const fleet_snapshot &snapshot, std::string_view name, state::time_point now)
{
    const state::pool *pool = snapshot.pools ? findPool(*snapshot.pools, name) : nullptr;
    if (pool == nullptr) {
        return makeError(protocol_error::malformed_message, fmt::format("no pool \"{}\" in the pool table in force", name));
    }
    json::object answer = poolSummaryJson(snapshot, *pool);
    answer["members"] = workersJson(*viewOf(snapshot, *pool), now);
    return answer;
}

std::string describeWorker(const worker_view &worker, state::time_point now)
{
    std::string reportText = describeReport(worker.report, now - worker.reportReceivedAt) + describeLimit(worker.report);
    switch (worker.state) {
    case worker_state::unknown:
        return reportText;
    case worker_state::healthy:
        return fmt::format("in use: {}", reportText);
    case worker_state::probation:
        return fmt::format("back in use with {:.0f} % of its share: {}", worker.weight * 100, reportText);
    case worker_state::ejected:
        return fmt::format("ejected: {}", reportText);
    case worker_state::leaving:
        return "takes no new work: the worker or its node is leaving";
    case worker_state::unreachable:
        return fmt::format("its node does not answer: {}", reportText);
    }
    return reportText;
}

// [SECTION] Explain

json::object explainJson(const fleet_snapshot &snapshot, const explain_query &query, state::time_point now)
{
    json::object answer{
        {"query", {{"host", query.host}, {"path", query.path}, {"method", query.method}}},
        {"route", nullptr},
        {"pool", nullptr},
        {"candidates", json::array()},
        {"refusal", nullptr},
    };
    if (!snapshot.routes || !snapshot.pools) {
        answer["refusal"] = reasonName(coordination::refusal_reason::not_ready);
        return answer;
    }
    const state::route *route = matchRoute(*snapshot.routes, query.host, query.path, query.method);
    if (route == nullptr) {
        answer["refusal"] = reasonName(coordination::refusal_reason::no_route);
        return answer;
    }
    answer["route"] = routeJson(*route);
    const state::pool *pool = findPool(*snapshot.pools, route->pool);
    if (pool == nullptr) {
        answer["refusal"] = reasonName(coordination::refusal_reason::not_ready);
        return answer;
    }
    const std::shared_ptr<const pool_view> view = viewOf(snapshot, *pool);
    answer["pool"] = poolSummaryJson(snapshot, *pool);
    answer["candidates"] = workersJson(*view, now);
    if (std::none_of(view->workers.begin(), view->workers.end(), coordination::isUsable)) {
        answer["refusal"] = reasonName(coordination::refusal_reason::no_capacity);
    }
    return answer;
}

// [SECTION] Fleet

json::object membersJson(const fleet_status &fleet)
{
    const json::object self{
        {"node", formatNodeAddress(fleet.self)},
        {"data_centre", fleet.dataCentre},
        {"incarnation", fleet.incarnation},
        {"leaving", fleet.leaving},
        {"doubts_itself", fleet.selfSuspected},
        {"reader", fleet.reader},
    };
    return {{"self", self}, {"members", makeArray(fleet.members, memberJson)}};
}

json::object configJson(const fleet_status &fleet)
{
    return {
        {"node", formatNodeAddress(fleet.self)},
        {"routes", tableStatusJson(fleet.routes)},
        {"pools", tableStatusJson(fleet.pools)},
        {"members", makeArray(fleet.members, memberConfigJson)},
    };
}

} // namespace dandelionstall::protocol
