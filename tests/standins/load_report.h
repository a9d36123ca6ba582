// Sums up the records of a load: worth answered, latency by class, refusals by reason, as text or JSON.
#pragma once

#include "call_log.h"

#include <map>
#include <string>
#include <vector>

namespace dandelionstall::standins {

struct class_report {
    std::size_t requests = 0;
    std::size_t useful = 0; // own answers before the deadline
    double worthOffered = 0.0;
    double worthUseful = 0.0;
    std::chrono::microseconds p50{0}; // from due to answered, of useful answers
    std::chrono::microseconds p99{0};
};

struct load_report {
    class_report total;
    std::map<std::string, class_report> classes;
    std::map<std::string, std::size_t> refusals; // by reason; answers that are no use without a reason: "status_<code>"
    std::size_t unanswered = 0;                  // no whole HTTP answer came
    std::size_t foreign = 0;                     // answers that are not whole and own
};

std::chrono::microseconds quantile(std::vector<std::chrono::microseconds> values, double share); // zero when empty
load_report summarize(const std::vector<call_record> &calls);                                    // a retried request counts once, by its last record
std::string formatReport(const load_report &report);                                             // JSON

} // namespace dandelionstall::standins
