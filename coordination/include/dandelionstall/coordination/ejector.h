// Ejection and re-admission of workers: one pure function from a node's view of a pool to the state of each worker.
//
// What holds for every policy but the baseline: the usable workers never fall below ceil(floor * size) through ejection;
// the worst go first; a node that doubts its own view ejects nobody.
#pragma once

#include <dandelionstall/coordination/pool_view.h>

#include <map>
#include <memory>

namespace dandelionstall::coordination {

// Why a worker is left out or has less than its full share.
enum class ejection_reason {
    none,       // nothing speaks against it
    failures,   // its real work fails more often than its peers'
    slow,       // its real work runs longer than its peers'
    stalled,    // its running work makes no progress
    path,       // one direction of the path to its node is cut
    cold_start, // it has just started; its share grows
    trial,      // back after an ejection; its share grows with successful work
    floor,      // looks sick, but is kept in use by the pool's floor
};

// What a node knows about the path to a worker's node, beside the worker's own report.
struct path_health {
    bool inboundUp = true;             // messages from it arrive
    bool outboundUp = true;            // it says that mine arrive there
    std::uint32_t recentFailures = 0;  // attempts that broke on the path since one came back
    std::uint32_t recentSuccesses = 0; // attempts that came back lately
};

// The node's trust in itself.
struct local_health {
    state::time_point suspectedUntil; // verdicts made before this time point are held back, e.g. after a pause
    bool isolated = false;            // hears almost nobody
};

// Memory of ejection, one per worker, carried from one judgement to the next.
struct ejection_record {
    worker_state state = worker_state::unknown;     // last verdict
    state::time_point ejectedUntil;                 // no re-admission before this
    state::time_point probationStartedAt;           // start of the growing share
    state::time_point weightChangedAt;              // last change of the growing share
    std::uint32_t recentEjections = 0;              // lately; makes the hold longer
    state::time_point lastEjectedAt;                // for forgetting recentEjections
    double weight = 1.0;                            // share given by the last verdict
    double severity = 0.0;                          // how bad it looked when it was ejected; the worst are ejected first
    state::incarnation incarnation = 0;             // of the sidecar that the record is about; a new one starts cold
    ejection_reason reason = ejection_reason::none; // behind the last verdict
};

struct ejection_input {
    const pool_view *view = nullptr;                       // reports of the workers; never null
    std::map<std::string, path_health, std::less<>> paths; // by worker id; absent means nothing special
    local_health localHealth;                              // trust in the own view
    std::uint64_t seed = 0;                                // of the node; spreads the end of holds over the nodes
    std::string_view dataCentre;                           // of the node; empty when not known
    state::time_point now;
};

using ejection_records = std::map<std::string, ejection_record, std::less<>>; // by worker id

class ejector
{
public:
    virtual ~ejector() = default;

    virtual ejection_records evaluate(const ejection_input &input, const ejection_records &before) const = 0; // the next memory; one entry per worker
};

// Names: "peer_outlier" (chosen), "consecutive_failures" (baseline without floor).
absl::StatusOr<std::unique_ptr<ejector>> makeEjector(std::string_view name);

std::string_view reasonName(ejection_reason reason);                        // "failures", ...
void applyEjectionRecords(const ejection_records &memory, pool_view &view); // writes state and weight into the view

} // namespace dandelionstall::coordination
