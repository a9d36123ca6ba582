// Errors of the coordination layer, and how errors of the state layer are turned into them.
#pragma once

#include <dandelionstall/state/types.h>

#include <string_view>

namespace dandelionstall::coordination {

enum class coordination_error {
    configuration,  // a table or setting cannot be used; wraps state errors
    unknown_policy, // a policy name that does not exist
    no_capacity,    // a pool has nothing to route to
};

absl::Status makeError(coordination_error code, std::string_view reason); // message is "coordination: <reason>"
absl::Status wrapStateError(const absl::Status &status);                  // wraps an error of the state layer; OK stays OK

} // namespace dandelionstall::coordination
