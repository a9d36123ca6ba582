// Command line of a stand-in program: parses, prints the help and reports errors in one way.
#pragma once

#include <boost/program_options.hpp>

#include <functional>
#include <string>
#include <utility>

namespace dandelionstall::standins {

std::string readFile(const std::string &path); // throws std::runtime_error when it cannot be read

std::pair<std::string, std::string> splitAssignment(const std::string &text); // "name=value"; throws std::invalid_argument

// Parses the command line, then calls the body. Returns its exit code, 0 after --help and 2 after an error.
int runProgram(int argc,
               char **argv,
               boost::program_options::options_description &description,
               const std::function<int(const boost::program_options::variables_map &)> &body);

} // namespace dandelionstall::standins
