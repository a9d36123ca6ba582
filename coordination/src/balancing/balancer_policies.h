// Balancer implementations used by makeBalancer(), and helper functions that they share.
#pragma once

#include <dandelionstall/coordination/balancing/balancer.h>

namespace dandelionstall::coordination::detail {

bool isExcluded(const worker_view &worker, const pick_request &request);  // the request has already tried this worker
bool isCandidate(const worker_view &worker, const pick_request &request); // the worker is usable and not excluded
std::unique_ptr<balancer> makeLeastWaitBalancer();

} // namespace dandelionstall::coordination::detail
