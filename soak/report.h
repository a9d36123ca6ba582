// Report of one soak: a text summary, and a plot of the share of requests served over time together with the faults.
#pragma once

#include "verdict.h"

#include <string>

namespace dandelionstall::soak {

struct soak_result {
    fault_plan plan;
    std::vector<served_second> served;       // one entry per second from the start of the load
    std::vector<standins::violation> broken; // promises that were broken; empty when all hold
    std::string load;                        // text summary of the calls
    std::string repeats;                     // worst window of each pool with a retry allowance, one line each
    std::string logs;                        // logs of the nodes; empty when no promise was broken
};

std::string formatResult(const soak_result &result);                       // one summary line, then the broken promises
std::string drawServed(const soak_result &result);                         // the plot as SVG
void writeReport(const soak_result &result, const std::string &directory); // writes plan, plot, summary and logs; throws std::runtime_error

} // namespace dandelionstall::soak
