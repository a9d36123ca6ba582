// Measures detection time, false ejections, worth answered at peak load, and short requests behind long ones, with the
// baseline and the chosen policies. Uses fleets of real processes at the sizes of both deployments. Prints one row per
// run, and at the end the median, minimum and maximum.
//
// Usage: bench_measures [--measure NAME] [--site NAME] [--seeds N] [--json]
#include "experiments.h"
#include "program_options.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <tuple>

using namespace dandelionstall::measures;
namespace standins = dandelionstall::standins;
namespace json = boost::json;
namespace options = boost::program_options;

namespace {

// What to measure and how to print it.
struct selection {
    std::string measure;     // name of the measure; empty for all
    std::string site;        // name of the deployment; empty for both
    std::uint64_t seeds = 3; // number of runs, with the seeds 1 to this
    bool asJson = false;     // print JSON objects
};

// Faults of the detection experiment: name in the output, and the parameter `fault` of measureDetection().
constexpr std::pair<std::string_view, std::string_view> DetectionFaults[] = {
    {"killed", "killed"},
    {"fails 90 %, probes pass", "fail=0.9\nhealth=ok"},
    {"hangs", "hang=1\nhealth=ok"},
    {"ten times slower", "slow=10\nhealth=ok"},
};

using row_key = std::tuple<std::string, std::string, std::string, std::string>; // measure, site, variant, policy

std::vector<measurement> runOnce(const experiment &setup, const std::string &selected)
{
    const auto isSelected = [&](std::string_view name) {
        return selected.empty() || selected == name;
    };
    std::vector<measurement> rows;
    if (isSelected("detection")) {
        for (const auto &[variant, fault] : DetectionFaults) {
            const std::vector<measurement> detected = measureDetection(setup, std::string(variant), std::string(fault));
            rows.insert(rows.end(), detected.begin(), detected.end());
        }
    }
    if (isSelected("false_ejections")) {
        rows.push_back(measureFalseEjections(setup));
    }
    if (isSelected("crest")) {
        rows.push_back(measurePeakLoad(setup));
    }
    if (isSelected("short_behind_long")) {
        rows.push_back(measureShortBehindLong(setup));
    }
    return rows;
}

void print(const measurement &row, bool asJson)
{
    if (asJson) {
        const json::object line{{"measure", row.measure},
                                {"site", row.site},
                                {"variant", row.variant},
                                {"policy", row.policy},
                                {"seed", row.seed},
                                {"value", row.value},
                                {"unit", row.unit}};
        std::cout << json::serialize(line) << std::endl;
        return;
    }
    std::cout << fmt::format("{}\t{}\t{}\t{}\t{}\t{:.3f}\t{}", row.measure, row.site, row.variant, row.policy, row.seed, row.value, row.unit) << std::endl;
}

void printSummary(const std::vector<measurement> &rows)
{
    std::map<row_key, std::vector<double>> values;
    for (const measurement &row : rows) {
        values[{row.measure, row.site, row.variant, row.policy}].push_back(row.value);
    }
    std::cout << "\nmeasure\tsite\tvariant\tpolicy\tmedian\tleast\tmost\truns\n";
    for (auto &[key, each] : values) {
        std::sort(each.begin(), each.end());
        const auto &[measure, site, variant, policy] = key;
        std::cout << fmt::format(
            "{}\t{}\t{}\t{}\t{:.3f}\t{:.3f}\t{:.3f}\t{}\n", measure, site, variant, policy, each[each.size() / 2], each.front(), each.back(), each.size());
    }
}

void runSelected(const selection &selected)
{
    std::vector<measurement> rows;
    for (const site &place : allSites()) {
        if (!selected.site.empty() && selected.site != place.name) {
            continue;
        }
        for (std::uint64_t seed = 1; seed <= selected.seeds; ++seed) {
            for (const policy_set &policies : allPolicies()) {
                for (const measurement &row : runOnce({place, policies, seed}, selected.measure)) {
                    print(row, selected.asJson);
                    rows.push_back(row);
                }
            }
        }
    }
    if (!selected.asJson) {
        printSummary(rows);
    }
}

} // namespace

int main(int argc, char **argv)
{
    selection selected;
    options::options_description description("Options");
    auto add = description.add_options();
    add("measure", options::value(&selected.measure), "detection, false_ejections, crest or short_behind_long; default: all");
    add("site", options::value(&selected.site), "kiambu or vaga; default: both");
    add("seeds", options::value(&selected.seeds)->default_value(3), "number of runs of each measure, policy and site");
    add("json", "print one JSON object per run and no summary table");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &given) {
        selected.asJson = given.contains("json");
        runSelected(selected);
        return 0;
    });
}
