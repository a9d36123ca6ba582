// Errors of the transport layer, and how errors of the protocol layer and of sockets are turned into them.
#pragma once

#include <absl/status/status.h>

#include <boost/system/error_code.hpp>

#include <string_view>

namespace dandelionstall::transport {

enum class transport_error {
    connect,    // no connection could be made; nothing was sent
    closed,     // the connection ended
    silent,     // nothing came within the time allowed
    refused,    // the peer refused the stream before it was processed
    protocol,   // wraps an error of the protocol layer
    overloaded, // a local limit on connections or streams
};

absl::Status makeError(transport_error code, std::string_view reason);                      // message is "transport: <reason>"
absl::Status wrapProtocolError(const absl::Status &status);                                 // wraps an error of the protocol layer; OK stays OK
absl::Status makeSocketError(transport_error code, const boost::system::error_code &error); // OK when there is no error

} // namespace dandelionstall::transport
