// Load profile: the requests that callers send, with their times and nodes. Planning is deterministic: the same profile
// gives the same requests.
//
//   [load]
//   seed=1
//   nodes=127.2.0.1:7480,127.2.0.2:7480    each request goes to one of them, drawn uniformly
//   source=127.9.0.1                       source IP address; chosen by the kernel when absent
//   id_prefix=a                            prefix of each request id
//   max_open=2000                          limit of requests in flight; those beyond it are recorded as caller_overload
//   id_header=X-Request-Id                 name of the header with the id
//   time_left_header=X-Deadline-Ms         name of the header with the milliseconds left
//   [phase.quiet]                          phases run one after another in file order
//   seconds=5
//   rate=100                               requests per second, Poisson arrivals
//   [class.lookup]
//   share=0.9                              relative weight among the classes
//   path=/orders/lookup  method=GET  host= idempotent=yes  ticket=no
//   cost_ms=20  cost_sigma=0.3             log-normal run time: median and sigma
//   straggler_share=0.01  straggler_factor=100
//   bytes=500  worth=1  deadline_ms=1000
//   organisations=50                       drawn uniformly: outlet-0, outlet-1, ...
//   retries=0                              retries at other nodes after a missing answer or an unknown outcome
//   calls=2  calls_share=0.7               calls that the run makes, in this share of the requests
//   leave_share=0.2  leave_ms=300          this share of the callers closes the connection after this time
//   again=3  again_share=0.3               this share of the callers sends the request again at once, up to this number of times, each time with
//                                          an id of its own: idempotent work after any failure, other work after an answer that says
//                                          it was not run
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <vector>

namespace dandelionstall::standins {

struct load_phase {
    std::string name;
    std::chrono::milliseconds length{1000};
    double rate = 10.0;
};

struct request_class {
    std::string name;
    double share = 1.0;
    std::string path = "/";
    std::string method = "GET";
    std::string host = "service.example";
    bool idempotent = true;
    bool ticket = false; // request a ticket first and send it as Idempotency-Key
    std::chrono::milliseconds cost{10};
    double costSigma = 0.0;
    double stragglerShare = 0.0;
    double stragglerFactor = 100.0;
    std::size_t bytes = 200;
    double worth = 1.0;
    std::chrono::milliseconds deadline{2000};
    std::uint32_t organisations = 20;
    std::uint32_t retries = 0;
    std::uint32_t calls = 0;
    double callsShare = 1.0;
    double leaveShare = 0.0;
    std::chrono::milliseconds leaveAfter{300};
    std::uint32_t again = 0;
    double againShare = 0.0;
};

struct load_profile {
    std::uint64_t seed = 1;
    std::vector<std::string> nodes;
    std::string source;
    std::string idPrefix = "r";
    std::size_t maxOpen = 2000;
    std::string idHeader = "X-Request-Id";
    std::string timeLeftHeader = "X-Deadline-Ms";
    std::vector<load_phase> phases;
    std::vector<request_class> classes;
};

struct planned_request {
    std::string id;
    std::chrono::microseconds due{0}; // scheduled send time, counted from the start of the load
    std::size_t requestClass = 0;     // index into the profile's classes
    std::size_t phase = 0;            // index into the profile's phases
    std::size_t node = 0;             // index into the profile's nodes
    std::chrono::milliseconds cost{0};
    std::string organisation;
    std::uint32_t calls = 0; // made by its run
    bool leaves = false;     // the caller closes the connection after request_class::leaveAfter
    bool comesAgain = false; // the caller sends it again at once, up to request_class::again times
};

load_profile readLoadProfile(const std::string &path);              // throws std::invalid_argument
std::vector<planned_request> planLoad(const load_profile &profile); // returns the requests in order of their due times

} // namespace dandelionstall::standins
