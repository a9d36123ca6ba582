// Log of a caller: one record for each request sent, as one JSON line each.
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <vector>

namespace dandelionstall::standins {

struct call_record {
    std::string id;           // X-Request-Id; a retry by the caller has the same one
    std::string requestClass; // name of the class in the load profile
    std::string node;         // node asked, ip:port
    std::string worker;       // X-Worker of the answer; empty when it has none
    bool idempotent = true;
    double worth = 1.0;
    std::chrono::microseconds due{0};      // steady time at which the profile wanted it sent
    std::chrono::microseconds sent{0};     // steady time
    std::chrono::microseconds answered{0}; // steady time of the last byte or of the failure
    std::chrono::microseconds cost{0};     // run time asked for
    std::chrono::microseconds deadline{0}; // allowed from due on
    std::uint32_t status = 0;              // HTTP status; 0: no whole answer came
    std::string reason;                    // X-Dandelionstall-Reason, or the caller's own error when status is 0
    std::string run;                       // X-Dandelionstall-Run: not_run, ran, unknown; empty when absent
    std::string body;                      // own, short or foreign for an answer with status 200; else empty
    bool retryAfter = false;               // the answer said when to come back
};

bool isUseful(const call_record &record);                      // own answer before its deadline
std::string formatCall(const call_record &record);             // one line of JSON, without line end
call_record parseCall(const std::string &line);                // throws std::invalid_argument
std::vector<call_record> readCallLog(const std::string &path); // throws std::runtime_error

} // namespace dandelionstall::standins
