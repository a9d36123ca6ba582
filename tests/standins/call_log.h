// Log of a caller: one record per request sent, written as one line of JSON.
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <vector>

namespace dandelionstall::standins {

struct call_record {
    std::string id;           // X-Request-Id; retries by the caller reuse it
    std::string requestClass; // name of the request class in the load profile
    std::string node;         // node that the request was sent to, ip:port
    std::string worker;       // X-Worker header of the answer; empty when the answer has none
    bool idempotent = true;
    double worth = 1.0;
    std::chrono::microseconds due{0};      // scheduled send time of the profile, on the steady clock
    std::chrono::microseconds sent{0};     // actual send time, on the steady clock
    std::chrono::microseconds answered{0}; // time of the last answer byte or of the failure, on the steady clock
    std::chrono::microseconds cost{0};     // requested run time at the worker
    std::chrono::microseconds deadline{0}; // time allowed for the answer, counted from due
    std::uint32_t status = 0;              // HTTP status; 0 when no complete answer was received
    std::string reason;                    // X-Dandelionstall-Reason header, or the error seen by the caller when status is 0
    std::string run;                       // X-Dandelionstall-Run header: not_run, ran or unknown; empty when absent
    std::string body;                      // verdict own, short or foreign for an answer with status 200; otherwise empty
    bool retryAfter = false;               // true when the answer has a Retry-After header
    bool statesLimit = false;              // true when the answer states a rate limit of the worker
    bool statesLeaving = false;            // true when the answer states that the worker is leaving
};

bool isUseful(const call_record &record);                      // true for a complete answer to this request before its deadline
std::string formatCall(const call_record &record);             // returns one line of JSON without a line break
call_record parseCall(const std::string &line);                // throws std::invalid_argument
std::vector<call_record> readCallLog(const std::string &path); // throws std::runtime_error

} // namespace dandelionstall::standins
