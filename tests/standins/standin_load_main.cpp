// Open-loop callers that follow a load profile, see load_profile.h. Writes a record per request and prints a summary.
#include "load_report.h"
#include "load_run.h"
#include "program_options.h"

#include <fstream>
#include <iostream>

namespace standins = dandelionstall::standins;
namespace options = boost::program_options;

int main(int argc, char **argv)
{
    std::string profilePath;
    std::string logPath;
    std::uint64_t seed = 0;
    options::options_description description("Options");
    auto add = description.add_options();
    add("profile", options::value(&profilePath)->required(), "INI file with the load profile");
    add("log", options::value(&logPath), "file for the records, one JSON line each");
    add("seed", options::value(&seed), "seed that replaces the one in the profile");
    return standins::runProgram(argc, argv, description, [&](const options::variables_map &given) {
        standins::load_profile profile = standins::readLoadProfile(profilePath);
        if (given.contains("seed")) {
            profile.seed = seed;
        }
        const auto calls = standins::runLoad(profile);
        if (!logPath.empty()) {
            std::ofstream log(logPath);
            for (const standins::call_record &call : calls) {
                log << standins::formatCall(call) << '\n';
            }
        }
        std::cout << standins::formatReport(standins::summarize(calls)) << '\n';
        return 0;
    });
}
