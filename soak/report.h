// Report of one soak: a page of text and a plot of what was served over time with the faults drawn into it.
#pragma once

#include "verdict.h"

#include <string>

namespace dandelionstall::soak {

struct soak_result {
    fault_plan plan;
    std::vector<served_second> served; // by second from the start of the load
    std::vector<standins::violation> broken;
    std::string load; // summary of the calls
    std::string logs; // of the nodes, when a promise was broken
};

std::string formatResult(const soak_result &result);                       // one line, then the broken promises
std::string drawServed(const soak_result &result);                         // SVG
void writeReport(const soak_result &result, const std::string &directory); // plan, plot, summary and logs; throws std::runtime_error

} // namespace dandelionstall::soak
