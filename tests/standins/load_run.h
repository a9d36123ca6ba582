// Open-loop callers: send each planned request when it is due, over keep-alive connections, and record the result.
//
// When a connection is refused, no bytes have been sent, so the caller connects to another node. All other failures are
// recorded and retried only as often as the request class allows.
//
// Usage:
//   std::vector<call_record> calls = runLoad(profile);
#pragma once

#include "call_log.h"
#include "load_profile.h"

#include <vector>

namespace dandelionstall::standins {

std::vector<call_record> runLoad(const load_profile &profile); // blocks until the last request has completed

} // namespace dandelionstall::standins
