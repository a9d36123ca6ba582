// Open-loop callers: sends the planned requests when they are due, over keep-alive connections, and records each one.
//
// A caller connects to another node when a connection is refused, since nothing was sent then. Everything else that
// goes wrong is recorded, and tried again only as the class says.
//
// Usage:
//   std::vector<call_record> calls = runLoad(profile);
#pragma once

#include "call_log.h"
#include "load_profile.h"

#include <vector>

namespace dandelionstall::standins {

std::vector<call_record> runLoad(const load_profile &profile); // blocks until the last request has ended

} // namespace dandelionstall::standins
