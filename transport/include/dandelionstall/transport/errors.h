// Errors of the transport layer, and the conversion of protocol and socket errors into them.
#pragma once

#include <absl/status/status.h>

#include <boost/system/error_code.hpp>

#include <string_view>

namespace dandelionstall::transport {

enum class transport_error {
    connect,    // no connection could be made; nothing was sent
    closed,     // the connection was closed
    silent,     // no answer was received within the timeout
    refused,    // the peer refused the stream before processing it, or answered with an error status
    protocol,   // an error of the protocol layer, converted by wrapProtocolError()
    overloaded, // a local limit on connections or streams was reached
    too_large,  // the answer is larger than the limit
};

bool isError(const absl::Status &status, transport_error code); // true for an error that was made with this code

absl::Status makeError(transport_error code, std::string_view reason);                      // the message is "transport: <reason>"
absl::Status wrapProtocolError(const absl::Status &status);                                 // converts an error of the protocol layer; OK stays OK
absl::Status makeSocketError(transport_error code, const boost::system::error_code &error); // returns OK when there is no error

} // namespace dandelionstall::transport
