// The parts of the extra repeats that the sidecars of a fleet have, read from the logs of the nodes. No side effects.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace dandelionstall::soak {

// Largest sum of the parts of all workers of each pool at one moment. logs: whole output of each node, with the lines of all its processes.
std::map<std::string, double> largestSumOfParts(const std::vector<std::string> &logs);

} // namespace dandelionstall::soak
