// Reads the log lines of nodes (docs/EVENTS.md): time, node, event and fields. A line may stand behind a prefix of whoever
// collected it.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dandelionctl {

using log_time = std::chrono::sys_time<std::chrono::milliseconds>; // time of day of the node that wrote the line

struct log_line {
    log_time time;                                          // as the node saw it
    std::size_t order = 0;                                  // order in which the reader found it
    std::string node;                                       // who wrote it
    std::string event;                                      // name, e.g. "attempt_placed"
    std::map<std::string, std::string, std::less<>> fields; // without event and node; values without quotes
    std::string text;                                       // the fields as written
};

std::optional<log_line> parseLogLine(std::string_view text);             // nothing when it is no event of a node
const std::string &fieldOf(const log_line &line, std::string_view name); // empty when it has none

} // namespace dandelionctl
