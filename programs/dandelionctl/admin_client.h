// Reads one path of a node's admin API.
#pragma once

#include <dandelionstall/state/types.h>

#include <boost/json/value.hpp>

#include <string>

namespace dandelionctl {

using namespace dandelionstall;

struct admin_reply {
    std::uint32_t status = 0; // HTTP status
    boost::json::value body;
};

// Error when the node does not answer with JSON within the time allowed.
absl::StatusOr<admin_reply> fetchAdmin(const state::node_address &node, const std::string &target, std::chrono::milliseconds timeout);

std::string encodeParameter(std::string_view text); // percent-encoded value of a query parameter

} // namespace dandelionctl
