// Reads what a worker states about itself in the head of an answer: its rate limit, and that it is leaving. No I/O.
#pragma once

#include <dandelionstall/protocol/messages.h>
#include <dandelionstall/state/settings.h>

#include <optional>
#include <string>

namespace dandelionstall::protocol {

inline constexpr double MaxRateLimit = 1e6; // requests per second; a higher stated rate is invalid

struct worker_signals {
    std::optional<double> rateLimit; // requests per second that the worker takes from all nodes together; nullopt when it states none
    bool leaving = false;            // the worker accepts no new work
    std::string invalid;             // headers that can't be used, as "Name: value"; empty when there is none
};

// A rate limit is a plain decimal number of 0 to MaxRateLimit, leaving is "0" or "1". Any other value, and a header that occurs
// twice, is invalid and states nothing.
worker_signals readWorkerSignals(const http_headers &headers, const state::header_names &names);

} // namespace dandelionstall::protocol
