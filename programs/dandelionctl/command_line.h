// Parses the command line of dandelionctl.
#pragma once

#include <dandelionstall/state/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace dandelionctl {

using namespace dandelionstall;

// Exit codes, documented in docs/operators/first-steps.md.
inline constexpr int ExitOk = 0;          // the command has succeeded and found no fault
inline constexpr int ExitFault = 1;       // a file has a fault, a node answered with an error status, or what was searched for does not exist
inline constexpr int ExitUsage = 2;       // the command line is invalid
inline constexpr int ExitUnreadable = 3;  // a file cannot be read
inline constexpr int ExitUnreachable = 4; // a node cannot be reached

struct command_line {
    std::string command;                     // "check", "status", ...
    std::vector<std::string> arguments;      // positional arguments after the command
    std::vector<state::node_address> nodes;  // admin addresses of the nodes to read
    std::string routes;                      // file of the route table to check; empty when not given
    std::string pools;                       // file of the pool table to check; empty when not given
    std::string host;                        // host of the request to explain
    std::string path = "/";                  // path of the request to explain
    std::string method = "GET";              // HTTP method of the request to explain
    std::chrono::milliseconds timeout{3000}; // limit for each call to a node
    bool json = false;                       // print JSON instead of text
    bool wantsHelp = false;
    bool wantsVersion = false;
};

absl::StatusOr<command_line> parseCommandLine(const std::vector<std::string> &arguments); // the error names the invalid option or value
std::string usage();                                                                      // returns the text of --help

} // namespace dandelionctl
