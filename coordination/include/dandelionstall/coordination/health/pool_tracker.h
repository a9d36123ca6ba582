// Tracks the pools that one node needs: merges worker reports, observations of network paths and membership into pool
// views. Does no I/O and reads no clock: the caller passes the time to each call. Used from the control thread.
//
// Changes that decide who gets work are evaluated with the next evaluate(), changes of load in a large pool after some time that
// grows with the pool: this bounds the processor time of the evaluations. See isSharpChange().
//
// Only the pools of the node's local workers and pools with recent use are tracked; for all others use makePoolView().
//
// Usage:
//   pool_tracker tracker(seed, "kiambu");
//   tracker.setTable(table, now);
//   tracker.addLocalPool("catalogue");
//   tracker.recordPoolUse("dressing-order", now);  // call with each use
//   if (tracker.recordReport(report, now)) { ... forward the report ... }
//   for (const std::string &pool : tracker.evaluate(now)) { ... publish tracker.views() ... }
//
// Index:
//   [SECTION] Observations
//   [SECTION] Tracker
#pragma once

#include <dandelionstall/coordination/health/ejector.h>

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

// [SECTION] Observations

// One observation of the network path to a node.
enum class path_event {
    attempt_succeeded, // an attempt was answered over the path
    attempt_failed,    // an attempt failed on the path
    inbound_down,      // no messages arrive from the node, although some are expected
    inbound_up,        // a message from the node has arrived
    outbound_up,       // the node reports that messages from this node arrive
    outbound_down,     // the node reports that messages from this node don't arrive
};

// State of a node according to membership.
enum class node_condition {
    live,    // the node is in service
    leaving, // the node accepts no new work
    dead,    // the node answers neither this node nor the peers that probed it on request
};

// State of one worker for the admin API.
struct worker_explanation {
    std::string pool;                               // name of the worker's pool
    std::string worker;                             // worker id
    worker_state state = worker_state::unknown;     // state in the current view
    ejection_reason reason = ejection_reason::none; // reason for the ejector's last result
    double weight = 1.0;                            // share of the normal amount of work that it gets, 0..1
    std::uint32_t recentEjections = 0;              // number of recent ejections
    std::string summary;                            // description in one line for operators
};

// [SECTION] Tracker

// Holds the view of each tracked pool and re-evaluates it when something has changed.
class pool_tracker
{
public:
    using pool_views = std::map<std::string, std::shared_ptr<const pool_view>, std::less<>>;

    pool_tracker(std::uint64_t seed, std::string dataCentre, state::node_address self = {}); // seed, data centre and address of this node

    void setTable(std::shared_ptr<const state::pool_table> table, state::time_point now); // keeps the state of workers with an unchanged id and node
    void addLocalPool(std::string_view pool);                                             // tracks the pool without expiry
    void recordPoolUse(std::string_view pool, state::time_point now);                     // tracks the pool for 5 minutes from now
    bool recordReport(const worker_report &report, state::time_point now); // returns true if the worker is tracked and had no newer or equal report
    void recordPathEvent(const state::node_address &node, path_event event, state::time_point now);             // ignored for nodes without a tracked worker
    void recordNodeCondition(const state::node_address &node, node_condition condition, state::time_point now); // takes effect with the next evaluate()
    void recordPause(state::time_point now);                  // after a process pause: ejects no worker until fresh reports can have arrived
    void setIsolated(bool isolated);                          // whether this node receives messages from almost no other node
    std::vector<std::string> evaluate(state::time_point now); // returns the names of the pools whose view has changed
    pool_views views() const;                                 // published views of all tracked pools
    std::vector<worker_explanation> explain(std::string_view pool, state::time_point now) const; // in table order; empty for an untracked pool
    std::vector<worker_explanation> consumeStateChanges(state::time_point now);                  // workers whose state has changed since the last call

private:
    struct path_record {
        bool inboundUp = true;                   // messages from the node arrive here
        bool outboundUp = true;                  // messages from this node arrive there
        std::vector<state::time_point> failures; // times of failed attempts since the last success
    };

    struct tracked_pool {
        pool_view view;                             // latest state, changed in place
        ejection_records ejectionRecords;           // records of the last evaluation
        std::unique_ptr<ejector> ejectionPolicy;    // policy of the pool
        std::shared_ptr<const pool_view> published; // copy of the view that views() returns
        state::time_point expiresAt;                // when tracking ends; time_point::max() for local pools
        bool changedSincePublished = true;          // the view has changed since it was published
        bool sharpChange = true;                    // the next evaluation is due at once; see isSharpChange()
        state::time_point nextLoadEvaluationAt;     // earliest time of the next evaluation after changes of load only
        std::uint64_t evaluatedChanges = 0;         // value of m_changeCount at the last evaluation
        state::time_point nextEvaluationAt;         // earliest time of the next evaluation if nothing changes
    };

    void markSubset(const state::pool &pool, pool_view &view) const;
    tracked_pool *track(std::string_view pool, state::time_point expiresAt);
    void untrackExpired(state::time_point now);
    static bool isFaultless(const path_record &path);
    bool hasWorkerAt(const state::node_address &node) const;
    ejection_input makeEjectionInput(const tracked_pool &pool, state::time_point now) const;
    void applyNodeConditions(tracked_pool &pool) const;
    std::chrono::milliseconds idleEvaluationInterval(const tracked_pool &pool) const;
    bool evaluatePool(tracked_pool &pool, state::time_point now);
    static worker_explanation explainWorker(const tracked_pool &pool, const worker_view &worker, state::time_point now);
    void recordStateChanges(const tracked_pool &pool); // of the view since it was last published

    std::uint64_t m_seed;
    std::string m_dataCentre;
    state::node_address m_self;
    std::shared_ptr<const state::pool_table> m_table;
    std::map<std::string, tracked_pool, std::less<>> m_pools;
    std::map<std::string, bool, std::less<>> m_localPools;
    std::map<state::node_address, path_record> m_paths;             // only paths with a fault
    std::map<state::node_address, node_condition> m_nodeConditions; // leaving and dead nodes only
    local_health m_localHealth;
    std::map<std::string, std::set<std::string>, std::less<>> m_stateChanges; // by pool, ids of workers whose state has changed
    std::uint64_t m_changeCount = 0;                                          // counts changes of paths, of node conditions and of the local health
};

} // namespace dandelionstall::coordination
