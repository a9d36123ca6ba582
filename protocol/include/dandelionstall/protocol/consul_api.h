// Reads what the platform publishes, in the form of Consul's HTTP API: request targets, tables and the list of VMs.
//
// A table over the service's limit for one value is split: its key then holds a manifest
//   [manifest]
//   revision = 7
//   part = dandelionstall/routes.1 0123456789abcdef
// that names each part's key and the digest of its text. The table is the parts' text in that order.
#pragma once

#include <dandelionstall/coordination/member.h>

#include <absl/status/statusor.h>

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstall::protocol {

// Targets of blocking queries. Index 0 answers at once, another one when the value has changed or the wait is over.
std::string tableTarget(std::string_view key, std::uint64_t index, std::chrono::seconds wait);
std::string vmListTarget(std::uint64_t index, std::chrono::seconds wait);
std::string leavingVmsTarget(std::uint64_t index, std::chrono::seconds wait); // only rows that are leaving; a service without filters sends all
std::uint64_t nextIndex(std::uint64_t current, std::uint64_t answered);       // starts over when the service's index went back

struct manifest_part {
    std::string key;          // where the part is
    std::uint64_t digest = 0; // of its text
};

struct manifest {
    std::uint64_t revision = 0;       // of the whole table
    std::vector<manifest_part> parts; // in the order of the text
};

bool isManifest(std::string_view text);                                   // the first section is [manifest]
absl::StatusOr<manifest> parseManifest(std::string_view text);            // error names the line
absl::Status checkPart(const manifest_part &part, std::string_view text); // mismatched when the text is of another revision

absl::StatusOr<std::vector<coordination::vm_record>> parseVmList(std::string_view json); // rows without a usable address are left out

} // namespace dandelionstall::protocol
