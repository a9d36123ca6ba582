// Encodes gossip messages as the bytes of one datagram and decodes them.
//
// Usage:
//   std::string datagram = encodeGossip(message);
//   absl::StatusOr<gossip_message> message = decodeGossip(bytes);
#pragma once

#include <dandelionstall/coordination/membership/gossip.h>

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace dandelionstall::protocol {

std::string encodeGossip(const coordination::gossip_message &message);
absl::StatusOr<coordination::gossip_message> decodeGossip(std::string_view datagram); // error: malformed_message with the reason

} // namespace dandelionstall::protocol
