// Client of the admin API of nodes: reads one path per call.
#pragma once

#include <dandelionstall/state/types.h>

#include <boost/json/value.hpp>

#include <string>

namespace dandelionctl {

using namespace dandelionstall;

struct admin_reply {
    std::uint32_t status = 0; // HTTP status of the answer
    boost::json::value body;  // parsed body
};

// Returns an error when the node does not answer with JSON within the timeout.
absl::StatusOr<admin_reply> fetchAdmin(const state::node_address &node, const std::string &target, std::chrono::milliseconds timeout);

std::string encodeParameter(std::string_view text); // percent-encodes the value of a query parameter; "/" is left as it is

} // namespace dandelionctl
