// Command line of dandelionctl.
#pragma once

#include <dandelionstall/state/types.h>

#include <chrono>
#include <string>
#include <vector>

namespace dandelionctl {

using namespace dandelionstall;

// Exit codes, also in docs/operators/first-steps.md.
inline constexpr int ExitOk = 0;          // done; nothing is wrong
inline constexpr int ExitFault = 1;       // a file has a fault, or the node says that something is missing
inline constexpr int ExitUsage = 2;       // the command line is wrong
inline constexpr int ExitUnreadable = 3;  // a file cannot be read
inline constexpr int ExitUnreachable = 4; // a node cannot be reached

struct command_line {
    std::string command;                     // "check", "status", ...
    std::vector<std::string> arguments;      // what follows the command
    std::vector<state::node_address> nodes;  // admin addresses
    std::string routes;                      // file of the route table
    std::string pools;                       // file of the pool table
    std::string host;                        // of the request to explain
    std::string path = "/";                  // of the request to explain
    std::string method = "GET";              // of the request to explain
    std::chrono::milliseconds timeout{3000}; // for each call to a node
    bool json = false;                       // print JSON
    bool wantsHelp = false;
    bool wantsVersion = false;
};

absl::StatusOr<command_line> parseCommandLine(const std::vector<std::string> &arguments); // error says what is wrong
std::string usage();                                                                      // text of --help

} // namespace dandelionctl
