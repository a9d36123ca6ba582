// Rules of the fault proxy: what happens to bytes from one IP number to another.
//
// Both ends are named by their own IP numbers, whoever opened the connection: the rule from A to B concerns every byte
// and datagram that A sends to B. The last rule that matches holds.
//
// As JSON: [{"from": "127.2.0.1", "to": "*", "delay_ms": 4, "jitter_ms": 1, "loss": 0.01, "reset": 0, "cut": "hold",
//            "bytes_per_second": 0}]
#pragma once

#include <dandelionstall/state/types.h>

#include <random>
#include <string>
#include <vector>

namespace dandelionstall::standins {

enum class cut_mode {
    none,
    hold,    // bytes wait until the cut ends, as with retransmission
    discard, // bytes are lost; only for datagrams and connections that will not be used again
};

struct path_conditions {
    std::chrono::microseconds delay{0};
    std::chrono::microseconds jitter{0}; // added, uniform between zero and this
    double loss = 0.0;                   // share of datagrams lost; a lost segment of a connection comes late
    double reset = 0.0;                  // share of the segments that reset their connection
    cut_mode cut = cut_mode::none;
    std::uint64_t bytesPerSecond = 0; // 0 is unlimited
};

struct fault_rule {
    std::string from = "*"; // IP number, or "*" for any
    std::string to = "*";
    path_conditions conditions;
};

inline constexpr std::chrono::milliseconds RetransmissionTime{200}; // lateness of a lost segment

std::vector<fault_rule> parseFaultRules(const std::string &json); // throws std::invalid_argument
path_conditions conditionsOf(const std::vector<fault_rule> &rules, const std::string &from, const std::string &to);
bool matches(const std::string &pattern, const std::string &ip);
std::chrono::microseconds drawDelay(const path_conditions &conditions, std::mt19937_64 &random); // without loss
bool draw(double share, std::mt19937_64 &random);

} // namespace dandelionstall::standins
