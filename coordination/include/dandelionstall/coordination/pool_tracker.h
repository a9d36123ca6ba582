// What one node knows of the pools it needs: folds worker reports, observations of paths and membership into pool
// views. Pure; used from the control thread. Time comes in with each call.
//
// Only pools of the node's own workers and pools it lately routed to are kept; for all others use makePoolView().
//
// Usage:
//   pool_tracker tracker(seed, "kiambu");
//   tracker.setTable(table, now);
//   tracker.addLocalPool("catalogue");
//   tracker.recordPoolUse("dressing-order", now);  // again with each use
//   if (tracker.recordReport(report, now)) { ... pass it on ... }
//   for (const std::string &pool : tracker.evaluate(now)) { ... publish tracker.views() ... }
//
// Index:
//   [SECTION] Observations
//   [SECTION] Tracker
#pragma once

#include <dandelionstall/coordination/ejector.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

// [SECTION] Observations

// One observation of the path to a node.
enum class path_event {
    attempt_succeeded, // an attempt came back over it
    attempt_failed,    // an attempt broke on it
    inbound_down,      // messages are expected from the node and none arrive
    inbound_up,        // a message from the node has arrived
    outbound_up,       // the node says that this node's messages arrive
    outbound_down,     // the node says that they do not
};

// What membership says about a node.
enum class node_condition {
    live,    // in service
    leaving, // takes no new work
    dead,    // does not answer this node nor others asked to try
};

// State of one worker for the admin API.
struct worker_explanation {
    std::string worker;                             // worker id
    worker_state state = worker_state::unknown;     // in the current view
    ejection_reason reason = ejection_reason::none; // of the ejector
    double weight = 1.0;                            // share of work
    std::uint32_t recentEjections = 0;              // lately
    std::string summary;                            // one line for people
};

// [SECTION] Tracker

class pool_tracker
{
public:
    using pool_views = std::map<std::string, std::shared_ptr<const pool_view>, std::less<>>;

    pool_tracker(std::uint64_t seed, std::string dataCentre);

    void setTable(std::shared_ptr<const state::pool_table> table, state::time_point now); // keeps what is known of workers that stay
    void addLocalPool(std::string_view pool);                                             // tracked without expiry
    void recordPoolUse(std::string_view pool, state::time_point now);                     // tracked until it has not been noted for a while
    bool recordReport(const worker_report &report, state::time_point now);                // true when newer than what was known; false too when untracked
    void recordPathEvent(const state::node_address &node, path_event event, state::time_point now); // ignored for nodes without a tracked worker
    void recordNodeCondition(const state::node_address &node, node_condition condition, state::time_point now);
    void recordPause(state::time_point now);                  // the process slept: judges nobody anew until fresh reports had time to come
    void setIsolated(bool isolated);                          // this node hears almost nobody
    std::vector<std::string> evaluate(state::time_point now); // names of the pools whose view has changed
    pool_views views() const;                                 // of all tracked pools, immutable
    std::vector<worker_explanation> explain(std::string_view pool, state::time_point now) const; // in table order; empty when untracked

private:
    struct path_record {
        bool inboundUp = true;
        bool outboundUp = true;
        std::vector<state::time_point> failures; // since the last success
    };

    struct tracked_pool {
        pool_view view;                   // latest, changed in place
        ejection_records ejectionRecords; // of the ejector
        std::unique_ptr<ejector> ejectionPolicy;
        std::shared_ptr<const pool_view> published;
        state::time_point expiresAt;        // time_point::max() for own pools
        bool changedSincePublished = true;  // since it was published
        std::uint64_t evaluatedChanges = 0; // value of m_changeCount at the last judgement
        state::time_point nextEvaluationAt; // without news it is not judged before
    };

    tracked_pool *track(std::string_view pool, state::time_point expiresAt);
    void untrackExpired(state::time_point now);
    bool hasWorkerAt(const state::node_address &node) const;
    ejection_input makeEjectionInput(const tracked_pool &pool, state::time_point now) const;
    void applyNodeConditions(tracked_pool &pool) const;
    std::chrono::milliseconds idleEvaluationInterval(const tracked_pool &pool) const;
    bool evaluatePool(tracked_pool &pool, state::time_point now);

    std::uint64_t m_seed;
    std::string m_dataCentre;
    std::shared_ptr<const state::pool_table> m_table;
    std::map<std::string, tracked_pool, std::less<>> m_pools;
    std::map<std::string, bool, std::less<>> m_localPools;
    std::map<state::node_address, path_record> m_paths;             // only nodes that something is known of
    std::map<state::node_address, node_condition> m_nodeConditions; // leaving and dead nodes only
    local_health m_localHealth;
    std::uint64_t m_changeCount = 0; // counts news of paths, nodes and of this node itself
};

} // namespace dandelionstall::coordination
