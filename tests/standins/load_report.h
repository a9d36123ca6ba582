// Summary of the records of a load, formatted as JSON: worth answered, latency by class and refusals by reason.
#pragma once

#include "call_log.h"

#include <map>
#include <string>
#include <vector>

namespace dandelionstall::standins {

struct class_report {
    std::size_t requests = 0;
    std::size_t useful = 0; // complete answers to their request before the deadline
    double worthOffered = 0.0;
    double worthUseful = 0.0;
    std::chrono::microseconds p50{0}; // latency of useful answers, from the due time to the time of the answer
    std::chrono::microseconds p99{0};
};

struct load_report {
    class_report total;
    std::map<std::string, class_report> classes;
    std::map<std::string, std::size_t> refusals; // counts by reason; answers without a reason count as "late" or "status_<code>"
    std::size_t unanswered = 0;                  // requests without a complete HTTP answer
    std::size_t foreign = 0;                     // answers with status 200 and a body that is truncated or of another request
};

std::chrono::microseconds quantile(std::vector<std::chrono::microseconds> values, double share); // returns zero when values is empty
load_report summarize(const std::vector<call_record> &calls);                                    // a retried request counts once, with its last record
std::string formatReport(const load_report &report);                                             // returns JSON

} // namespace dandelionstall::standins
