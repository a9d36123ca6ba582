// The command "check": checks settings files and the two tables, each by itself and for consistency with each other.
#pragma once

#include "command_line.h"

namespace dandelionctl {

int runCheck(const command_line &line); // returns the exit code

} // namespace dandelionctl
