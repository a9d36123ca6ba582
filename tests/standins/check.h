// Compares the answers that callers received with the runs that the workers logged.
//
// Rules:
//   whole_and_own   an answer with status 200 is complete and belongs to its request
//   at_most_once    no non-idempotent request has started more than once
//   not_run         a request answered as "not run" does not start after it was sent, unless the caller retried it
//                   between that answer and the start
//   leaving         a worker starts no run more than LeavingLimit after it began to drain
//   no_cut          every request was answered; only checked when cutsAllowed is false
//
// Usage:
//   for (const violation &found : findViolations(input)) ...
#pragma once

#include "call_log.h"
#include "run_log.h"

namespace dandelionstall::standins {

inline constexpr std::chrono::seconds LeavingLimit{3};

struct check_input {
    std::vector<call_record> calls;
    run_log workers;
    bool cutsAllowed = true; // false also checks the rule no_cut
};

struct violation {
    std::string rule;
    std::string id; // request id
    std::string detail;
};

std::vector<violation> findViolations(const check_input &input);          // returns an empty list when all rules are satisfied
std::string describeViolations(const std::vector<violation> &violations); // returns the count and the first 20 violations, one per line

} // namespace dandelionstall::standins
