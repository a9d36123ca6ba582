// The command "trace": prints the log lines of one request from the logs of several nodes, and the state changes of these
// nodes that may explain its outcome.
#pragma once

#include "command_line.h"

namespace dandelionctl {

int runTrace(const command_line &line); // returns the exit code; arguments: the request's id, then log files;
                                        // without files it reads standard input once, and shows no state changes

} // namespace dandelionctl
