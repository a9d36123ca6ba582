// Parses the log lines of nodes (docs/EVENTS.md): time, node, event and fields. A line may have a prefix that was added by
// a log collector.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionctl {

using log_time = std::chrono::sys_time<std::chrono::milliseconds>; // UTC time by the clock of the node that wrote the line

struct log_line {
    log_time time;                                          // time at which the node wrote the line
    std::size_t order = 0;                                  // position among the lines that were kept, set by the caller of parseLogLine()
    std::string node;                                       // name of the node that wrote the line
    std::string event;                                      // name of the event, e.g. "attempt_placed"
    std::map<std::string, std::string, std::less<>> fields; // fields after the event's name; values are unquoted
    std::string text;                                       // the fields as they are written in the log line
};

std::optional<log_line> parseLogLine(std::string_view text);             // empty when the text is not an event of a node
const std::string &fieldOf(const log_line &line, std::string_view name); // value of the field; empty when the line lacks it

} // namespace dandelionctl
