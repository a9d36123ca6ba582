// Command line handling shared by the stand-in programs: parsing, help text and error reports.
#pragma once

#include <boost/program_options.hpp>

#include <functional>
#include <string>
#include <utility>

namespace dandelionstall::standins {

std::string readFile(const std::string &path); // throws std::runtime_error when the file cannot be read

std::pair<std::string, std::string> splitAssignment(const std::string &text); // splits "name=value"; throws std::invalid_argument when "=" is missing

// Parses the command line, then calls the body. Returns the exit code of the body, 0 after --help or 2 after an error.
int runProgram(int argc,
               char **argv,
               boost::program_options::options_description &description,
               const std::function<int(const boost::program_options::variables_map &)> &body);

} // namespace dandelionstall::standins
