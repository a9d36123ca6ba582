// The path of a request: added time and requests a second through the fleet against going to the worker directly, with
// the processor time and memory of each process, all from one run with real processes on loopback and no injected delay.
//
// Three ways are compared: to the worker directly; to the node beside the worker; to another node, which passes the
// request on over a stream.
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

constexpr std::uint32_t QuietCallers = 2; // for added time: no queueing to speak of
constexpr std::uint32_t BusyCallers = 48; // for requests a second
constexpr std::uint32_t WorkerSlots = 64; // never the limit

struct way {
    std::string name;
    std::string address;
    std::string path;
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

std::map<std::string, process_usage> usages(fleet &fleet)
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

closed_result measure(const way &way, std::uint32_t callers, std::chrono::milliseconds length)
{
    return runClosedLoad({way.address, way.path, callers, 200, length});
}

void runAll(std::chrono::milliseconds length, bool asJson)
{
    fleet fleet(makePlan());
    fleet.start();
    const std::vector<way> ways{
        {"direct", fleet.worker("near-0").address, "/near"}, {"own node", fleet.node(0).callers, "/near"}, {"other node", fleet.node(0).callers, "/far"}};
    std::chrono::microseconds directMedian{0};
    for (const way &each : ways) {
        measure(each, QuietCallers, length / 4); // connections open, caches warm
        const closed_result quiet = measure(each, QuietCallers, length);
        const auto before = usages(fleet);
        const closed_result busy = measure(each, BusyCallers, length);
        const auto after = usages(fleet);
        const auto median = quantile(quiet.latencies, 0.5);
        const auto p99 = quantile(quiet.latencies, 0.99);
        directMedian = each.name == "direct" ? median : directMedian;
        print({{"way", each.name},
               {"requests", quiet.latencies.size()},
               {"median_us", median.count()},
               {"p99_us", p99.count()},
               {"added_median_us", (median - directMedian).count()},
               {"added_p99_us", (p99 - directMedian).count()},
               {"requests_per_second", static_cast<std::int64_t>(busy.perSecond)},
               {"failures", quiet.failures + busy.failures}},
              asJson);
        for (const auto &[name, usage] : after) {
            const auto spent = usage.processor - before.at(name).processor;
            const double perRequest = static_cast<double>(spent.count()) / static_cast<double>(std::max<std::size_t>(busy.latencies.size(), 1));
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
    add("seconds", options::value(&seconds)->default_value(5), "length of each measurement");
    add("json", "one JSON line for each row");
    return runProgram(argc, argv, description, [&](const options::variables_map &given) {
        runAll(std::chrono::milliseconds(static_cast<std::int64_t>(seconds * 1000)), given.contains("json"));
        return 0;
    });
}
