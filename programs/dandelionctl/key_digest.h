// The command "key-digest": prints the digest of a key for the route table. The key is read from standard input, since the
// arguments of a process can be seen by others.
#pragma once

#include "command_line.h"

namespace dandelionctl {

int runKeyDigest(const command_line &line); // returns the exit code

} // namespace dandelionctl
