// Errors of the protocol layer, and how errors of the coordination layer are turned into them.
#pragma once

#include <absl/status/status.h>

#include <string_view>

namespace dandelionstall::protocol {

enum class protocol_error {
    malformed_message, // bytes that are no valid message
    oversized,         // a message or body over its limit
    mismatched,        // an answer whose id, length or digest is not the expected one
    coordination,      // wraps an error of the coordination layer
};

absl::Status makeError(protocol_error code, std::string_view reason); // message is "protocol: <reason>"
absl::Status wrapCoordinationError(const absl::Status &status);       // wraps an error of the coordination layer; OK stays OK

} // namespace dandelionstall::protocol
