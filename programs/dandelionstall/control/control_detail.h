// Implementation of control; see control.h for its interface.
#pragma once

#include "consul_source.h"
#include "control.h"

#include <dandelionstall/coordination/health/pool_tracker.h>
#include <dandelionstall/coordination/membership/gossip_node.h>
#include <dandelionstall/coordination/rates/rate_node.h>
#include <dandelionstall/transport/gossip_socket.h>

#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <mutex>

namespace dandelionstall {

// Counts since the start of the node.
struct control_totals {
    std::uint64_t gossipSent = 0;      // datagrams
    std::uint64_t gossipReceived = 0;  // datagrams
    std::uint64_t reportsReceived = 0; // worker reports in them
    std::uint64_t platformCalls = 0;   // answered or not
    std::uint64_t published = 0;       // snapshots
};

class control::detail
{
public:
    detail(boost::asio::io_context &io,
           const state::settings &settings,
           state::incarnation selfIncarnation,
           transport::metrics &metrics,
           shared_rate_client &rateClient);

    void subscribe(subscriber handler);
    void start();
    void post(std::function<void()> task); // runs it on the control thread
    void recordReports(const std::vector<coordination::worker_report> &reports);
    void recordPathOutcome(const state::node_address &node, bool ok);
    void recordPoolUse(const std::string &pool);
    void beginShutdown();
    protocol::fleet_status describe() const;
    coordination::fleet_snapshot_ptr current() const;

private:
    transport::source_events sourceEvents();
    void publish();
    std::shared_ptr<const state::organisation_index> indexOrganisations(const std::shared_ptr<const state::route_table> &routes) const;

    // control_gossip.cpp: gossip, and updates from gossip and the platform
    void scheduleTick();
    void tick();
    void logWorkerStateChanges(state::time_point now);
    void receive(std::string_view datagram);
    void send(const coordination::gossip_batch &batch);
    void applyUpdates(state::time_point now);
    void applyTableUpdates();
    void logWorkerChanges(const state::pool_table *before);
    void applyMemberChanges(state::time_point now);
    void applyPathObservations(state::time_point now);
    void applyReports(state::time_point now);
    void recordStoreEra(const std::string &source, coordination::store_revision before); // logs the era of the store that this node knows, when it has risen
    void logSettledEra(state::time_point now);                                           // logs what has become of the workers, some time after that
    void updateSelfSuspicion(state::time_point now);
    void updateReaderRole(state::time_point now);
    void logTotals(state::time_point now); // once in an interval
    void recordTableAccepted(coordination::table_kind kind, state::table_revision before);
    void recordTableRefusal(coordination::table_kind kind, coordination::offer_verdict verdict, const absl::Status &reason, const std::string &source);

    // control_rates.cpp: the rates of organisations
    void tickRates(state::time_point now);
    void receiveRates(const coordination::gossip_message &message, state::time_point now);
    void followFleet(state::time_point now); // members that let requests through or coordinate
    void applyRates(const coordination::rate_step &step, state::time_point now);
    coordination::organisation_limit limitOf(const std::string &organisation) const;

    boost::asio::io_context &m_io;
    state::settings m_settings;
    state::incarnation m_incarnation;
    transport::metrics &m_metrics;
    coordination::gossip_node m_gossipNode;
    coordination::pool_tracker m_tracker;
    shared_rate_client &m_rateClient;
    coordination::rate_node m_rates;
    std::uint64_t m_ratesMembers = 0; // membership version that m_rates reflects, plus 1; 0 when none
    bool m_ratesAlone = false;
    double m_loggedRateShare = 1.0;
    state::time_point m_nextRateShareLine;
    transport::gossip_socket m_socket;
    std::unique_ptr<transport::config_source> m_configSource;
    boost::asio::steady_timer m_tickTimer;
    std::array<std::string, coordination::TableKinds.size()> m_lastRefusals; // reason of the last refused table by table_kind; empty if none was refused
    std::vector<subscriber> m_subscribers;
    state::time_point m_nextEvaluationAt;
    state::time_point m_firstContactsUntil; // members and healthy workers that are found before are not logged one by one; the totals count the members
    state::time_point m_nextTotalsAt;       // epoch before the first tick
    control_totals m_totals;
    coordination::reader_role m_readerRole = coordination::reader_role::none;
    bool m_selfSuspected = false;
    bool m_vmListRead = false;
    bool m_workersRead = false;    // the complete list of workers was read at least once
    std::uint64_t m_loggedEra = 0; // era of the store that was logged last
    state::time_point m_eraLearnedAt;
    state::time_point m_eraSettlesAt = state::time_point::max(); // when to log what has become of the workers; max() when that has been done
    bool m_publishDue = false;                                   // publish a snapshot at the end of the current tick
    std::uint64_t m_generation = 0;
    mutable std::mutex m_currentMutex; // guards m_current
    coordination::fleet_snapshot_ptr m_current = std::make_shared<coordination::fleet_snapshot>();
};

} // namespace dandelionstall
