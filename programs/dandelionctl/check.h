// The command "check": settings files and the two tables, each alone and against each other.
#pragma once

#include "command_line.h"

namespace dandelionctl {

int runCheck(const command_line &line); // exit code

} // namespace dandelionctl
