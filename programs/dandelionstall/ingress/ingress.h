// The ingress accepts requests of callers, chooses workers, sends attempts, retries where that is safe, and writes the answers.
// All methods except the constructor must be called on the thread of its io_context.
//
// Index:
//   [SECTION] Events to the control thread
//   [SECTION] Ingress
#pragma once

#include "caller_connection.h"
#include "links/peer_directory.h"
#include "shared_state.h"

#include <dandelionstall/coordination/balancing/balancer.h>
#include <dandelionstall/coordination/balancing/path_backoff.h>
#include <dandelionstall/coordination/fleet_snapshot.h>
#include <dandelionstall/coordination/rates/organisation_use.h>
#include <dandelionstall/coordination/repeats/retry.h>
#include <dandelionstall/protocol/worker_signals.h>
#include <dandelionstall/state/settings.h>
#include <dandelionstall/state/tables_index.h>
#include <dandelionstall/transport/metrics.h>

#include <pcg_random.hpp>

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace dandelionstall {

// [SECTION] Events to the control thread

struct ingress_events {
    std::function<void(std::vector<coordination::worker_report>)> reports; // worker reports piggybacked on answers
    std::function<void(state::node_address, bool)> pathOutcome;            // whether the node could be reached for an attempt
    std::function<void(std::string)> poolUse;                              // a request was routed to this pool
};

// [SECTION] Ingress

class request_handler;

inline constexpr std::chrono::milliseconds StoppingRetryAfter{1000}; // Retry-After of requests that come too late in a stop

class ingress
{
public:
    ingress(boost::asio::io_context &io,
            const state::settings &settings,
            std::uint64_t seed,
            transport::metrics &counters,
            shared_local_runs &localRuns,
            shared_told_signals &told,
            shared_rate_client &rates,
            coordination::memory_budget &memory,
            ingress_events events);

    absl::Status listen();                                         // binds the callers' address and starts to accept connections
    void applySnapshot(coordination::fleet_snapshot_ptr snapshot); // replaces the configuration and the pool views
    void beginShutdown(state::time_point answersBy,
                       state::time_point lateFrom); // answers carry Connection: close from now on; new connections are still served
    void withdrawWaiting();                         // withdraws attempts that wait for a worker, reads no more bodies; no request waits longer than answersBy
    void stopListening();                           // accepts what is waiting, stops listening and closes idle connections
    bool isIdle() const;                            // true when no connection is open
    std::size_t busyConnections() const;            // number of connections with a request in flight

    // Access for request_handler.
    const state::settings &settings() const;
    coordination::fleet_snapshot_ptr snapshot() const; // null until the first configuration is complete
    const state::route_index &routes() const;          // index over the routes of snapshot(), which must not be null
    std::shared_ptr<const coordination::pool_view> viewOf(const state::pool &pool);
    coordination::balancer &balancerOf(const coordination::pool_view &view);
    coordination::retry_policy &retryOf(const coordination::pool_view &view);
    peer_directory &peers();
    void recordPathOutcome(const state::node_address &node, bool ok); // updates the path backoff and reports the outcome to the control thread
    void recordUnreachable(const std::string &worker);                // the worker's sidecar could not connect to it
    bool isAvoided(const coordination::worker_view &worker) const;
    bool isAvoided(const state::node_address &node) const;
    transport::metrics &metrics();
    coordination::memory_budget &memory();                                                                 // for bodies that this node holds
    void recordReports(const std::vector<coordination::worker_report> &reports);                           // reports that came with an answer
    void recordSignals(const coordination::worker_identity &who, const protocol::worker_signals &signals); // the head of an answer that this node passes on
    std::vector<std::string> barredWorkers(const coordination::pool_view &view); // ids of workers that leave, or whose rate limit has no room now
    std::optional<state::time_point>
    promiseRoom(const coordination::pool_view &view); // when a usable worker of the pool has room again; nullopt when none is limited
    std::optional<coordination::told_limit> toldLimit(const std::string &worker); // to be carried with an attempt
    void recordSent(const std::string &worker);                                   // an attempt is sent to the worker
    void recordNotArrived(const std::string &worker);                             // it did not reach the worker
    std::uint64_t random();
    state::attempt_id nextAttempt();
    std::size_t expectedAnswerBytes(const std::string &route) const; // moving average of the route; 0 without a recorded answer
    void recordAnswerBytes(const std::string &route, std::size_t bytes);
    std::uint32_t &inFlight(const std::string &worker);                        // number of this ingress' in-flight attempts at the worker
    bool isCallOfRepeat(std::string_view request, state::time_point deadline); // see coordination/repeats/local_runs.h
    std::string organisationOfParent(std::string_view request);                // organisation of the local run that makes the call; empty when unknown
    coordination::organisation_use &organisationUse();
    shared_rate_client &rates();
    std::optional<std::uint64_t> countLimited(const std::string &organisation); // its refusals since this last returned a number, once in a second
    std::optional<std::uint64_t> countRefusedKey();                             // refusals for an unknown key since it last returned a number, once in a second
    state::time_point answersBy() const;                                        // latest deadline of a request while this node stops; else max()
    bool isTooLate(state::time_point deadline) const; // a request that is read now and has time until then may be cut by the stop of this node
    boost::asio::io_context &io();

private:
    // Refusals of one organisation that is over its rate.
    struct limited_count {
        std::uint64_t refusals = 0; // since the last line
        state::time_point nextLineAt;
    };

    void acceptLoop();
    void acceptWaiting(); // accepts all connections that are established and not yet accepted
    void startConnection(boost::asio::ip::tcp::socket socket);
    void sweep(); // once per SweepPeriod: closes idle links, expires path backoff, updates gauges
    void logOrganisationUse(state::time_point now);
    boost::asio::awaitable<void> serve(std::shared_ptr<caller_connection> connection);
    boost::asio::awaitable<bool> handleRequest(caller_connection &connection, caller_request &request);
    read_limits readLimits() const;
    void endEarlierLifetimes(const state::pool_table &pools); // forgets what earlier lifetimes of workers have stated
    boost::asio::awaitable<bool> refuseUnreadable(caller_connection &connection, const caller_request &request, read_result result);

    boost::asio::io_context &m_io;
    const state::settings &m_settings;
    transport::metrics &m_metrics;
    shared_local_runs &m_localRuns;
    shared_told_signals &m_told;
    shared_rate_client &m_rates;
    coordination::memory_budget &m_memory;
    ingress_events m_events;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_sweepTimer;
    pcg64 m_random;
    std::uint64_t m_attemptOrigin;
    std::uint64_t m_attemptSequence = 0;
    coordination::fleet_snapshot_ptr m_snapshot;
    std::unique_ptr<state::route_index> m_routes; // index over the snapshot's routes; null before the first route table
    std::map<std::string, std::shared_ptr<const coordination::pool_view>, std::less<>> m_fallbackViews; // pools without a view in the snapshot
    std::shared_ptr<const state::pool_table> m_fallbackViewsTable;                                      // pool table that the fallback views were made from
    std::map<std::string, state::time_point, std::less<>> m_nextPoolUseReportAt;
    std::map<std::string, std::unique_ptr<coordination::balancer>, std::less<>> m_balancers;         // balancers by policy name
    std::map<std::string, std::unique_ptr<coordination::retry_policy>, std::less<>> m_retryPolicies; // retry policies by "pool/policy"
    peer_directory m_peers;
    coordination::path_backoff m_pathBackoff;
    std::unordered_map<std::string, std::uint32_t> m_inFlight;
    std::unordered_map<std::string, double> m_averageAnswerBytes; // moving average of answer bodies, by route name
    std::set<std::shared_ptr<caller_connection>> m_connections;
    coordination::organisation_use m_organisationUse;
    std::unordered_map<std::string, limited_count> m_limited; // by organisation
    state::time_point m_nextUseLines;
    std::uint64_t m_refusedKeys = 0; // since the last line about them
    state::time_point m_nextRefusedKeyLine;
    std::set<request_handler *> m_handlers; // of the requests in progress
    state::time_point m_answersBy = state::time_point::max();
    state::time_point m_lateFrom = state::time_point::max(); // requests that are read from then on are late
    bool m_stopping = false;
};

} // namespace dandelionstall
