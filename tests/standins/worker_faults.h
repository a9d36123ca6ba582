// Faults of a stand-in worker, set at run time as "key=value" lines; keys that are absent inject no fault.
//
//   slow=5              factor by which run times are multiplied
//   extra_ms=100        time added to the run time
//   fail=0.8            share of runs that end with status 500; health probes still succeed
//   truncate=0.2        share of answers that are truncated after half of the body
//   reset=0.1           share of runs that end with a connection reset instead of an answer
//   hang=0.1            share of runs that occupy their slot without an answer until X-Deadline-Ms, or for a day without that header
//   late_ms=900         delay of answers after the run has released its slot
//   shed=0.5            share of requests refused before a run: status 503 and X-Worker-Refused: not-run
//   draining=yes        X-Worker-State: draining on every answer; the health endpoint reports draining
//   cold_ms=5000        cold start: the run time falls linearly from five times normal to normal over this time
//   health=sick         report of the health endpoint: honest (the actual state), ok or sick
//   load=idle           report of the load endpoint: honest (the actual load), idle or full
//   rate_limit=1.5        rate limit header on every answer, with this text; a "|" divides the texts of two such headers
//   leaving=1             leaving header on every answer, with this text
//   endless=chunk_head    bytes without end in place of answers, see http_server.h: head, head_lines, chunk_head, trailer, interim,
//                         late_answer, body (of a success), error_body (of status 500)
//   endless_share=0.5     share of the runs that end so; 1 when absent
//   endless_health=yes    the health endpoint answers so, too
//   flap_ms=1000        the faults are active in every other interval of this length, starting with the first
#pragma once

#include <dandelionstall/state/types.h>

#include <string>

namespace dandelionstall::standins {

struct worker_faults {
    double slow = 1.0;
    std::chrono::milliseconds extra{0};
    double fail = 0.0;
    double truncate = 0.0;
    double reset = 0.0;
    double hang = 0.0;
    std::chrono::milliseconds late{0};
    double shed = 0.0;
    bool draining = false;
    std::chrono::milliseconds cold{0};
    std::string health = "honest";
    std::string load = "honest";
    std::string rateLimit; // empty sets no header
    std::string leaving;   // empty sets no header
    std::string endless;   // empty sends whole answers
    double endlessShare = 1.0;
    bool endlessHealth = false;
    std::chrono::milliseconds flap{0};
    state::time_point since; // time at which the faults were set
};

worker_faults parseWorkerFaults(const std::string &text, state::time_point now); // throws std::invalid_argument
worker_faults faultsAt(const worker_faults &faults, state::time_point now);      // returns the faults active at that time; applies flap_ms
std::chrono::milliseconds runTime(const worker_faults &faults, std::chrono::milliseconds cost, state::time_point now);

} // namespace dandelionstall::standins
