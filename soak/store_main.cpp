// Randomized soak on the platform's store, which comes back from older copies.
#include "store_soak.h"

#include <program_options.h>

#include <fmt/format.h>
#include <store_fleet.h>

#include <iostream>

namespace soak = dandelionstall::soak;
namespace options = boost::program_options;
namespace standins = dandelionstall::standins;

namespace {

constexpr int ExitBroken = 1;

struct store_soak_command {
    std::uint64_t seed = 1;
    std::size_t count = 1;
    double seconds = 15;
    bool printsLogs = false;
    bool withoutEra = false;
};

bool play(std::uint64_t seed, const store_soak_command &command)
{
    const std::chrono::milliseconds length(static_cast<std::int64_t>(command.seconds * 1000));
    const soak::store_plan plan = soak::generateStorePlan(seed, length, dandelionstall::testing::store_fleet::Nodes);
    const soak::store_soak_result result = soak::runStoreSoak(plan, !command.withoutEra);
    std::cout << fmt::format("seed={} steps={} rewinds={} requests={} served={}: {}\n",
                             seed,
                             plan.steps.size(),
                             result.rewinds,
                             result.calls,
                             result.served,
                             result.broken.empty() ? "all promises kept" : "BROKEN");
    for (const standins::violation &each : result.broken) {
        std::cout << fmt::format("  {} {} {}\n", each.rule, each.id, each.detail);
    }
    if (!result.broken.empty()) {
        for (const soak::store_step &step : plan.steps) {
            std::cout << "  " << soak::formatStoreStep(step) << "\n";
        }
        std::cout << (command.printsLogs ? result.logs : std::string());
    }
    std::cout << std::flush;
    return result.broken.empty();
}

} // namespace

int main(int argc, char **argv)
{
    store_soak_command command;
    options::options_description description("Plays a store that comes back from older copies against real processes, and checks the promises.\nOptions");
    auto add = description.add_options();
    add("seed", options::value(&command.seed)->default_value(1), "seed of the first plan");
    add("count", options::value(&command.count)->default_value(1), "number of plans, with consecutive seeds");
    add("seconds", options::value(&command.seconds)->default_value(15), "time span in seconds in which the faults of a plan begin");
    add("without-era", options::bool_switch(&command.withoutEra), "the store does not name its era: shows that the soak finds what that breaks");
    add("logs", options::bool_switch(&command.printsLogs), "print the logs of the nodes when a promise is broken");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &) {
        std::size_t broken = 0;
        for (std::size_t i = 0; i < command.count; ++i) {
            broken += play(command.seed + i, command) ? 0 : 1;
        }
        std::cout << fmt::format("{} plans played, {} with broken promises\n", command.count, broken);
        return broken == 0 ? 0 : ExitBroken;
    });
}
