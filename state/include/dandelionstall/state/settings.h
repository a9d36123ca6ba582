// Settings of one node process, read once from an INI file when the process starts.
//
// Usage:
//   auto settings = parseSettings(text, "node.ini");   // error: "<source>:<line>: <reason>"
//
// docs/SETTINGS.md describes every key. Unknown sections and keys are errors.
#pragma once

#include <dandelionstall/state/types.h>

#include <map>
#include <string>
#include <vector>

namespace dandelionstall::state {

// A worker on this VM, from a section [worker.<id>].
struct local_worker {
    std::string id;                      // worker id as in the pool table
    std::string pool;                    // pool name as in the pool table
    node_address address;                // address on this VM at which the worker listens
    std::string healthPath = "/healthz"; // path of the worker's health and load endpoint; empty disables probes

    friend bool operator==(const local_worker &, const local_worker &) = default;
};

// Names of the headers between callers, nodes and workers. An empty name disables the feature.
struct header_names {
    std::string requestId;                         // request id, set by the caller and echoed by the worker; matches an answer to its request
    std::string timeLeft = "X-Deadline-Ms";        // time left in milliseconds: how long the caller waits, or how long the worker may take
    std::string originPool;                        // pool of the VM that received the request; always set by the node
    std::string expectedWorker;                    // id of the worker that may run the request
    std::string notRun = "X-Worker-Refused";       // set by a worker on its answer when it did not run the request
    std::string apiKey;                            // key of the caller's organisation; removed before a request is passed on
    std::string organisation;                      // name of that organisation, for the worker; always set or removed by the node
    std::string seal;                              // set by a worker on its answer to prove that the answer comes from it
    std::string rateLimit = "X-Worker-Rate-Limit"; // set by a worker on its answers: requests per second that it takes from all nodes together
    std::string leaving = "X-Worker-Leaving";      // set to 1 by a worker on its answers when it accepts no new work

    friend bool operator==(const header_names &, const header_names &) = default;
};

// All settings of a node.
struct settings {
    // [node]
    std::string name;                       // node name in logs and in the admin API; defaults to the advertised address
    std::string dataCentre;                 // data centre of this VM
    std::string region;                     // region of the data centre
    node_address listenAddress;             // address for streams (TCP) and gossip (UDP) between nodes
    node_address advertiseAddress;          // address at which other nodes reach this one; defaults to the listen address
    node_address callersAddress;            // address for HTTP/1.1 requests of callers
    node_address adminAddress;              // address of the admin API and /metrics; 127.0.0.1:7402 by default
    node_address readyAddress;              // address of the readiness endpoint; port 0 disables it
    std::string readyPath = "/ready";       // path of the readiness endpoint
    std::string localPool;                  // pool of the service on this VM; sent to workers as the origin of its requests
    std::uint32_t ingressThreads = 1;       // number of threads that serve callers, 1..16
    bool firstStart = false;                // the whole fleet is started for the first time: no node has served any worker before
    std::chrono::milliseconds stopGrace{0}; // longest duration of a graceful stop; 0 waits until all requests have ended

    // [platform]
    std::string platformKind = "consul";             // "consul" or "keyed_store", see docs/SETTINGS.md
    std::string platformBounds;                      // bounds that the platform states, "name=value,name=value"; see platform/store_adapter.h
    std::string platformContracts;                   // names of the contracts that the platform has in force, separated by commas
    node_address configService;                      // address of the key-value service that stores the two tables
    std::string routesKey = "dandelionstall/routes"; // key of the route table
    std::string poolsKey = "dandelionstall/pools";   // key of the pool table
    node_address vmList;                             // address of the service that lists the VMs; defaults to the configuration service
    std::vector<node_address> seeds;                 // nodes that this one contacts first after its start

    // [limits]
    std::size_t maxHeaderBytes = 16'384;              // largest header of one request or answer, in bytes
    std::size_t maxBodyBytes = 1'048'576;             // largest body of one request, in bytes; it stays in memory until the attempt ends
    std::uint32_t memoryMb = 256;                     // memory that the process may use, in MiB; bounds the bodies held at once
    std::size_t maxKeptAnswerBytes = 262'144;         // largest non-idempotent answer that is kept for later delivery, in bytes
    std::uint32_t maxCallers = 2000;                  // largest number of caller connections
    std::uint32_t maxQueuedPerWorker = 64;            // largest number of requests that wait for a slot of one worker
    std::uint32_t maxOrganisations = 8192;            // largest number of organisations whose request rates are tracked
    std::chrono::milliseconds headerTimeout{5000};    // time within which a caller must send a request header
    std::chrono::milliseconds idleTimeout{60000};     // time after which an idle caller connection is closed
    std::chrono::milliseconds ticketLifetime{600000}; // time after which tickets and kept outcomes expire

    bool retryAfterFractions = false; // sends Retry-After in fractions of a second, for callers that accept them

    // [headers]
    header_names headers;

    // [regions]
    std::map<std::string, std::string, std::less<>> regions; // region of each data centre; empty when the deployment has only one region

    // [log]
    std::string logLevel = "info";            // lowest level that is logged: trace, debug, info, warn or error
    std::uint32_t maxLogLinesPerSecond = 500; // limit for lines about ordinary successes; the limit for other lines is twice as high

    std::vector<local_worker> workers; // workers of the [worker.<id>] sections

    // [discovered_worker]
    std::string discoveredWorkerPool;     // pool of the worker on this VM that announces itself in the platform's store; empty when there is none
    node_address discoveredWorkerAddress; // address at which that worker listens

    friend bool operator==(const settings &, const settings &) = default;
};

std::string_view regionOf(const settings &settings, std::string_view dataCentre); // empty when the region of the data centre is not stated
std::size_t countRegions(const settings &settings);                               // different regions in [regions]

absl::StatusOr<settings> parseSettings(std::string_view text, std::string_view source); // error: "<source>:<line>: <reason>"

} // namespace dandelionstall::state
