// Command-line tool for operators: checks tables and settings, and reads the admin API and the logs of nodes. It changes nothing.
#include "check.h"
#include "key_digest.h"
#include "show.h"
#include "trace.h"

#include <dandelionstall/state/ini_reader.h>

#include <array>
#include <exception>
#include <iostream>

namespace {

using namespace dandelionctl;

constexpr std::string_view Version = "0.1.0";

struct command {
    std::string_view name;
    int (*run)(const command_line &line);
};

constexpr std::array Commands{
    command{"check", runCheck},
    command{"status", showStatus},
    command{"pools", showPools},
    command{"explain", showExplain},
    command{"config", showConfig},
    command{"events", showEvents},
    command{"trace", runTrace},
    command{"key-digest", runKeyDigest},
};

int reportUnknownCommand(const std::string &name)
{
    if (name.empty()) {
        std::cerr << "dandelionctl: no command given; see --help\n";
        return ExitUsage;
    }
    std::array<std::string_view, Commands.size()> names;
    std::transform(Commands.begin(), Commands.end(), names.begin(), [](const command &known) { return known.name; });
    std::cerr << "dandelionctl: unknown command \"" << name << '"' << state::suggestName(name, names) << "; see --help\n";
    return ExitUsage;
}

int runProgram(const std::vector<std::string> &arguments)
{
    const absl::StatusOr<command_line> line = parseCommandLine(arguments);
    if (!line.ok()) {
        std::cerr << "dandelionctl: " << state::reasonOf(line.status()) << "; see --help\n";
        return ExitUsage;
    }
    if (line->wantsHelp) {
        std::cout << usage();
        return ExitOk;
    }
    if (line->wantsVersion) {
        std::cout << "dandelionctl " << Version << '\n';
        return ExitOk;
    }
    for (const command &known : Commands) {
        if (known.name == line->command) {
            return known.run(*line);
        }
    }
    return reportUnknownCommand(line->command);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runProgram({argv + 1, argv + argc});
    } catch (const std::exception &error) {
        std::cerr << "dandelionctl: " << error.what() << '\n';
        return ExitFault;
    }
}
