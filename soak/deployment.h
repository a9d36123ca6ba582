// A deployment that the soak plays at its true size and load, on the platform's store: its pools, the classes of its requests, the calls
// of its workers and its retry allowance. Read from an INI file of soak/deployments/. The functions have no side effects but reading the file.
//
// Usage:
//   const deployment played = readDeployment("soak/deployments/vagacarrinho-sul.ini");   // throws std::invalid_argument
//   testing::fleet fleet(planDeployment(played, options));
#pragma once

#include <fleet.h>
#include <retry_check.h>

#include <chrono>
#include <string>
#include <vector>

namespace dandelionstall::soak {

inline constexpr std::string_view CallerHost = "service.example"; // Host header of all requests

struct deployed_pool {
    std::string name;
    std::vector<std::pair<std::string, std::size_t>> nodes; // data centres, and the number of nodes there
    std::uint32_t slots = 1;                                // of each worker
    std::size_t maxWaiting = 0;                             // requests that wait at a worker; more are refused
    double errorShare = 0.0;                                // share of the runs that end with an error without any fault
};

// A class of requests. The calls that workers make are one, too: it has no rate of its own.
struct deployed_class {
    std::string name;
    std::string pool;
    std::string kind;  // idempotent, non_idempotent or download
    double rate = 0.0; // requests per second
    std::chrono::milliseconds work{0};
    double workSigma = 0.0;
    std::chrono::milliseconds target{0};
    std::chrono::milliseconds deadline{0};
    std::uint32_t priority = 0;
    std::uint32_t attempts = 2; // workers that one request may be sent to
    std::size_t bytes = 200;    // of an answer
    std::uint32_t calls = 0;    // calls of a run that makes any
    double callsShare = 0.0;    // share of the runs that make calls
    bool together = false;      // of the calls: all calls of a run are made at once
};

struct deployment {
    std::chrono::milliseconds lead{0}; // from the start of the nodes to that of the traffic
    standins::repeat_limit allowance;
    std::chrono::milliseconds drainTime{2000};
    std::chrono::seconds stopGrace{6};
    double floor = 0.7;
    double waveSwing = 0.0; // the rate swings by this share around its mean
    std::chrono::seconds wavePeriod{13};
    std::vector<deployed_pool> pools;
    std::vector<deployed_class> classes;
    deployed_class call; // the calls of workers
};

// What callers and workers do besides the drawn faults.
struct behaviour {
    double failing = 0.0;   // share of the runs that end with an error, at all workers, so that there is much to repeat
    double leaving = 0.0;   // share of the callers that leave early
    double impatient = 0.0; // share of the callers that send a refused or failed request again at once
    double staying = 0.2;   // share of the runs that go on when their caller has gone
    double load = 1.0;      // factor of all rates
    bool callsNameParents = true;
    bool direct = false;             // nodes reach each other without the fault proxy, so that paths have no faults
    bool keepsFirstSettings = false; // nodes that start again get the settings of their first start
    std::string settingsTemplate;    // text of the deploy template
};

deployment readDeployment(const std::string &path); // throws std::invalid_argument
std::size_t nodesOf(const deployment &played);

testing::fleet_plan planDeployment(const deployment &played, const behaviour &how, std::uint64_t seed);
std::string documentOf(const deployment &played, std::uint64_t version); // configuration document
std::string
deploymentLoad(const deployment &played, const behaviour &how, std::chrono::milliseconds from, std::chrono::seconds length); // load profile, without its head
standins::retry_traffic trafficOf(const deployment &played, const testing::fleet_plan &plan, const standins::check_input &observed);

} // namespace dandelionstall::soak
