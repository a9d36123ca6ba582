// Request targets and answer formats of a platform service that has Consul's HTTP API, stores the tables and lists the VMs.
//
// A table that exceeds the service's limit for one value is split. Its key then contains a manifest
//   [manifest]
//   revision = 7
//   part = dandelionstall/routes.1 0123456789abcdef
// with the key of each part and the digest of its text. The table is the text of the parts in this order.
#pragma once

#include <dandelionstall/coordination/membership/member.h>

#include <absl/status/statusor.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstall::protocol {

// Request targets of blocking queries. With index 0 the service answers at once. With another index it answers when the
// value has changed since that index or the wait has ended.
std::string tableTarget(std::string_view key, std::uint64_t index, std::chrono::seconds wait);
std::string vmListTarget(std::uint64_t index, std::chrono::seconds wait);
std::string leavingVmsTarget(std::uint64_t index, std::chrono::seconds wait); // only rows of leaving VMs; a service without filters sends all rows
std::uint64_t nextIndex(std::uint64_t queryIndex, std::uint64_t answerIndex); // index of the next query; 0 when the service's index has decreased

struct manifest_part {
    std::string key;          // key of the part in the service
    std::uint64_t digest = 0; // XXH3 hash of the part's text
};

struct manifest {
    std::uint64_t revision = 0;       // revision of the whole table
    std::vector<manifest_part> parts; // parts in the order of the table's text
};

bool isManifest(std::string_view text);                                   // whether the first section is [manifest]
absl::StatusOr<manifest> parseManifest(std::string_view text);            // error: "manifest:<line>: <reason>"
absl::Status checkPart(const manifest_part &part, std::string_view text); // protocol_error::mismatched when the text has another digest

absl::StatusOr<std::vector<coordination::vm_record>> parseVmList(std::string_view json); // skips rows without a valid address

} // namespace dandelionstall::protocol
