// The four measures of the project, baseline policies against the chosen ones, with real processes at the sizes of both
// deployments. Prints one row for each run and at the end the median and the spread.
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

struct selection {
    std::string measure; // empty: all
    std::string site;    // empty: both
    std::uint64_t seeds = 3;
    bool asJson = false;
};

constexpr std::pair<std::string_view, std::string_view> GrayFaults[] = {
    {"killed", "killed"},
    {"fails 90 %, probes pass", "fail=0.9\nhealth=ok"},
    {"hangs", "hang=1\nhealth=ok"},
    {"ten times slower", "slow=10\nhealth=ok"},
};

using row_key = std::tuple<std::string, std::string, std::string, std::string>; // measure, site, variant, policy

std::vector<measurement> runOnce(const experiment &setup, const std::string &wanted)
{
    const auto chosen = [&](std::string_view name) {
        return wanted.empty() || wanted == name;
    };
    std::vector<measurement> rows;
    if (chosen("detection")) {
        for (const auto &[variant, fault] : GrayFaults) {
            const std::vector<measurement> detected = measureDetection(setup, std::string(variant), std::string(fault));
            rows.insert(rows.end(), detected.begin(), detected.end());
        }
    }
    if (chosen("false_ejections")) {
        rows.push_back(measureFalseEjections(setup));
    }
    if (chosen("crest")) {
        rows.push_back(measureCrest(setup));
    }
    if (chosen("short_behind_long")) {
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

void printSpread(const std::vector<measurement> &rows)
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

void runSelected(const selection &wanted)
{
    std::vector<measurement> rows;
    for (const site &place : allSites()) {
        if (!wanted.site.empty() && wanted.site != place.name) {
            continue;
        }
        for (std::uint64_t seed = 1; seed <= wanted.seeds; ++seed) {
            for (const policy_set &policies : allPolicies()) {
                for (const measurement &row : runOnce({place, policies, seed}, wanted.measure)) {
                    print(row, wanted.asJson);
                    rows.push_back(row);
                }
            }
        }
    }
    if (!wanted.asJson) {
        printSpread(rows);
    }
}

} // namespace

int main(int argc, char **argv)
{
    selection wanted;
    options::options_description description("Options");
    auto add = description.add_options();
    add("measure", options::value(&wanted.measure), "detection, false_ejections, crest or short_behind_long; all when absent");
    add("site", options::value(&wanted.site), "kiambu or vaga; both when absent");
    add("seeds", options::value(&wanted.seeds)->default_value(3), "runs of each");
    add("json", "one JSON line for each run, without the table");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &given) {
        wanted.asJson = given.contains("json");
        runSelected(wanted);
        return 0;
    });
}
