// Factories of the policies that makeEjector() returns.
#pragma once

#include <dandelionstall/coordination/health/ejector.h>

namespace dandelionstall::coordination::detail {

std::unique_ptr<ejector> makePeerOutlierEjector(); // the policy "peer_outlier"

} // namespace dandelionstall::coordination::detail
