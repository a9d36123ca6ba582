#include "command_line.h"

#include <dandelionstall/state/ini.h>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <sstream>

namespace dandelionctl {

namespace options = boost::program_options;

namespace {

constexpr const char *DefaultNode = "127.0.0.1:7402";

// Options that need further parsing, as given.
struct raw_options {
    std::vector<std::string> words; // the command and its positional arguments
    std::vector<std::string> nodes;
    std::string timeout;
};

options::options_description describeOptions(command_line &line, raw_options &raw)
{
    options::options_description described("Options");
    auto add = described.add_options();
    add("node,n", options::value(&raw.nodes)->composing()->value_name("IP:PORT"), "admin address of a node; may be repeated (default 127.0.0.1:7402)");
    add("routes", options::value(&line.routes)->value_name("FILE"), "route table to check");
    add("pools", options::value(&line.pools)->value_name("FILE"), "pool table to check");
    add("host", options::value(&line.host)->value_name("NAME"), "host of the request to explain");
    add("path", options::value(&line.path)->value_name("PATH"), "path of the request to explain (default /)");
    add("method", options::value(&line.method)->value_name("METHOD"), "method of the request to explain (default GET)");
    add("timeout", options::value(&raw.timeout)->value_name("SPAN"), "time limit for each call to a node, such as 250ms or 2s (default 3s)");
    add("json", options::bool_switch(&line.json), "print JSON instead of text");
    add("help,h", options::bool_switch(&line.wantsHelp), "print this help");
    add("version,v", options::bool_switch(&line.wantsVersion), "print the version");
    return described;
}

absl::Status readNodes(const std::vector<std::string> &texts, command_line &line)
{
    for (const std::string &text : texts) {
        absl::StatusOr<state::node_address> node = state::parseNodeAddress(text);
        if (!node.ok()) {
            return node.status();
        }
        line.nodes.push_back(std::move(*node));
    }
    return absl::OkStatus();
}

absl::Status readTimeout(const std::string &text, command_line &line)
{
    if (text.empty()) {
        return absl::OkStatus();
    }
    const absl::StatusOr<std::chrono::milliseconds> span = state::parseDuration(text);
    if (span.ok()) {
        line.timeout = *span;
    }
    return span.status();
}

absl::Status applyRawOptions(const raw_options &raw, command_line &line)
{
    if (!raw.words.empty()) {
        line.command = raw.words.front();
        line.arguments.assign(raw.words.begin() + 1, raw.words.end());
    }
    if (absl::Status status = readTimeout(raw.timeout, line); !status.ok()) {
        return status;
    }
    return readNodes(raw.nodes.empty() ? std::vector<std::string>{DefaultNode} : raw.nodes, line);
}

} // namespace

absl::StatusOr<command_line> parseCommandLine(const std::vector<std::string> &arguments)
{
    command_line line;
    raw_options raw;
    options::options_description all = describeOptions(line, raw);
    all.add_options()("words", options::value(&raw.words));
    options::positional_options_description positional;
    positional.add("words", -1);
    try {
        options::variables_map values;
        options::store(options::command_line_parser(arguments).options(all).positional(positional).run(), values);
        options::notify(values);
    } catch (const options::error &error) {
        return state::makeError(state::state_error::malformed, error.what());
    }
    if (absl::Status status = applyRawOptions(raw, line); !status.ok()) {
        return status;
    }
    return line;
}

std::string usage()
{
    command_line line;
    raw_options raw;
    std::ostringstream text;
    text << "Usage: dandelionctl COMMAND [OPTIONS]\n\n"
            "Commands\n"
            "  check [SETTINGS...]  check settings files and, with --routes and --pools, the two tables\n"
            "  status               show health, readiness and tables of each node\n"
            "  pools [POOL]         show all pools, or the workers of one pool with their states and the reasons\n"
            "  explain              show route, pool and candidate workers of a request given by --host, --path and --method\n"
            "  config               show the revisions of the tables in force on each node and compare them\n"
            "  events [NUMBER]      show the catalogue of log events, or one event\n"
            "  trace ID [FILES...]  show the log lines of request ID from the logs of several nodes (default standard input)\n"
            "  key-digest           read a key from standard input and print its digest for the route table\n\n"
         << describeOptions(line, raw)
         << "\nExit codes: 0 no fault found, 1 fault found, 2 invalid command line, 3 a file cannot be read, 4 a node cannot be reached.\n";
    return text.str();
}

} // namespace dandelionctl
