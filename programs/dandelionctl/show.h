// The commands that read nodes and print what they say, and the event catalogue.
#pragma once

#include "command_line.h"

namespace dandelionctl {

// Each returns an exit code.
int showStatus(const command_line &line);
int showPools(const command_line &line);
int showExplain(const command_line &line);
int showConfig(const command_line &line);
int showEvents(const command_line &line);

} // namespace dandelionctl
