// Ejection and re-admission of workers: a pure function maps a node's view of a pool to the state of each worker.
//
// Guarantees of every policy except the baseline:
//   - ejection never reduces the number of usable workers below ceil(floor * size);
//   - the workers with the most severe faults are ejected first;
//   - a node that suspects a fault of its own ejects no further worker.
#pragma once

#include <dandelionstall/coordination/health/pool_view.h>

#include <map>
#include <memory>

namespace dandelionstall::coordination {

// Reason why a worker is ejected or has a reduced weight.
enum class ejection_reason {
    none,       // no fault was found
    failures,   // its requests fail more often than those of its peers
    slow,       // its requests run longer than those of its peers, relative to their expected cost
    stalled,    // its in-flight requests make no progress
    path,       // the network path to its node is broken in at least one direction
    cold_start, // it has just started or returned; its weight grows with time
    trial,      // re-admitted after an ejection; its weight grows with successful requests
    floor,      // it has a fault, but stays in use because of the pool's floor
};

// Health of the network path to a worker's node, as observed by this node.
struct path_health {
    bool inboundUp = true;             // messages from the worker's node arrive here
    bool outboundUp = true;            // the worker's node reports that messages from this node arrive there
    std::uint32_t recentFailures = 0;  // attempts that failed on the path since the last successful one
    std::uint32_t recentSuccesses = 0; // recent attempts that were answered over the path
};

// Self-suspicion: whether this node's observations may be wrong because of a fault of its own.
struct local_health {
    state::time_point suspectedUntil; // no worker is newly ejected before this time point, e.g. after a process pause
    bool isolated = false;            // this node receives messages from almost no other node
};

// Ejection history of one worker, carried from one evaluation to the next.
struct ejection_record {
    worker_state state = worker_state::unknown;     // result of the last evaluation
    state::time_point ejectedUntil;                 // the worker is not re-admitted before this time point
    state::time_point probationStartedAt;           // when the current probation started
    state::time_point weightChangedAt;              // when the weight last changed during probation
    std::uint32_t recentEjections = 0;              // number of recent ejections; each one makes the next ejection last longer
    state::time_point lastEjectedAt;                // when the worker was last ejected
    double weight = 1.0;                            // share of work set by the last evaluation, 0..1
    double severity = 0.0;                          // severity of the fault at the last ejection; higher values are ejected first
    state::incarnation incarnation = 0;             // incarnation of the worker's sidecar; a higher one begins a cold start
    ejection_reason reason = ejection_reason::none; // reason for the result of the last evaluation
};

struct ejection_input {
    const pool_view *view = nullptr;                       // reports of the workers; never null
    std::map<std::string, path_health, std::less<>> paths; // by worker id; a missing entry means a path without faults
    local_health localHealth;                              // whether this node suspects a fault of its own
    std::uint64_t seed = 0;                                // seed of this node; makes ejections end at different times on different nodes
    std::string_view dataCentre;                           // data centre of this node; empty when not known
    state::time_point now;                                 // time of the evaluation
};

using ejection_records = std::map<std::string, ejection_record, std::less<>>; // by worker id

class ejector
{
public:
    virtual ~ejector() = default;

    virtual ejection_records evaluate(const ejection_input &input, const ejection_records &previous) const = 0; // returns the updated records, one per worker
};

// Names of policies: "peer_outlier" (default), "consecutive_failures" (baseline for comparison; ignores the floor).
absl::StatusOr<std::unique_ptr<ejector>> makeEjector(std::string_view name);

std::string_view reasonName(ejection_reason reason);                         // name of the enumerator, e.g. "failures"
void applyEjectionRecords(const ejection_records &records, pool_view &view); // writes the state and weight of each worker into the view

} // namespace dandelionstall::coordination
