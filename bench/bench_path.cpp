// Measures the latency that the fleet adds to a request, its throughput, and the processor time and memory of each
// process. All results come from one run with real processes on loopback and without injected delay.
//
// Three variants are compared: requests sent directly to the worker, to the worker's local node, and to another node,
// which forwards them over a stream.
//
// Usage: bench_path [--seconds N] [--json]
#include "closed_load.h"
#include "fleet.h"
#include "load_report.h"
#include "program_options.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <iostream>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;
namespace json = boost::json;
namespace options = boost::program_options;

namespace {

constexpr std::uint32_t LatencyCallers = 2;     // concurrent callers when latency is measured; few, so that requests are rarely queued
constexpr std::uint32_t ThroughputCallers = 48; // concurrent callers when throughput is measured
constexpr std::uint32_t WorkerSlots = 64;       // slots of each worker; more than the concurrent callers, so that they are never the limit

// One variant of the path from the load generator to a worker.
struct path_variant {
    std::string name;    // name in the output
    std::string address; // address that requests are sent to
    std::string path;    // path of the requests
};

fleet_plan makePlan()
{
    fleet_plan plan;
    plan.faultProxy = false;
    plan.proxyCallers = false;
    plan.pools = {{"near", WorkerSlots, 0.5, {}}, {"far", WorkerSlots, 0.5, {}}};
    plan.routes = {{"near", "/near", "near", true, 1.0, {}}, {"far", "/far", "far", true, 1.0, {}}};
    plan.nodes = {{"kiambu", {{"near-0", "near"}}}, {"thika", {{"far-0", "far"}}}};
    return plan;
}

std::map<std::string, process_usage> processUsages(fleet &fleet)
{
    std::map<std::string, process_usage> result;
    for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
        result[fleet.node(i).name] = fleet.node(i).process.usage();
        for (const fleet_worker &worker : fleet.node(i).workers) {
            result["worker " + worker.plan.id] = worker.process.usage();
        }
    }
    return result;
}

void print(const json::object &row, bool asJson)
{
    if (asJson) {
        std::cout << json::serialize(row) << '\n';
        return;
    }
    for (const auto &[key, value] : row) {
        const std::string text = value.is_double() ? fmt::format("{:.1f}", value.as_double()) : json::serialize(value);
        std::cout << std::string_view(key) << '=' << text << "  ";
    }
    std::cout << '\n';
}

closed_result measure(const path_variant &variant, std::uint32_t callers, std::chrono::milliseconds length)
{
    return runClosedLoad({variant.address, variant.path, callers, 200, length});
}

void runAll(std::chrono::milliseconds length, bool asJson)
{
    fleet fleet(makePlan());
    fleet.start();
    const std::vector<path_variant> variants{
        {"direct", fleet.worker("near-0").address, "/near"}, {"own node", fleet.node(0).callers, "/near"}, {"other node", fleet.node(0).callers, "/far"}};
    std::chrono::microseconds directMedian{0};
    for (const path_variant &each : variants) {
        measure(each, LatencyCallers, length / 4); // warm-up: opens connections and fills caches
        const closed_result latencyRun = measure(each, LatencyCallers, length);
        const auto before = processUsages(fleet);
        const closed_result throughputRun = measure(each, ThroughputCallers, length);
        const auto after = processUsages(fleet);
        const auto median = quantile(latencyRun.latencies, 0.5);
        const auto p99 = quantile(latencyRun.latencies, 0.99);
        directMedian = each.name == "direct" ? median : directMedian;
        print({{"way", each.name},
               {"requests", latencyRun.latencies.size()},
               {"median_us", median.count()},
               {"p99_us", p99.count()},
               {"added_median_us", (median - directMedian).count()},
               {"added_p99_us", (p99 - directMedian).count()},
               {"requests_per_second", static_cast<std::int64_t>(throughputRun.perSecond)},
               {"failures", latencyRun.failures + throughputRun.failures}},
              asJson);
        for (const auto &[name, usage] : after) {
            const auto processorTime = usage.processor - before.at(name).processor;
            const double perRequest
                = static_cast<double>(processorTime.count()) / static_cast<double>(std::max<std::size_t>(throughputRun.latencies.size(), 1));
            print({{"way", each.name}, {"process", name}, {"processor_us_per_request", perRequest}, {"resident_bytes", usage.residentBytes}}, asJson);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    double seconds = 0;
    options::options_description description("Options");
    auto add = description.add_options();
    add("seconds", options::value(&seconds)->default_value(5), "duration of each measurement in seconds");
    add("json", "print one JSON object per line");
    return runProgram(argc, argv, description, [&](const options::variables_map &given) {
        runAll(std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)), given.contains("json"));
        return 0;
    });
}
