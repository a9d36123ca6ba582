#include "deployment.h"

#include <key_values.h>

#include <boost/json.hpp>
#include <fmt/format.h>

#include <cmath>
#include <numbers>
#include <sstream>

namespace dandelionstall::soak {

namespace json = boost::json;
using standins::key_values;

namespace {

constexpr std::chrono::milliseconds WaveStep{1000}; // the rate of a wave is constant for this long
constexpr std::uint32_t Returns = 3;                // times that an impatient caller sends a request again
constexpr std::chrono::milliseconds LeaveAfter{300};

std::chrono::seconds consumeSeconds(key_values &values, const std::string &key, std::chrono::seconds otherwise)
{
    return std::chrono::seconds(values.consume<std::int64_t>(key, otherwise.count()));
}

deployed_pool readPool(const std::string &name, key_values &values)
{
    deployed_pool pool;
    pool.name = name;
    std::istringstream parts(values.consume<std::string>("nodes", ""));
    for (std::string part; std::getline(parts, part, ',');) {
        const std::size_t colon = std::min(part.find(':'), part.size());
        pool.nodes.emplace_back(part.substr(0, colon), std::stoul(part.substr(std::min(colon + 1, part.size()))));
    }
    pool.slots = values.consume("slots", pool.slots);
    pool.maxWaiting = values.consume("max_waiting", pool.maxWaiting);
    pool.errorShare = values.consume("errors", pool.errorShare);
    return pool;
}

deployed_class readClass(const std::string &name, key_values &values)
{
    deployed_class each;
    each.name = name;
    each.pool = values.consume("pool", each.pool);
    each.kind = values.consume("kind", each.kind);
    each.rate = values.consume("rate", each.rate);
    each.work = values.consumeMillis("work_ms", each.work);
    each.workSigma = values.consume("work_sigma", each.workSigma);
    each.target = values.consumeMillis("target_ms", each.target);
    each.deadline = values.consumeMillis("deadline_ms", each.deadline);
    each.priority = values.consume("priority", each.priority);
    each.attempts = values.consume("attempts", each.attempts);
    each.bytes = values.consume("bytes", each.bytes);
    each.calls = values.consume("calls", each.calls);
    each.callsShare = values.consume("calls_share", each.callsShare);
    each.together = values.consumeFlag("together");
    return each;
}

void readHead(key_values &values, deployment &played)
{
    played.lead = consumeSeconds(values, "lead_s", std::chrono::seconds(10));
    played.allowance.share = values.consume("retry_share", played.allowance.share);
    played.allowance.extra = values.consume("retry_extra", played.allowance.extra);
    played.allowance.window = consumeSeconds(values, "retry_window_s", std::chrono::seconds(10));
    played.drainTime = values.consumeMillis("drain_ms", played.drainTime);
    played.stopGrace = consumeSeconds(values, "stop_grace_s", played.stopGrace);
    played.floor = values.consume("floor", played.floor);
    played.waveSwing = values.consume("wave_swing", played.waveSwing);
    played.wavePeriod = consumeSeconds(values, "wave_period_s", played.wavePeriod);
}

std::string prefixOf(const deployed_class &each)
{
    return "/" + each.name + "/";
}

json::object routeOf(const std::string &name, const std::string &prefix, const deployed_class &each)
{
    return {{"name", name},
            {"prefix", prefix},
            {"kind", each.kind},
            {"timeoutMs", each.deadline.count()},
            {"targetLatencyMs", each.target.count()},
            {"priority", each.priority},
            {"service", each.pool},
            {"maxAttempts", each.attempts}};
}

std::vector<std::string> workerArguments(const deployment &played, const behaviour &how, const deployed_pool &pool)
{
    std::vector<std::string> arguments{"--max-waiting",
                                       std::to_string(pool.maxWaiting),
                                       "--errors",
                                       fmt::to_string(pool.errorShare),
                                       "--stay",
                                       fmt::to_string(how.staying),
                                       "--call-cost-ms",
                                       std::to_string(played.call.work.count()),
                                       "--call-longest-ms",
                                       std::to_string(played.call.deadline.count()),
                                       "--call-host",
                                       std::string(CallerHost)};
    if (played.call.together) {
        arguments.emplace_back("--calls-together");
    }
    return arguments;
}

std::string classText(const deployed_class &each, const behaviour &how)
{
    std::string text = fmt::format("[class.{}]\nshare={}\npath={}x\nmethod={}\nhost={}\nidempotent={}\ncost_ms={}\ncost_sigma={}\ndeadline_ms={}\nbytes={}\n",
                                   each.name,
                                   each.rate,
                                   prefixOf(each),
                                   each.kind == "non_idempotent" ? "POST" : "GET",
                                   CallerHost,
                                   each.kind == "non_idempotent" ? "no" : "yes",
                                   each.work.count(),
                                   each.workSigma,
                                   each.deadline.count(),
                                   each.bytes);
    if (each.calls > 0) {
        text += fmt::format("calls={}\ncalls_share={}\n", each.calls, each.callsShare);
    }
    if (how.leaving > 0.0) {
        text += fmt::format("leave_share={}\nleave_ms={}\n", how.leaving, LeaveAfter.count());
    }
    if (how.impatient > 0.0) {
        text += fmt::format("again={}\nagain_share={}\n", Returns, how.impatient);
    }
    return text;
}

const deployed_class &classNamed(const deployment &played, const std::string &name)
{
    const auto found = std::find_if(played.classes.begin(), played.classes.end(), [&](const deployed_class &each) { return each.name == name; });
    return found == played.classes.end() ? played.call : *found;
}

} // namespace

deployment readDeployment(const std::string &path)
{
    deployment played;
    for (auto &[name, values] : standins::readSections(path)) {
        if (name == "deployment") {
            readHead(values, played);
        } else if (name.starts_with("pool.")) {
            played.pools.push_back(readPool(name.substr(5), values));
        } else if (name.starts_with("class.")) {
            played.classes.push_back(readClass(name.substr(6), values));
        } else if (name.starts_with("call.")) {
            played.call = readClass(name.substr(5), values);
        } else {
            throw std::invalid_argument(std::string(path).append(": unknown section ").append(name));
        }
        values.expectAllConsumed();
    }
    if (played.pools.empty() || played.classes.empty()) {
        throw std::invalid_argument(path + ": needs at least one pool and one class");
    }
    return played;
}

std::size_t nodesOf(const deployment &played)
{
    std::size_t count = 0;
    for (const deployed_pool &pool : played.pools) {
        for (const auto &[dataCentre, nodes] : pool.nodes) {
            count += nodes;
        }
    }
    return count;
}

std::string documentOf(const deployment &played, std::uint64_t version)
{
    json::array services;
    for (const deployed_pool &pool : played.pools) {
        services.push_back(json::object{{"name", pool.name}});
    }
    json::array paths;
    for (const deployed_class &each : played.classes) {
        paths.push_back(routeOf(each.name, prefixOf(each), each));
    }
    paths.push_back(routeOf(played.call.name, prefixOf(played.call), played.call));
    for (std::uint64_t i = 2; i <= version; ++i) {
        paths.push_back(routeOf(fmt::format("table-{}", i), fmt::format("/table-{}/", i), played.call));
    }
    const json::object limits{{"maxHeaderBytes", 16384}, {"maxBodyBytes", 67108864}, {"headerTimeoutMs", 3000}, {"idleTimeoutMs", 15000}};
    return json::serialize(json::object{
        {"version", version}, {"services", services}, {"limits", limits}, {"virtualHosts", json::array{json::object{{"host", CallerHost}, {"paths", paths}}}}});
}

testing::fleet_plan planDeployment(const deployment &played, const behaviour &how, std::uint64_t seed)
{
    testing::fleet_plan plan;
    plan.seed = seed;
    plan.proxyCallers = false; // the fault proxy cannot pass on refused connections
    plan.faultProxy = !how.direct;
    plan.loadSettings = "id_header=Attempt-Id\ntime_left_header=Deadline-Remaining\n";
    plan.routes = {{played.classes.front().name, prefixOf(played.classes.front()), played.classes.front().pool, true, 1.0, {}}};
    for (const deployed_pool &pool : played.pools) {
        testing::pool_plan entry{pool.name, pool.slots, played.floor, {}};
        entry.calls = {"", prefixOf(played.call) + "x", 0, how.callsNameParents};
        entry.arguments = workerArguments(played, how, pool);
        plan.pools.push_back(std::move(entry));
        for (const auto &[dataCentre, nodes] : pool.nodes) {
            for (std::size_t i = 0; i < nodes; ++i) {
                plan.nodes.push_back({dataCentre, {{fmt::format("{}-{}-{}", pool.name, dataCentre, i), pool.name}}});
            }
        }
    }
    testing::store_plan store;
    store.settingsTemplate = how.settingsTemplate;
    store.bounds = {{"drainMs", std::to_string(played.drainTime.count())},
                    {"graceS", std::to_string(played.stopGrace.count())},
                    {"retryBudgetRatio", fmt::to_string(played.allowance.share)},
                    {"retryWindowS", fmt::to_string(std::chrono::duration<double>(played.allowance.window).count())},
                    {"retryBudgetSlack", fmt::to_string(played.allowance.extra)},
                    {"floorShare", fmt::to_string(played.floor)}};
    store.keepsFirstSettings = how.keepsFirstSettings;
    store.document = [played](std::uint64_t version) {
        return documentOf(played, version);
    };
    plan.store = std::move(store);
    return plan;
}

std::string deploymentLoad(const deployment &played, const behaviour &how, std::chrono::milliseconds from, std::chrono::seconds length)
{
    double rate = 0.0;
    for (const deployed_class &each : played.classes) {
        rate += each.rate * how.load;
    }
    std::string text;
    int number = 0;
    for (std::chrono::milliseconds at = from; at < from + length; at += WaveStep) {
        const double phase = std::chrono::duration<double>(at) / std::chrono::duration<double>(played.wavePeriod);
        const double now = rate * (1.0 + played.waveSwing * std::sin(2.0 * std::numbers::pi * phase));
        text += fmt::format("[phase.{:03}]\nseconds={}\nrate={:.2f}\n", number++, std::chrono::duration<double>(WaveStep).count(), now);
    }
    for (const deployed_class &each : played.classes) {
        text += classText(each, how);
    }
    return text;
}

standins::retry_traffic trafficOf(const deployment &played, const testing::fleet_plan &plan, const standins::check_input &observed)
{
    standins::retry_traffic traffic;
    for (const testing::node_plan &node : plan.nodes) {
        for (const testing::worker_plan &worker : node.workers) {
            traffic.pool[worker.id] = worker.pool;
        }
    }
    for (const standins::call_record &call : observed.calls) {
        const deployed_class &each = classNamed(played, call.requestClass);
        traffic.requests.push_back({call.id, each.pool, each.attempts, each.kind == "download", "", "", call.sent, call.deadline});
    }
    for (const standins::call_of_run &call : observed.workers.calls) {
        traffic.requests.push_back({call.id, played.call.pool, played.call.attempts, false, call.parent, call.worker, call.sent, call.timeLeft});
    }
    traffic.workers = observed.workers;
    return traffic;
}

} // namespace dandelionstall::soak
