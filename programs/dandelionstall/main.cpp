// Entry point of the node process, which runs the ingress for callers and the sidecar of the workers on its VM.
#include "node.h"
#include "version.h"

#include <dandelionstall/platform/store_adapter.h>
#include <dandelionstall/state/text.h>
#include <dandelionstall/transport/events.h>

#include <boost/program_options.hpp>

#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

#include <malloc.h>

namespace options = boost::program_options;
using namespace dandelionstall;

namespace {

// Exit codes, also in docs/SETTINGS.md.
constexpr int ExitOk = 0;       // graceful shutdown, or --check, --help or --version succeeded
constexpr int ExitUsage = 2;    // the command line is invalid
constexpr int ExitSettings = 3; // the settings file is unreadable or invalid
constexpr int ExitStart = 4;    // the node failed to start, e.g. an address cannot be bound

constexpr int LargeBlockBytes = 1'048'576; // larger allocations return their memory to the system when they are freed

constexpr const char *SettingsVariable = "DANDELIONSTALL_SETTINGS"; // path of the settings file when --config is absent

struct command_line {
    std::string config;        // path of the settings file
    bool checkOnly = false;    // check the settings and exit
    bool wantsHelp = false;    // print the usage and exit
    bool wantsVersion = false; // print the version and exit
};

options::options_description describeOptions()
{
    options::options_description description("Usage: dandelionstall --config FILE\n\nOptions");
    auto addOption = description.add_options();
    addOption("config,c",
              options::value<std::string>()->value_name("FILE"),
              "settings file of this node (INI, see docs/SETTINGS.md); defaults to the path in DANDELIONSTALL_SETTINGS");
    addOption("check", "check the settings and exit");
    addOption("help,h", "print this text and exit");
    addOption("version,v", "print the version and exit");
    return description;
}

std::optional<command_line> parseCommandLine(int argc, const char *const *argv, const options::options_description &description)
{
    try {
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        command_line result;
        result.config = values.count("config") != 0 ? values["config"].as<std::string>() : std::string();
        if (const char *path = std::getenv(SettingsVariable); result.config.empty() && path != nullptr) {
            result.config = path;
        }
        result.checkOnly = values.count("check") != 0;
        result.wantsHelp = values.count("help") != 0;
        result.wantsVersion = values.count("version") != 0;
        if (result.config.empty() && !result.wantsHelp && !result.wantsVersion) {
            std::cerr << "dandelionstall: --config FILE is required unless DANDELIONSTALL_SETTINGS is set; see --help\n";
            return std::nullopt;
        }
        return result;
    } catch (const options::error &error) {
        std::cerr << "dandelionstall: " << error.what() << "; see --help\n";
        return std::nullopt;
    }
}

absl::StatusOr<state::settings> loadSettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return state::makeError(state::state_error::malformed, path + ": cannot be read");
    }
    const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    absl::StatusOr<state::settings> settings = state::parseSettings(text, path);
    if (settings.ok() && settings->platformKind == "keyed_store") {
        if (absl::Status bounds = platform::applyBounds(*settings); !bounds.ok()) {
            return bounds;
        }
    }
    return settings;
}

int runNode(const state::settings &settings, const std::string &path)
{
    mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
    transport::configureLog(settings.logLevel, settings.name, settings.maxLogLinesPerSecond);
    node process(settings, [path] { return loadSettings(path); });
    if (const absl::Status status = process.start(); !status.ok()) {
        transport::logEvent(transport::event::listen_failed, {{"reason", std::string(state::messageOf(status))}});
        return ExitStart;
    }
    process.run();
    transport::closeLog();
    std::quick_exit(ExitOk); // skips destructors of static objects, which would wait for library threads
}

int runProgram(int argc, const char *const *argv)
{
    const options::options_description description = describeOptions();
    const std::optional<command_line> line = parseCommandLine(argc, argv, description);
    if (!line) {
        return ExitUsage;
    }
    if (line->wantsHelp) {
        std::cout << description << "\nExit codes: 0 success, 2 invalid command line, 3 invalid settings, 4 an address cannot be bound.\n";
        return ExitOk;
    }
    if (line->wantsVersion) {
        std::cout << "dandelionstall " << Version << '\n';
        return ExitOk;
    }
    const absl::StatusOr<state::settings> settings = loadSettings(line->config);
    if (!settings.ok()) {
        std::cerr << "dandelionstall: " << state::messageOf(settings.status()) << '\n';
        return ExitSettings;
    }
    if (line->checkOnly) {
        std::cout << line->config << ": ok\n";
        return ExitOk;
    }
    return runNode(*settings, line->config);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return runProgram(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "dandelionstall: " << error.what() << '\n';
        return ExitStart;
    }
}
