// Checks the promises of a soak against the records of callers and workers. The functions have no side effects.
//
// Rules, in addition to those of the stand-ins' check.h:
//   stop_cut    a graceful stop aborted a request at a node that was not killed or paused meanwhile
//   died        a node exited without a signal from the injector, stopped with an error, or was not ready after the last fault
//   table_back  a node that had served a route table served an older one without a restart
//   table_late  the last route table is not in force on all nodes at the end
//   rate_limit      a worker got more than the rate limit that it stated, from nodes that had been told
//   leaving_stated  a request reached a worker later than 2 s after its node had been told that the worker leaves
//   recovery    the share of useful answers stays below RecoveredShare after all faults have ended
#pragma once

#include "injector.h"

#include <check.h>

#include <string>
#include <vector>

namespace dandelionstall::soak {

struct soak_evidence {
    standins::check_input observed;                        // all calls and runs so far
    injection_log injected;                                // faults that were injected
    std::vector<std::string> callers;                      // address for callers of each node, ip:port
    std::vector<std::string> tables;                       // violations of table_back and table_late, one line each
    std::vector<standins::call_record> callsAfterRecovery; // calls of the load after recovery; empty until then
};

inline constexpr double RecoveredShare = 0.95; // required share of useful answers in each class after the last fault

std::vector<standins::violation> findBrokenPromises(const soak_evidence &evidence); // empty when all promises hold

// Numbers of requests and outcomes in one second of a run.
struct served_second {
    std::size_t requests = 0;
    std::size_t useful = 0;
    std::size_t refused = 0; // answered with "not run"
};

std::vector<served_second> servedBySecond(const std::vector<standins::call_record> &calls, std::chrono::microseconds start);

} // namespace dandelionstall::soak
