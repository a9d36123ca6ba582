// The balancers behind makeBalancer(), and what they share.
#pragma once

#include <dandelionstall/coordination/balancer.h>

namespace dandelionstall::coordination::detail {

bool isExcluded(const worker_view &worker, const pick_request &request);  // tried before
bool isCandidate(const worker_view &worker, const pick_request &request); // usable and not excluded
std::unique_ptr<balancer> makeLeastWaitBalancer();

} // namespace dandelionstall::coordination::detail
