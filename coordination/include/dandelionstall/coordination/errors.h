// Errors of the coordination layer, and the conversion of errors of the state layer to them.
#pragma once

#include <dandelionstall/state/types.h>

#include <string_view>

namespace dandelionstall::coordination {

enum class coordination_error {
    configuration,  // a table or setting is invalid; also wraps errors of the state layer
    unknown_policy, // a policy name is unknown
    no_capacity,    // a pool has no worker to route to
};

absl::Status makeError(coordination_error code, std::string_view reason); // message is "coordination: <reason>"
absl::Status wrapStateError(const absl::Status &status);                  // wraps an error of the state layer; OK stays OK

} // namespace dandelionstall::coordination
