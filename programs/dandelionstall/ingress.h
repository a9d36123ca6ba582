// The ingress: takes requests of callers, chooses workers, makes attempts, retries where that is safe, and answers.
// All methods but the constructor run on the thread of its io_context.
//
// Index:
//   [SECTION] Events to the control thread
//   [SECTION] Ingress
#pragma once

#include "caller_connection.h"
#include "peer_directory.h"

#include <dandelionstall/coordination/balancer.h>
#include <dandelionstall/coordination/fleet_snapshot.h>
#include <dandelionstall/coordination/path_backoff.h>
#include <dandelionstall/coordination/retry.h>
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
    std::function<void(std::vector<coordination::worker_report>)> reports; // came with answers
    std::function<void(state::node_address, bool)> pathOutcome;            // an attempt reached the node, or did not
    std::function<void(std::string)> poolUse;                              // a pool is being routed to
};

// [SECTION] Ingress

class ingress
{
public:
    ingress(boost::asio::io_context &io, const state::settings &settings, std::uint64_t seed, transport::metrics &counters, ingress_events events);

    absl::Status listen();                                         // binds the callers' address
    void applySnapshot(coordination::fleet_snapshot_ptr snapshot); // configuration and views in force
    void beginShutdown();                                          // answers say Connection: close; new connections are still served
    void stopListening();                                          // no further connections; idle ones are closed
    bool isIdle() const;                                           // no connection is open
    std::size_t busyConnections() const;                           // connections with a request in flight

    // For request_handler.
    const state::settings &settings() const;
    coordination::fleet_snapshot_ptr snapshot() const; // null before the first configuration
    const state::route_index &routes() const;          // of that snapshot; needs one
    std::shared_ptr<const coordination::pool_view> viewOf(const state::pool &pool);
    coordination::balancer &balancerOf(const coordination::pool_view &view);
    coordination::retry_policy &retryOf(const coordination::pool_view &view);
    peer_directory &peers();
    void recordPathOutcome(const state::node_address &node, bool ok); // an attempt reached the node, or did not
    void recordUnreachable(const std::string &worker);                // its sidecar could not connect to it
    bool isAvoided(const coordination::worker_view &worker) const;
    bool isAvoided(const state::node_address &node) const;
    transport::metrics &metrics();
    const ingress_events &events() const;
    std::uint64_t random();
    state::attempt_id nextAttempt();
    std::size_t expectedAnswerBytes(const std::string &route) const; // 0 when nothing is known
    void recordAnswerBytes(const std::string &route, std::size_t bytes);
    std::uint32_t &inFlight(const std::string &worker); // own running attempts at a worker
    boost::asio::io_context &io();

private:
    void acceptLoop();
    void sweep();
    boost::asio::awaitable<void> serve(std::shared_ptr<caller_connection> connection);
    boost::asio::awaitable<bool> handleRequest(caller_connection &connection, caller_request &request);
    read_limits readLimits() const;
    boost::asio::awaitable<bool> refuseUnreadable(caller_connection &connection, read_result end);

    boost::asio::io_context &m_io;
    const state::settings &m_settings;
    transport::metrics &m_metrics;
    ingress_events m_events;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_sweeper;
    state::time_point m_startedAt = state::clock::now();
    pcg64 m_random;
    std::uint64_t m_origin;
    std::uint64_t m_sequence = 0;
    coordination::fleet_snapshot_ptr m_snapshot;
    std::unique_ptr<state::route_index> m_routes;                                                       // over the snapshot's routes; null without them
    std::map<std::string, std::shared_ptr<const coordination::pool_view>, std::less<>> m_fallbackViews; // pools without a published view
    std::shared_ptr<const state::pool_table> m_fallbackViewsTable;                                      // table that those views were made from
    std::map<std::string, state::time_point, std::less<>> m_nextPoolUseReportAt;
    std::map<std::string, std::unique_ptr<coordination::balancer>, std::less<>> m_balancers;   // by policy name
    std::map<std::string, std::unique_ptr<coordination::retry_policy>, std::less<>> m_retries; // by pool and policy name
    peer_directory m_peers;
    coordination::path_backoff m_paths;
    std::unordered_map<std::string, std::uint32_t> m_inFlight;
    std::unordered_map<std::string, double> m_answerBytes; // moving average by route
    std::set<std::shared_ptr<caller_connection>> m_connections;
    bool m_stopping = false;
};

} // namespace dandelionstall
