// The command "trace": the life of one request from the logs of several nodes, and the beliefs behind it.
#pragma once

#include "command_line.h"

namespace dandelionctl {

int runTrace(const command_line &line); // exit code; arguments: the request's id, then files
                                        // without files it reads standard input, which tells no beliefs

} // namespace dandelionctl
