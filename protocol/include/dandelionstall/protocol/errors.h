// Errors of the protocol layer and the conversion of errors of the coordination layer.
#pragma once

#include <absl/status/status.h>

#include <string_view>

namespace dandelionstall::protocol {

enum class protocol_error {
    malformed_message, // bytes that are not a valid message
    oversized,         // a message or body that exceeds its limit
    mismatched,        // an answer whose id, length or digest is not the expected one
    coordination,      // an error of the coordination layer
};

absl::Status makeError(protocol_error code, std::string_view reason); // message is "protocol: <reason>"
absl::Status wrapCoordinationError(const absl::Status &status);       // converts an error of the coordination layer; OK stays OK

} // namespace dandelionstall::protocol
