// Basic types of the state layer: clocks, addresses, identifiers and errors.
//
// Every time point in the project is a state::time_point of the local steady clock. The protocol layer converts time
// points of other nodes before they reach this layer. Settings and tables contain durations; runtime state contains
// deadlines.
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

// Address of a node for streams (TCP) and gossip (UDP): one IP address and one port number for both.
struct node_address {
    std::string ip;         // numeric IPv4 or IPv6 address, never a host name
    std::uint16_t port = 0; // port number, the same for TCP and UDP

    friend auto operator<=>(const node_address &, const node_address &) = default;
};

bool isUnicast(const node_address &address);                          // false for an unspecified, multicast, reserved or malformed IP address
absl::StatusOr<node_address> parseNodeAddress(std::string_view text); // "10.0.0.1:7400" or "[::1]:7400"
std::string formatNodeAddress(const node_address &address);           // inverse of parseNodeAddress()

// Identifies one run of a node process: system time at its start in milliseconds. A later run at the same address
// has a larger value.
using incarnation = std::uint64_t;

// Identifies one attempt to run a request; unique over all nodes and restarts.
struct attempt_id {
    std::uint64_t origin = 0;   // random number that the ingress generates when it starts
    std::uint64_t sequence = 0; // number of the attempt at that ingress

    friend auto operator<=>(const attempt_id &, const attempt_id &) = default;
};

std::string formatAttemptId(const attempt_id &id); // "<origin hex>-<sequence hex>"

// [SECTION] Errors

// Kinds of errors of this layer. makeError() puts the name into the payload of an absl::Status.
enum class state_error {
    malformed,    // text that cannot be parsed
    unknown_key,  // a key or section that does not exist
    out_of_range, // a value that is not allowed
    unresolved,   // a name that refers to nothing, such as an unknown pool of a route
    stale,        // a table older than the one in force
    conflict,     // two entries or tables that contradict each other, e.g. the same revision with other content
};

absl::Status makeError(state_error code, std::string_view reason); // message is "state: <reason>"
std::string_view errorName(state_error code);                      // name of the enumerator, e.g. "malformed"

} // namespace dandelionstall::state

template<>
struct std::hash<dandelionstall::state::attempt_id> {
    std::size_t operator()(const dandelionstall::state::attempt_id &id) const noexcept
    {
        return static_cast<std::size_t>(id.origin ^ (id.sequence * 0x9E3779B97F4A7C15ULL));
    }
};
