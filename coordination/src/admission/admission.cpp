#include <dandelionstall/coordination/admission/admission.h>

#include "admission_slots.h"

#include <dandelionstall/coordination/errors.h>

#include <fmt/format.h>

namespace dandelionstall::coordination {

absl::StatusOr<std::unique_ptr<admission_policy>> makeAdmissionPolicy(std::string_view name, const admission_limits &limits, std::uint64_t seed)
{
    if (name == "worth_density") {
        return detail::makeWorthDensity(limits, seed);
    }
    if (name == "fifo") {
        return detail::makeFifo(limits, seed);
    }
    return makeError(coordination_error::unknown_policy, fmt::format("unknown admission policy \"{}\"", name));
}

} // namespace dandelionstall::coordination
