// What a node believes about the workers of a pool: the input of balancing and ejection.
//
// A sidecar reports on its own workers from real outcomes (worker_report). Reports spread within the pool by gossip and
// come back to ingresses with every answer. The control thread folds them into pool_view snapshots; traffic threads
// read those and never change them.
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

// A sidecar's account of one of its workers. Newer means higher (incarnation, version).
struct worker_report {
    std::string worker;                          // id in the pool table
    std::string pool;                            // pool of the worker
    state::node_address node;                    // reporting node
    state::incarnation incarnation = 0;          // of the reporting sidecar
    std::uint64_t version = 0;                   // grows with every report of that sidecar
    std::uint32_t slots = 0;                     // in force at the sidecar
    std::uint32_t busy = 0;                      // slots in use
    std::uint32_t queued = 0;                    // items waiting
    std::chrono::microseconds expectedWait{0};   // for a new item
    double successShare = 1.0;                   // of recent real work, 0..1
    std::chrono::microseconds latency{0};        // typical run time of recent work, scaled by route cost
    double slowness = 1.0;                       // run time against the cost expected for its routes; 1 is normal
    std::uint32_t samples = 0;                   // recent outcomes behind the two values above
    std::chrono::microseconds longestOverdue{0}; // age of the oldest running item beyond its expected cost
    std::uint32_t overdueCount = 0;              // running items beyond their expected cost that no later item has overtaken
    bool probeFailing = false;                   // the latest probe failed; strengthens other evidence, decides nothing alone
    double risk = -1.0;                          // chance that the worker is sick, 0..1; negative when no guard estimates it
    bool leaving = false;                        // takes no new work
    bool starting = false;                       // cold: not yet ready for its full share
};

// [SECTION] Views

enum class worker_state {
    unknown,     // nothing heard yet; usable
    healthy,     // in use
    probation,   // back in use with a growing share
    ejected,     // left out by ejection
    leaving,     // takes no new work
    unreachable, // its node does not answer
};

struct worker_view {
    std::string id;                             // worker id
    std::string dataCentre;                     // where it runs
    state::node_address node;                   // node beside it
    worker_state state = worker_state::unknown; // decides whether it is used
    double weight = 1.0;                        // share of work it may get, 0..1
    std::uint32_t slots = 1;                    // its slots
    bool announcedLeaving = false;              // it has announced that it takes no new work
    state::time_point coldUntil;                // slow until then, as it has announced
    worker_report report;                       // last report; version 0 when none
    state::time_point reportReceivedAt;         // when that report was taken in
    state::incarnation incarnation = 0;         // of its sidecar; 0 when not known
};

struct pool_view {
    std::string name;                      // pool name
    double floor = 0.5;                    // share of the pool that ejection leaves in use
    std::string balancer;                  // policy name
    std::string ejector;                   // policy name
    std::string admission;                 // policy name
    std::string retry;                     // policy name
    state::retry_allowance retryAllowance; // repeats that the fleet may make in the pool
    std::vector<worker_view> workers;      // in table order
};

bool isUsable(const worker_view &worker);                                   // unknown, healthy or probation
std::string_view stateName(worker_state state);                             // "healthy", ...
bool isNewer(const worker_report &candidate, const worker_report &current); // by incarnation, then version
pool_view makePoolView(const state::pool &pool);                            // all workers unknown

} // namespace dandelionstall::coordination
