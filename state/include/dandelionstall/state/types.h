// Basic types of the state layer: clocks, addresses, identifiers and errors.
//
// Every time point in the project is a state::time_point of the local steady clock. Time points of another node are
// translated at the edge (see protocol) before they get here. Settings and tables may hold spans of time; running
// state holds deadlines.
//
// Index:
//   [SECTION] Clock
//   [SECTION] Addresses and identifiers
//   [SECTION] Errors
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace dandelionstall::state {

// [SECTION] Clock

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using duration = clock::duration;

// [SECTION] Addresses and identifiers

// Where a node takes streams (TCP) and gossip (UDP): one IP number, one port number for both.
struct node_address {
    std::string ip;         // IPv4 or IPv6 number, never a name
    std::uint16_t port = 0; // same number for TCP and UDP

    friend auto operator<=>(const node_address &, const node_address &) = default;
};

absl::StatusOr<node_address> parseNodeAddress(std::string_view text); // "10.0.0.1:7400" or "[::1]:7400"
std::string formatNodeAddress(const node_address &address);           // inverse of parseNodeAddress()

// One life of one process; larger means later for the same address. Milliseconds of system time at start.
using incarnation = std::uint64_t;

// Names one attempt to run a request, unique over all nodes and restarts.
struct attempt_id {
    std::uint64_t origin = 0;   // random number drawn by the ingress at start
    std::uint64_t sequence = 0; // counts the attempts of that ingress

    friend auto operator<=>(const attempt_id &, const attempt_id &) = default;
};

std::string formatAttemptId(const attempt_id &id); // "<origin hex>-<sequence hex>"

// [SECTION] Errors

// What can go wrong in this layer. Carried as the payload of an absl::Status, see makeError().
enum class state_error {
    malformed,    // text that cannot be parsed
    unknown_key,  // a key or section that does not exist
    out_of_range, // a value outside its limits
    unresolved,   // a name that refers to nothing, e.g. a route's pool
    stale,        // older than what is in force
    conflict,     // same revision, other content
};

absl::Status makeError(state_error code, std::string_view reason); // message is "state: <reason>"
std::string_view errorName(state_error code);                      // "malformed", ...

} // namespace dandelionstall::state

template<>
struct std::hash<dandelionstall::state::attempt_id> {
    std::size_t operator()(const dandelionstall::state::attempt_id &id) const noexcept
    {
        return static_cast<std::size_t>(id.origin ^ (id.sequence * 0x9E3779B97F4A7C15ULL));
    }
};
