// State of a pool's workers as known to one node: the input of balancing and ejection.
//
// A sidecar reports on its local workers from the outcomes of their requests (worker_report). Reports are disseminated
// within the pool by gossip and returned to ingresses with every answer. The control thread merges them into pool_view
// snapshots; traffic threads only read those.
//
// Index:
//   [SECTION] Reports
//   [SECTION] Views
#pragma once

#include <dandelionstall/state/tables.h>

#include <memory>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

// [SECTION] Reports

// What a sidecar knows about a rate limit of its worker.
enum class limit_knowledge {
    unknown, // nothing: it has heard no answer of the worker since its start
    none,    // the worker states no limit
    limited, // the worker states a limit
};

// Report of a sidecar on one of its workers. Of two reports, the newer one has the higher (incarnation, version).
struct worker_report {
    std::string worker;                          // id of the worker in the pool table
    std::string pool;                            // name of the worker's pool
    state::node_address node;                    // address of the reporting node
    state::incarnation incarnation = 0;          // incarnation of the reporting sidecar
    std::uint64_t version = 0;                   // increases with every report of that sidecar; 0 when there is no report
    std::uint32_t slots = 0;                     // concurrent requests that the sidecar allows; 0 when not stated
    std::uint32_t busy = 0;                      // slots in use
    std::uint32_t queued = 0;                    // requests waiting for a slot
    std::chrono::microseconds expectedWait{0};   // expected time in the queue for a new request
    double successShare = 1.0;                   // share of recent requests that succeeded, 0..1
    std::chrono::microseconds latency{0};        // typical cost of recent requests multiplied by the slowness
    double slowness = 1.0;                       // median ratio of run time to the expected cost of the route; 1 is normal
    std::uint32_t samples = 0;                   // number of recent outcomes that successShare is computed from
    std::chrono::microseconds longestOverdue{0}; // longest time by which an overdue in-flight request exceeds its expected cost
    std::uint32_t overdueCount = 0;              // in-flight requests that run much longer than expected, not counting those that a later request has overtaken
    bool probeFailing = false;                   // the latest health probe failed; strengthens other evidence, but causes no ejection alone
    double risk = -1.0;                          // probability that the worker is unhealthy, 0..1; negative when no failure guard estimates it
    bool leaving = false;                        // the worker accepts no new work
    bool starting = false;                       // the worker is cold: not yet ready for its full share of work
    std::uint64_t lifetime = 0; // start of the worker as announced (pool_worker::startedAtMs); 0 when not announced, or without limit and leaving
    limit_knowledge limit = limit_knowledge::unknown; // whether the worker states a rate limit
    double rateLimit = 0.0;                           // stated limit in requests per second, when limited
    std::chrono::microseconds roomAfter{0};           // time until a request has room within the limit; 0 when it has room at once
    bool workerLeaving = false;                       // the worker itself states that it is leaving
};

// Whether other nodes choose or avoid the worker differently after the change, so that they need it before the next regular report.
bool hasStateChange(const worker_report &before, const worker_report &after); // leaving, starting, limited, or its risk has crossed one half
bool isSharpChange(const worker_report &before, const worker_report &after);  // the same, or its success, slowness or longest overdue time has changed much

// Until when a worker counts as leaving after it has stated so: for its lifetime. Without an announced lifetime (0) it is tried
// again after UnnamedLifetime, as nothing else would tell that it has been started anew.
inline constexpr std::chrono::seconds UnnamedLifetime{30};
state::time_point leavingUntil(std::uint64_t lifetime, state::time_point statedAt);

// [SECTION] Views

enum class worker_state {
    unknown,     // no report received yet; usable
    healthy,     // in full use
    probation,   // in use with a reduced weight that grows
    ejected,     // gets no work because it was ejected
    leaving,     // accepts no new work
    unreachable, // the worker's node does not answer
};

// State of one worker as known to this node.
struct worker_view {
    std::string id;                             // worker id
    std::string dataCentre;                     // data centre of the worker
    state::node_address node;                   // address of the worker's node
    worker_state state = worker_state::unknown; // decides whether the worker gets work; see isUsable()
    double weight = 1.0;                        // share of the normal amount of work that it gets, 0..1
    std::uint32_t slots = 1;                    // concurrent requests allowed
    bool inSubset = true;                       // this node uses it first; see worker_subset.h
    bool announcedLeaving = false;              // the worker has announced that it accepts no new work
    state::time_point coldUntil;                // the worker has announced that it is slow until this time point
    std::uint64_t lifetime = 0;                 // start of the worker as announced; see worker_report::lifetime
    worker_report report;                       // latest report; version 0 when there is none
    state::time_point reportReceivedAt;         // when the latest report was received
    state::incarnation incarnation = 0;         // incarnation of the worker's sidecar; 0 when not known
};

// State of one pool as known to this node.
struct pool_view {
    std::string name;                 // name of the pool
    double floor = 0.5;               // minimum share of the pool that ejection leaves in use, 0..1
    std::string balancer;             // name of the balancer policy
    std::string ejector;              // name of the ejector policy
    std::string admission;            // name of the admission policy
    std::string retry;                // name of the retry policy
    std::vector<worker_view> workers; // in table order
};

bool isUsable(const worker_view &worker);                // true in the states unknown, healthy and probation
state::time_point rateRoomAt(const worker_view &worker); // time from which its rate limit has room, by its latest report; epoch without a limit
double usableSlots(const worker_view &worker);           // slots that its rate limit can keep busy; all of them without a limit
std::uint32_t countSharingNodes(const pool_view &pool);  // nodes with a worker that takes work here or, if unreachable, may take it elsewhere
std::string_view stateName(worker_state state);          // name of the enumerator, e.g. "healthy"
bool isNewer(const worker_report &candidate, const worker_report &current); // compares the incarnation, then the version
pool_view makePoolView(const state::pool &pool);                            // initial view: all workers are in the state unknown and in the subset

} // namespace dandelionstall::coordination
