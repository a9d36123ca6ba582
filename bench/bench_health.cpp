// Measures the detection time of faults, false ejections, latency with each balancer, and the time and memory of pool views.
//
// Usage: bench_health [--seeds N] [--only detection|false|service|cost] [--json]
// All results except those of "cost" come from fixed seeds and are the same in each run.
#include "bench_health_fleet.h"

#include <boost/json.hpp>
#include <boost/program_options.hpp>

#include <cmath>
#include <cstdio>
#include <malloc.h>

namespace {

using namespace bench_health;

// One result.
struct bench_row {
    std::string bench;      // "detection", "false", "service", "cost" or "memory"
    std::string deployment; // name of the pool; empty when not simulated
    std::string policy;     // name of the policy or set of policies
    std::string variant;    // load, fault or size
    std::string metric;     // what was measured
    double value = 0.0;     // result in `unit`
    std::string unit;       // unit of the value
    int seeds = 0;          // number of runs that the value comes from
};

// Prints rows as text at once, or collects them and prints a JSON array at the end.
class bench_output
{
public:
    explicit bench_output(bool json)
        : m_json(json)
    { }

    void add(const bench_row &row)
    {
        if (!m_json) {
            fmt::print("{:<10} {:<15} {:<34} {:<26} {:<26} {:>12.3f} {:<8} seeds {}\n",
                       row.bench,
                       row.deployment,
                       row.policy,
                       row.variant,
                       row.metric,
                       row.value,
                       row.unit,
                       row.seeds);
            std::fflush(stdout);
            return;
        }
        m_rows.push_back(boost::json::object{{"bench", row.bench},
                                             {"deployment", row.deployment},
                                             {"policy", row.policy},
                                             {"variant", row.variant},
                                             {"metric", row.metric},
                                             {"value", row.value},
                                             {"unit", row.unit},
                                             {"seeds", row.seeds}});
    }

    void finish() const
    {
        if (m_json) {
            fmt::print("{}\n", boost::json::serialize(m_rows));
        }
    }

private:
    bool m_json;
    boost::json::array m_rows;
};

double percentile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto rank = static_cast<std::size_t>(std::lround(share * static_cast<double>(values.size() - 1)));
    return values[rank];
}

// Combination of a source of evidence, an ejector and a balancer.
struct policy_set {
    std::string name;
    evidence_source source = evidence_source::shared;
    std::string ejector;
    std::string balancer;
};

const std::vector<policy_set> policySets{
    {"per ingress, consecutive_failures", evidence_source::per_observer, "consecutive_failures", "round_robin"},
    {"per ingress, peer_outlier", evidence_source::per_observer, "peer_outlier", "least_wait"},
    {"shared, consecutive_failures", evidence_source::shared, "consecutive_failures", "least_wait"},
    {"shared, peer_outlier", evidence_source::shared, "peer_outlier", "least_wait"},
};

fleet_options makeOptions(const deployment &place, const policy_set &policy)
{
    fleet_options options;
    options.place = place;
    options.source = policy.source;
    options.ejector = policy.ejector;
    options.balancer = policy.balancer;
    return options;
}

// Detection: time from the fault until half of the observers, and nine tenths of them, have ejected the worker.

constexpr milliseconds Warmup{6000};           // simulated time before the fault
constexpr milliseconds DetectionLimit{20'000}; // a longer detection counts as missed

struct detection_times {
    std::vector<double> half; // seconds until half of the observers have ejected the worker
    std::vector<double> most; // seconds until nine tenths of the observers have ejected the worker; DetectionLimit when missed
    int missed = 0;           // runs in which fewer than nine tenths ejected the worker within DetectionLimit
};

void detectOnce(const fleet_options &options, worker_fault fault, std::uint64_t seed, detection_times &times)
{
    fleet pool(options, seed);
    pool.run(Warmup + milliseconds(static_cast<int>(seed % 40) * 5));
    pool.setFault(seed % static_cast<std::uint64_t>(options.place.workers), fault);
    const state::time_point startedAt = pool.now();
    bool half = false;
    while (pool.now() - startedAt < DetectionLimit) {
        pool.run(Step);
        const double share = pool.ejectedShare(seed % static_cast<std::uint64_t>(options.place.workers));
        const double elapsedSeconds = std::chrono::duration<double>(pool.now() - startedAt).count();
        if (!half && share >= 0.5) {
            times.half.push_back(elapsedSeconds);
            half = true;
        }
        if (share >= 0.9) {
            times.most.push_back(elapsedSeconds);
            return;
        }
    }
    ++times.missed;
    times.most.push_back(std::chrono::duration<double>(DetectionLimit).count());
}

const std::vector<std::pair<worker_fault, std::string>> faults{
    {worker_fault::dead, "dead"},
    {worker_fault::unresponsive, "silent"},
    {worker_fault::unresponsive_probes_pass, "silent, probes answer"},
    {worker_fault::partial_failures, "30 % fail, probes answer"},
    {worker_fault::slow, "5x slow, probes answer"},
};

void measureDetection(bench_output &out, int seeds, const std::vector<milliseconds> &spacings)
{
    for (const deployment &place : deployments) {
        for (const milliseconds spacing : spacings) {
            for (const auto &[fault, name] : faults) {
                for (const policy_set &policy : policySets) {
                    fleet_options options = makeOptions(place, policy);
                    options.spacing = spacing;
                    detection_times times;
                    for (int seed = 1; seed <= seeds; ++seed) {
                        detectOnce(options, fault, static_cast<std::uint64_t>(seed), times);
                    }
                    const std::string variant = fmt::format("{} ms, {}", spacing.count(), name);
                    out.add({"detection", place.pool, policy.name, variant, "median, 90 % of nodes", percentile(times.most, 0.5), "s", seeds});
                    out.add({"detection", place.pool, policy.name, variant, "p95, 90 % of nodes", percentile(times.most, 0.95), "s", seeds});
                    out.add({"detection", place.pool, policy.name, variant, "missed in 20 s", static_cast<double>(times.missed), "runs", seeds});
                }
            }
        }
    }
}

// False ejections over a long run in which all workers are healthy.

void measureFalseEjections(bench_output &out, int seeds, milliseconds span)
{
    for (const deployment &place : deployments) {
        for (const policy_set &policy : policySets) {
            for (const milliseconds spacing : {milliseconds{300}, milliseconds{100}}) {
                fleet_options options = makeOptions(place, policy);
                options.spacing = spacing;
                ejection_counts total;
                for (int seed = 1; seed <= seeds; ++seed) {
                    fleet pool(options, static_cast<std::uint64_t>(seed));
                    pool.run(span);
                    for (const auto &[reason, count] : pool.falseEjections()) {
                        total[reason] += count;
                    }
                }
                const double hours = std::chrono::duration<double, std::ratio<3600>>(span).count() * seeds;
                const std::string variant = fmt::format("{} ms, quiet", spacing.count());
                double all = 0.0;
                for (const auto &[reason, count] : total) {
                    const double perNode = static_cast<double>(count) / place.workers / hours;
                    out.add({"false", place.pool, policy.name, variant, fmt::format("because of {}", reasonName(reason)), perNode, "/node/h", seeds});
                    all += perNode;
                }
                out.add({"false", place.pool, policy.name, variant, "false ejections", all, "/node/h", seeds});
            }
        }
    }
}

// Service: latency of short requests beside long ones under constant load.

constexpr double ServiceLoad = 0.7; // share of the slots in use

void measureService(bench_output &out, int seeds, milliseconds span)
{
    for (const deployment &place : {deployments[0], deployments[2]}) {
        for (const char *balancer : {"random", "round_robin", "least_wait"}) {
            for (const double longShare : {0.0, 0.02, 0.06}) {
                fleet_options options;
                options.place = place;
                options.balancer = balancer;
                options.longShare = longShare;
                // The spacing keeps the same share of the slots in use for every mix of short and long requests.
                const double work = (1.0 - longShare + longShare * LongFactor) * (1.0 + options.stragglerShare * StragglerFactor);
                options.spacing = std::chrono::duration_cast<microseconds>(options.cost * work / (ServiceLoad * place.slots));
                service_record all;
                for (int seed = 1; seed <= seeds; ++seed) {
                    fleet pool(options, static_cast<std::uint64_t>(seed));
                    pool.run(span);
                    all.shortMs.insert(all.shortMs.end(), pool.service().shortMs.begin(), pool.service().shortMs.end());
                    all.longMs.insert(all.longMs.end(), pool.service().longMs.begin(), pool.service().longMs.end());
                    all.failed += pool.service().failed;
                }
                const std::string variant = longShare > 0.0 ? fmt::format("{:.0f} % long work", longShare * 100.0) : "short work only";
                out.add({"service", place.pool, balancer, variant, "short p50", percentile(all.shortMs, 0.5), "ms", seeds});
                out.add({"service", place.pool, balancer, variant, "short p99", percentile(all.shortMs, 0.99), "ms", seeds});
                out.add({"service", place.pool, balancer, variant, "long p50", percentile(all.longMs, 0.5), "ms", seeds});
                out.add({"service", place.pool, balancer, variant, "failed or late", static_cast<double>(all.failed), "requests", seeds});
            }
        }
    }
}

// Time of one decision and memory of pool views.

std::shared_ptr<const state::pool_table> makeTable(int pools, int workers)
{
    auto table = std::make_shared<state::pool_table>();
    for (int p = 0; p < pools; ++p) {
        state::pool pool;
        pool.name = fmt::format("service-{}", p);
        for (int i = 0; i < workers; ++i) {
            const state::node_address node{fmt::format("10.{}.{}.{}", p % 250, i / 250, i % 250), 7400};
            pool.workers.push_back({fmt::format("service-{}-worker-{}", p, i), fmt::format("data-centre-{}", i % 15), node, 5});
        }
        table->pools.push_back(std::move(pool));
    }
    return table;
}

void feedReports(pool_tracker &tracker, const state::pool_table &table, std::uint64_t version, state::time_point now)
{
    for (const state::pool &pool : table.pools) {
        for (const state::pool_worker &worker : pool.workers) {
            worker_report report;
            report.worker = worker.id;
            report.pool = pool.name;
            report.node = worker.node;
            report.incarnation = 1;
            report.version = version;
            report.samples = 16;
            report.latency = milliseconds{50};
            tracker.recordReport(report, now);
        }
    }
}

void trackAll(pool_tracker &tracker, const std::shared_ptr<const state::pool_table> &table, state::time_point now)
{
    tracker.setTable(table, now);
    for (const state::pool &pool : table->pools) {
        tracker.addLocalPool(pool.name);
    }
    feedReports(tracker, *table, 1, now);
    tracker.evaluate(now);
}

template<class function>
double microsecondsPerCall(int calls, function call)
{
    const auto startedAt = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        call(i);
    }
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - startedAt).count() / calls;
}

void measureCost(bench_output &out, int size)
{
    state::time_point now{std::chrono::hours{1}};
    const auto table = makeTable(1, size);
    pool_tracker tracker(1, "data-centre-0");
    trackAll(tracker, table, now);
    const auto view = tracker.views().begin()->second;
    const std::vector<std::uint32_t> inFlight(static_cast<std::size_t>(size), 1);
    pcg64 random(7);
    const std::string variant = fmt::format("{} workers", size);
    for (const char *name : {"random", "round_robin", "least_wait"}) {
        const auto policy = std::move(*makeBalancer(name));
        pick_request request;
        request.dataCentre = "data-centre-0";
        request.inFlight = inFlight;
        request.now = now;
        volatile std::size_t picked = 0; // keeps the compiler from removing the call
        const double cost = microsecondsPerCall(2'000'000 / size, [&](int) {
            request.random = random();
            picked = policy->pick(*view, request);
        });
        out.add({"cost", "", name, variant, "one pick", cost, "us", 1});
    }
    std::uint64_t version = 1;
    const double cost = microsecondsPerCall(std::max(20, 100'000 / size), [&](int) {
        now += EvaluationPeriod;
        tracker.evaluate(now);
    });
    const double withReports = microsecondsPerCall(std::max(20, 20'000 / size), [&](int) {
        now += EvaluationPeriod;
        feedReports(tracker, *table, ++version, now);
        tracker.evaluate(now);
    });
    out.add({"cost", "", "peer_outlier", variant, "one judge, no news", cost, "us", 1});
    out.add({"cost", "", "peer_outlier", variant, "reports of all and judge", withReports, "us", 1});
}

double bytesInUse()
{
    return static_cast<double>(mallinfo2().uordblks);
}

void measureMemory(bench_output &out, int pools, int workers)
{
    const state::time_point now{std::chrono::hours{1}};
    const auto table = makeTable(pools, workers);
    const double before = bytesInUse();
    pool_tracker tracker(1, "data-centre-0");
    trackAll(tracker, table, now);
    const double used = bytesInUse() - before;
    const std::string variant = fmt::format("{} pools of {}", pools, workers);
    out.add({"memory", "", "peer_outlier", variant, "tracker", used / 1024.0, "KiB", 1});
    out.add({"memory", "", "peer_outlier", variant, "per worker, all copies", used / pools / workers, "bytes", 1});
}

struct bench_options {
    int seeds = 40;
    std::string only;
    bool json = false;
};

bench_options parseOptions(int argc, char **argv)
{
    namespace po = boost::program_options;
    bench_options options;
    po::options_description description;
    description.add_options()("seeds", po::value<int>(&options.seeds), "runs per detection result, with the seeds 1 to N")(
        "only", po::value<std::string>(&options.only), "one of detection, false, service, cost")(
        "json", po::bool_switch(&options.json), "print a JSON array of rows");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const bench_options options = parseOptions(argc, argv);
    const auto isSelected = [&options](std::string_view name) {
        return options.only.empty() || options.only == name;
    };
    bench_output out(options.json);
    if (isSelected("detection")) {
        measureDetection(out, options.seeds, {milliseconds{300}, milliseconds{100}});
    }
    if (isSelected("false")) {
        measureFalseEjections(out, 4, std::chrono::minutes{10});
    }
    if (isSelected("service")) {
        measureService(out, 4, std::chrono::seconds{60});
    }
    if (isSelected("cost")) {
        for (const int size : {8, 21, 64, 256, 1024}) {
            measureCost(out, size);
        }
        for (const int pools : {1, 5, 10, 20, 50}) {
            measureMemory(out, pools, 21);
        }
        measureMemory(out, 1, 1024);
    }
    out.finish();
    return 0;
}
