// Rules of the fault proxy: delays, losses and cuts of the traffic from one IP address to another.
//
// A rule names sender and receiver by their IP addresses, independent of which of them opened the connection: the rule
// from A to B applies to every byte and datagram that A sends to B. The last matching rule applies.
//
// Rules as JSON: [{"from": "127.2.0.1", "to": "*", "delay_ms": 4, "jitter_ms": 1, "loss": 0.01, "reset": 0, "cut": "hold",
//                  "bytes_per_second": 0}]
#pragma once

#include <dandelionstall/state/types.h>

#include <random>
#include <string>
#include <vector>

namespace dandelionstall::standins {

enum class cut_mode {
    none,
    hold,    // bytes wait until the cut ends, as with TCP retransmission
    discard, // bytes are lost; suitable only for datagrams and for connections that are not used afterwards
};

struct path_conditions {
    std::chrono::microseconds delay{0};
    std::chrono::microseconds jitter{0}; // upper bound of the added delay, drawn uniformly from zero
    double loss = 0.0;                   // share of datagrams lost; a lost segment of a connection arrives RetransmissionTime late
    double reset = 0.0;                  // share of TCP segments that reset their connection
    cut_mode cut = cut_mode::none;
    std::uint64_t bytesPerSecond = 0; // 0 is unlimited
};

struct fault_rule {
    std::string from = "*"; // IP address of the sender, or "*" for any
    std::string to = "*";   // IP address of the receiver, or "*" for any
    path_conditions conditions;
};

inline constexpr std::chrono::milliseconds RetransmissionTime{200}; // added delay of a lost segment

std::vector<fault_rule> parseFaultRules(const std::string &json); // throws std::invalid_argument
path_conditions conditionsOf(const std::vector<fault_rule> &rules, const std::string &from, const std::string &to);
bool matches(const std::string &pattern, const std::string &ip);
std::chrono::microseconds drawDelay(const path_conditions &conditions, std::mt19937_64 &random); // delay plus drawn jitter; excludes the delay of lost segments
bool draw(double share, std::mt19937_64 &random);

} // namespace dandelionstall::standins
