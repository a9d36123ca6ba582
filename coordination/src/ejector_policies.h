// The ejectors behind makeEjector().
#pragma once

#include <dandelionstall/coordination/ejector.h>

namespace dandelionstall::coordination::detail {

std::unique_ptr<ejector> makePeerOutlierEjector();

} // namespace dandelionstall::coordination::detail
