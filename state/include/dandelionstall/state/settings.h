// Settings of one node process, read once at start from an INI file.
//
// Usage:
//   auto settings = parseSettings(text, "node.ini");   // error: "<source>:<line>: <reason>"
//
// docs/SETTINGS.md is the reference of every key. Unknown sections and keys are refused.
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <vector>

namespace dandelionstall::state {

// A worker on this VM: [worker.<id>]
struct local_worker {
    std::string id;                      // as in the pool table
    std::string pool;                    // as in the pool table
    node_address address;                // where the worker listens, on this VM
    std::string healthPath = "/healthz"; // its health and load endpoint; empty disables probes

    friend bool operator==(const local_worker &, const local_worker &) = default;
};

// Header names between callers, nodes and workers. An empty name switches the feature off.
struct header_names {
    std::string requestId;                   // drawn by the caller, echoed by the worker; tells whose answer it is
    std::string timeLeft = "X-Deadline-Ms";  // milliseconds that the caller waits, or that the worker has
    std::string originPool;                  // pool of the VM at which the request came in; always set by the node
    std::string expectedWorker;              // id of the worker that may run the request
    std::string notRun = "X-Worker-Refused"; // on a worker's answer: it was not run
    std::string seal;                        // on a worker's answer: proof that the worker made it

    friend bool operator==(const header_names &, const header_names &) = default;
};

// The one settings aggregate of a node.
struct settings {
    // [node]
    std::string name;                       // shown in logs and the admin API; the advertised address when empty
    std::string dataCentre;                 // data centre of this VM
    std::string region;                     // region of the data centre
    node_address listenAddress;             // streams (TCP) and gossip (UDP) between nodes
    node_address advertiseAddress;          // what other nodes use to reach this one; the listen address when absent
    node_address callersAddress;            // HTTP/1.1 from callers
    node_address adminAddress;              // admin API and /metrics; loopback by default
    node_address readyAddress;              // where readiness is asked for; port 0 when nowhere
    std::string readyPath = "/ready";       // path of that question
    std::string localPool;                  // pool of the service on this VM, stated to workers as the origin of its requests
    std::uint32_t ingressThreads = 1;       // threads that serve callers, 1..16
    std::chrono::milliseconds stopGrace{0}; // a graceful stop ends within this; 0 waits for all work

    // [platform]
    std::string platformKind = "consul";             // "consul" or "keyed_store", see docs/SETTINGS.md
    std::string platformBounds;                      // text for the adapter of a keyed store: its stated bounds
    node_address configService;                      // key-value service holding the two tables
    std::string routesKey = "dandelionstall/routes"; // key of the route table
    std::string poolsKey = "dandelionstall/pools";   // key of the pool table
    node_address vmList;                             // list of VMs; same service when absent
    std::vector<node_address> seeds;                 // nodes to ask first when this one starts

    // [limits]
    std::size_t maxHeaderBytes = 16'384;              // of one request or answer
    std::size_t maxBodyBytes = 1'048'576;             // of one request; it is held until the attempt ends
    std::size_t maxKeptAnswerBytes = 262'144;         // of one non-idempotent answer kept for later delivery
    std::uint32_t maxCallers = 2000;                  // caller connections
    std::uint32_t maxQueuedPerWorker = 64;            // requests waiting at one worker's slots
    std::uint32_t maxOrganisations = 8192;            // organisations tracked for limits
    std::chrono::milliseconds headerTimeout{5000};    // a caller must send a request header within this
    std::chrono::milliseconds idleTimeout{60000};     // idle caller connection is closed after this
    std::chrono::milliseconds ticketLifetime{600000}; // tickets and kept outcomes expire after this

    bool retryAfterFractions = false; // Retry-After in fractions of a second, for callers that take them

    // [headers]
    header_names headers;

    // [log]
    std::string logLevel = "info";            // trace, debug, info, warn, error
    std::uint32_t maxLogLinesPerSecond = 500; // lines about ordinary successes; others may be twice as many

    std::vector<local_worker> workers; // [worker.<id>] sections

    // [discovered_worker]
    std::string discoveredWorkerPool;     // pool of the one worker here that announces itself; empty when none does
    node_address discoveredWorkerAddress; // where it listens

    friend bool operator==(const settings &, const settings &) = default;
};

absl::StatusOr<settings> parseSettings(std::string_view text, std::string_view source); // error names line and reason

} // namespace dandelionstall::state
