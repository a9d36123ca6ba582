// The promises that a soak checks, from what callers and workers saw. Pure.
//
// Rules, beside those of the stand-ins' check.h:
//   stop_cut    a graceful stop cut a request, with nothing else wrong at that node
//   died        a process ended by itself, or its stop failed
//   table_back  a node that had served a route table served an older one in the same life
//   table_late  the last table is not in force everywhere at the end
//   recovery    callers are not served as before when all faults are over
#pragma once

#include "injector.h"

#include <check.h>

#include <string>
#include <vector>

namespace dandelionstall::soak {

struct soak_evidence {
    standins::check_input seen;                    // all calls and runs so far
    injection_log done;                            // what was done
    std::vector<std::string> callers;              // callers' address of each node
    std::vector<std::string> tables;               // observations against table_back and table_late, a line each
    std::vector<standins::call_record> afterwards; // calls of the load after the last fault; empty before
};

inline constexpr double RecoveredShare = 0.95; // of the requests of each class, useful after the last fault

std::vector<standins::violation> findBrokenPromises(const soak_evidence &evidence); // empty when all hold

// Shares served, a value for each second of a run.
struct served_second {
    std::size_t requests = 0;
    std::size_t useful = 0;
    std::size_t refused = 0; // told that they did not run
};

std::vector<served_second> servedBySecond(const std::vector<standins::call_record> &calls, std::chrono::microseconds start);

} // namespace dandelionstall::soak
