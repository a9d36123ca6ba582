// Checks the logs of callers and workers against each other, see check.h. Exits with 0 when all rules are satisfied, else 1.
#include "check.h"
#include "program_options.h"

#include <fmt/format.h>

namespace standins = dandelionstall::standins;
namespace options = boost::program_options;

int main(int argc, char **argv)
{
    std::vector<std::string> calls;
    std::vector<std::string> workers;
    std::vector<std::string> leaving;
    options::options_description description("Options");
    auto add = description.add_options();
    add("calls", options::value(&calls)->required()->multitoken(), "logs of callers");
    add("worker", options::value(&workers)->composing(), "name=file; log of a worker, repeatable");
    add("leaving", options::value(&leaving)->composing(), "name=steady us; time at which a worker began to drain, repeatable");
    add("no-cuts", "every request must have been answered");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &given) {
        standins::check_input input;
        input.cutsAllowed = !given.contains("no-cuts");
        for (const std::string &path : calls) {
            const auto records = standins::readCallLog(path);
            input.calls.insert(input.calls.end(), records.begin(), records.end());
        }
        for (const std::string &assignment : workers) {
            const auto [name, path] = standins::splitAssignment(assignment);
            standins::parseRunLog(standins::readFile(path), name, input.workers);
        }
        for (const std::string &assignment : leaving) {
            const auto [name, time] = standins::splitAssignment(assignment);
            input.workers.leaving.push_back({name, std::chrono::microseconds(std::stoll(time))});
        }
        const auto found = standins::findViolations(input);
        fmt::print("{} calls, {} runs, {}", input.calls.size(), input.workers.runs.size(), standins::describeViolations(found));
        return found.empty() ? 0 : 1;
    });
}
