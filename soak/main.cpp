// Randomized soak: plays generated or stored fault plans against real processes and checks the promises during the run.
#include "soak_run.h"

#include <program_options.h>

#include <fmt/format.h>

#include <fstream>
#include <iostream>

namespace soak = dandelionstall::soak;
namespace standins = dandelionstall::standins;
namespace options = boost::program_options;

namespace {

constexpr int ExitBroken = 1; // exit code when a promise was broken

struct soak_command {
    std::uint64_t seed = 1;
    std::size_t count = 1;
    std::size_t nodes = 6;
    double minutes = 0;
    double seconds = 15;
    double rate = 80;
    double steps = 0.8;
    std::string kinds;
    std::size_t herds = 0;
    std::optional<soak::call_options> calls;
    std::optional<soak::deployment> played;
    soak::behaviour how;
    std::string replay;
    std::string regressions;
    std::string report;
};

soak::fault_plan readPlan(const std::string &path)
{
    absl::StatusOr<soak::fault_plan> plan = soak::parsePlan(standins::readFile(path));
    if (!plan.ok()) {
        throw std::invalid_argument(fmt::format("{}: {}", path, std::string(plan.status().message())));
    }
    return *std::move(plan);
}

soak::soak_result play(const soak::fault_plan &plan, const soak_command &command)
{
    soak::soak_result result = soak::runSoak(plan, {command.rate, command.calls, command.played, command.how});
    std::cout << soak::formatResult(result) << std::flush;
    if (!command.report.empty()) {
        soak::writeReport(result, command.report);
    }
    return result;
}

// Searches for a smaller plan that still breaks a promise: tries to remove half of the steps at a time, then a quarter, and
// so on down to single steps.
soak::fault_plan shrink(soak::fault_plan plan, const soak_command &command)
{
    for (std::size_t count = std::max<std::size_t>(1, plan.steps.size() / 2); count > 0; count /= 2) {
        for (std::size_t first = 0; first < plan.steps.size();) {
            const soak::fault_plan fewer = soak::withoutSteps(plan, first, count);
            if (play(fewer, command).broken.empty()) {
                first += count;
            } else {
                plan = fewer;
            }
        }
    }
    return plan;
}

// Generates one plan from each line of the file that sets its values, e.g. "seed=5 nodes=6 length_ms=15000  # cause".
std::vector<soak::fault_plan> readRegressions(const std::string &path)
{
    std::vector<soak::fault_plan> plans;
    std::istringstream lines(standins::readFile(path));
    for (std::string line; std::getline(lines, line);) {
        const std::string head = line.substr(0, line.find('#'));
        if (head.find('=') == std::string::npos) {
            continue;
        }
        const absl::StatusOr<soak::fault_plan> plan = soak::parsePlan(fmt::format("plan {}", head));
        if (!plan.ok()) {
            throw std::invalid_argument(fmt::format("{}: {}", path, line));
        }
        plans.push_back(soak::generatePlan({plan->seed, plan->nodes, plan->length}));
    }
    return plans;
}

// Names of kinds of faults, with commas between them.
std::vector<soak::fault_kind> readKinds(const std::string &names)
{
    std::vector<soak::fault_kind> kinds;
    std::istringstream words(names);
    for (std::string name; std::getline(words, name, ',');) {
        const absl::StatusOr<soak::fault_kind> kind = soak::parseKind(name);
        if (!kind.ok()) {
            throw std::invalid_argument(std::string(kind.status().message()));
        }
        kinds.push_back(*kind);
    }
    return kinds;
}

std::vector<soak::fault_plan> choosePlans(const soak_command &command)
{
    if (!command.replay.empty()) {
        return {readPlan(command.replay)};
    }
    if (!command.regressions.empty()) {
        return readRegressions(command.regressions);
    }
    const auto length = std::chrono::milliseconds(static_cast<std::int64_t>(command.seconds * 1000));
    const std::vector<soak::fault_kind> kinds = readKinds(command.kinds);
    std::vector<soak::fault_plan> plans;
    plans.reserve(command.count);
    for (std::size_t i = 0; i < command.count; ++i) {
        const std::size_t nodes = command.played ? soak::nodesOf(*command.played) : command.nodes;
        plans.push_back(soak::generatePlan({command.seed + i, nodes, length, command.steps, kinds, command.herds}));
    }
    return plans;
}

int run(const soak_command &command, bool wantsShrinking)
{
    const auto endsAt = std::chrono::steady_clock::now() + std::chrono::duration<double, std::ratio<60>>(command.minutes);
    std::size_t broken = 0;
    std::size_t played = 0;
    for (const soak::fault_plan &plan : choosePlans(command)) {
        if (command.minutes > 0 && std::chrono::steady_clock::now() >= endsAt) {
            break;
        }
        ++played;
        if (play(plan, command).broken.empty()) {
            continue;
        }
        ++broken;
        if (wantsShrinking) {
            std::cout << "smallest set of faults found that still breaks a promise:\n" << soak::formatPlan(shrink(plan, command));
        }
    }
    std::cout << fmt::format("{} plans played, {} with broken promises\n", played, broken);
    return broken == 0 ? 0 : ExitBroken;
}

} // namespace

int main(int argc, char **argv)
{
    soak_command command;
    options::options_description description("Plays faults against real processes on this machine and checks the promises.\nOptions");
    auto add = description.add_options();
    add("seed", options::value(&command.seed)->default_value(1), "seed of the first plan");
    add("count", options::value(&command.count)->default_value(1), "number of plans, with consecutive seeds");
    add("minutes", options::value(&command.minutes)->default_value(0), "start no new plan after this time; 0: no limit");
    add("seconds", options::value(&command.seconds)->default_value(15), "time span in seconds in which all faults of a plan begin and end");
    add("nodes", options::value(&command.nodes)->default_value(6), "number of nodes, each with one worker");
    add("rate", options::value(&command.rate)->default_value(80), "requests per second");
    add("steps", options::value(&command.steps)->default_value(command.steps), "faults per second");
    add("kinds", options::value(&command.kinds), "faults to draw from, with commas between them; all but worker_limit and worker_leave when absent");
    soak::call_options calls;
    add("calls", options::value(&calls.perRun), "two services: each run of one makes this many calls to the other; the retry allowances are checked");
    add("slots", options::value(&calls.slots)->default_value(calls.slots), "slots of each worker, with --calls");
    add("extra", options::value(&calls.extra)->default_value(calls.extra), "repeats allowed beyond the share in 10 s, with --calls");
    add("failing", options::value(&calls.failing)->default_value(calls.failing), "share of the runs that end with an error, with --calls or --deployment");
    std::string deployment;
    add("deployment", options::value(&deployment), "INI file of a deployment, which is played at its true size and load on the platform's store");
    std::string settingsTemplate;
    add("template", options::value(&settingsTemplate), "deploy template of another version, with --deployment");
    add("leaving", options::value(&command.how.leaving)->default_value(0), "share of the callers that leave early, with --deployment");
    add("impatient", options::value(&command.how.impatient)->default_value(0), "share of the callers that return at once, with --deployment");
    add("staying",
        options::value(&command.how.staying)->default_value(command.how.staying),
        "share of the runs that go on when their caller has gone, with --deployment");
    add("load", options::value(&command.how.load)->default_value(1), "factor of the rates, with --deployment");
    add("name-parents", options::value(&command.how.callsNameParents)->default_value(true), "ids of calls name the request of their run, with --deployment");
    add("keep-settings",
        options::bool_switch(&command.how.keepsFirstSettings),
        "nodes that start again get the settings of their first start, with --deployment");
    add("direct", options::bool_switch(&command.how.direct), "nodes reach each other without the fault proxy, with --deployment and kinds without paths");
    add("herds", options::value(&command.herds)->default_value(0), "times at which many nodes or workers are killed or paused at once");
    add("replay", options::value(&command.replay), "play the plan in this file");
    add("regressions", options::value(&command.regressions), "play the plans listed in this file");
    add("report", options::value(&command.report), "directory for plans, plots and logs");
    add("shrink", "search for the smallest set of faults that still breaks a promise");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &given) {
        command.calls = given.contains("calls") ? std::optional(calls) : std::nullopt;
        if (!deployment.empty()) {
            command.played = soak::readDeployment(deployment);
            command.how.failing = calls.failing;
            command.how.settingsTemplate = settingsTemplate.empty() ? dandelionstall::testing::readDeployTemplate() : standins::readFile(settingsTemplate);
        }
        return run(command, given.contains("shrink"));
    });
}
