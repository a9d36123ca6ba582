// The commands that print answers of the admin API of nodes, and the command that prints the event catalogue.
#pragma once

#include "command_line.h"

namespace dandelionctl {

// Each function runs one command and returns the exit code.
int showStatus(const command_line &line);
int showPools(const command_line &line);
int showExplain(const command_line &line);
int showConfig(const command_line &line);
int showEvents(const command_line &line);

} // namespace dandelionctl
