// Compares what callers were told with what the workers did.
//
// Rules:
//   whole_and_own   an answer with status 200 is whole and made for its request
//   at_most_once    no request that is not idempotent has started twice
//   not_run         a request told "not run" has not started, unless the caller sent it again afterwards
//   leaving         a worker starts nothing later than LeavingLimit after it began to leave
//   no_cut          every request got an answer; only checked when asked for
//
// Usage:
//   for (const violation &found : findViolations(evidence)) ...
#pragma once

#include "call_log.h"
#include "run_log.h"

namespace dandelionstall::standins {

inline constexpr std::chrono::seconds LeavingLimit{3};

struct check_input {
    std::vector<call_record> calls;
    run_log workers;
    bool cutsAllowed = true; // false: check the rule no_cut
};

struct violation {
    std::string rule;
    std::string id; // of the request
    std::string detail;
};

std::vector<violation> findViolations(const check_input &input);          // empty when all rules hold
std::string describeViolations(const std::vector<violation> &violations); // the first ones, a line each

} // namespace dandelionstall::standins
