#include "repeat_parts.h"

#include <algorithm>
#include <sstream>

namespace dandelionstall::soak {

namespace {

// The part that a worker has from a time on.
struct part_change {
    std::string pool;
    std::string worker;
    double part = 0.0;
};

using changes_by_time = std::multimap<std::string, part_change>; // times as text that sorts by time; equal ones in the order of the lines

std::string fieldOf(const std::string &line, const std::string &name)
{
    const std::size_t found = line.find(" " + name + "=");
    if (found == std::string::npos) {
        return {};
    }
    const std::size_t begin = found + name.size() + 2;
    return line.substr(begin, line.find(' ', begin) - begin);
}

// A process that starts has no part; the parts of the one before it have ended.
void insertChanges(const std::string &log, changes_by_time &changes)
{
    std::map<std::string, std::string> poolOfWorker;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        const std::string name = fieldOf(line, "name");
        const std::string at = line.substr(0, line.find(' '));
        if (name == "node_started") {
            for (const auto &[worker, pool] : poolOfWorker) {
                changes.insert({at, {pool, worker, 0.0}});
            }
        } else if (name == "repeat_part_changed") {
            const part_change change{fieldOf(line, "pool"), fieldOf(line, "worker"), std::stod(fieldOf(line, "part"))};
            changes.insert({at, change});
            poolOfWorker[change.worker] = change.pool;
        }
    }
}

} // namespace

std::map<std::string, double> largestSumOfParts(const std::vector<std::string> &logs)
{
    changes_by_time changes;
    for (const std::string &log : logs) {
        insertChanges(log, changes);
    }
    std::map<std::string, double> parts; // by worker
    std::map<std::string, double> sums;  // by pool
    std::map<std::string, double> largest;
    for (const auto &[at, change] : changes) {
        sums[change.pool] += change.part - parts[change.worker];
        parts[change.worker] = change.part;
        largest[change.pool] = std::max(largest[change.pool], sums[change.pool]);
    }
    return largest;
}

} // namespace dandelionstall::soak
