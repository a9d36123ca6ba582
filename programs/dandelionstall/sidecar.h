// The sidecar: owns the slots of the workers on this VM, runs attempts on them, and is the witness of what was run.
// All methods but the constructor run on the thread of its io_context.
//
// Index:
//   [SECTION] Parts
//   [SECTION] Sidecar
#pragma once

#include "attempt_stream.h"
#include "peer_directory.h"

#include <dandelionstall/coordination/admission.h>
#include <dandelionstall/coordination/failure_guard.h>
#include <dandelionstall/coordination/fleet_snapshot.h>
#include <dandelionstall/coordination/limits.h>
#include <dandelionstall/coordination/worker_outcome_tracker.h>
#include <dandelionstall/state/attempts.h>
#include <dandelionstall/state/settings.h>
#include <dandelionstall/transport/metrics.h>
#include <dandelionstall/transport/worker_client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace dandelionstall {

// [SECTION] Parts

inline constexpr auto RecordRetention = std::chrono::seconds(60); // records outlive the deadline by this

// Takes the reports on the own workers; called on the sidecar's thread.
using report_sink = std::function<void(std::vector<coordination::worker_report>)>;

// One attempt at this sidecar, from admission to its end.
struct local_attempt {
    std::shared_ptr<attempt_stream> stream;               // where the answer goes
    bool tracked = false;                                 // has a record: it must not run twice
    bool started = false;                                 // handed to the worker
    state::time_point arrivedAt;                          // for the queue time
    std::shared_ptr<transport::worker_call> call;         // while it runs
    std::vector<std::shared_ptr<control_stream>> waiters; // queries that wait for the outcome
};

// One worker on this VM.
struct served_worker {
    state::local_worker settings;                                         // from the settings file
    std::string admissionName;                                            // policy in use
    std::uint32_t slots = 1;                                              // slots in use
    std::unique_ptr<coordination::admission_policy> admission;            // owner of the slots
    std::unique_ptr<coordination::worker_outcome_tracker> outcomeTracker; // outcomes of real work
    std::string guardName;                                                // policy in use
    std::unique_ptr<coordination::failure_guard> guard;                   // keeps work away while it fails
    std::unique_ptr<transport::worker_client> client;                     // connections to it
    std::shared_ptr<boost::asio::steady_timer> admissionTimer;            // for admission deadlines
    bool draining = false;                                                // it takes no new work
    bool replaced = false;                                                // another worker has its address; it is dropped once idle
    bool loggedSuspected = false;                                         // as last logged
    std::uint32_t runningProbes = 0;                                      // under way
    std::uint64_t reportVersion = 0;                                      // grows with every report
};

// [SECTION] Sidecar

class sidecar
{
public:
    sidecar(boost::asio::io_context &io, const state::settings &settings, state::incarnation life, transport::metrics &counters, report_sink reports);

    absl::Status listen();                                         // binds the node address
    void applySnapshot(coordination::fleet_snapshot_ptr snapshot); // configuration and views in force
    void beginShutdown();                                          // refuses new attempts; running ones end
    bool isIdle() const;                                           // nothing runs and no answer is owed
    state::incarnation incarnation() const;                        // of this process

    void handleAttempt(const std::shared_ptr<attempt_stream> &stream); // a whole attempt has arrived
    void handleQuery(const protocol::attempt_query &query, const std::shared_ptr<control_stream> &stream);
    boost::asio::awaitable<void> relayQuery(protocol::attempt_query query, std::shared_ptr<control_stream> stream); // asks the node that is meant
    void handleAcknowledgement(const protocol::attempt_acknowledge &message);
    void handleStreamLost(const state::attempt_id &id, transport::stream_close_reason end); // the ingress can no longer be answered on it

private:
    struct answer_sink;

    void acceptLoop();
    void tick();
    void probeWorkers();
    served_worker &addWorker(const state::local_worker &worker);
    void syncDiscoveredWorkers();
    void removeReplacedWorkers();
    boost::asio::awaitable<void> probe(served_worker &worker);
    void configureWorker(served_worker &worker);
    void setDraining(served_worker &worker, bool draining);
    bool refusesWork(const served_worker &worker) const; // it, or this node, takes no new work
    void drainWorkers();
    served_worker *findWorker(std::string_view id);

    coordination::refusal_reason checkAttempt(const protocol::attempt_head &head, state::time_point now);
    bool admitOrganisation(const std::shared_ptr<attempt_stream> &stream, state::time_point now);
    std::uint32_t countSidecars(std::string_view pool) const; // sidecars that share the pool's work at present
    bool beginRecord(const std::shared_ptr<attempt_stream> &stream, state::time_point now);
    void answerDuplicate(const std::shared_ptr<attempt_stream> &stream, const state::attempt_record *earlier);
    void applyActions(served_worker &worker, const coordination::admission_actions &actions);
    void armTimer(served_worker &worker);
    bool guardAdmits(const served_worker &worker, const protocol::attempt_head &head, state::time_point now) const;
    void refuseRiskyQueued(served_worker &worker); // waiting work that the guard no longer admits
    void startAttempt(served_worker &worker, const state::attempt_id &id);
    boost::asio::awaitable<void> runAttempt(served_worker &worker, state::attempt_id id);
    void
    finishAttempt(served_worker &worker, const state::attempt_id &id, const transport::worker_result &result, answer_sink &sink, state::time_point startedAt);
    void refuseAttempt(const state::attempt_id &id, coordination::refusal_reason reason, coordination::run_state run, state::time_point retryAt);
    void sendOutcome(const state::attempt_id &id, const state::attempt_record &record, answer_writer &writer);
    void answerWaitingQueries(const state::attempt_id &id, local_attempt &attempt);
    void sendRefusal(answer_writer &writer,
                     const protocol::attempt_head &head,
                     coordination::refusal_reason reason,
                     coordination::run_state run,
                     std::optional<state::time_point> retryAt = std::nullopt);

    std::string requestId(const protocol::attempt_head &head) const; // the caller's id of the request; empty when it sent none
    void logRefusal(const protocol::attempt_head &head, coordination::refusal_reason reason, coordination::run_state run) const;
    void logEnd(const protocol::attempt_head &head, const transport::worker_result &result, state::time_point startedAt) const;
    protocol::answer_head makeAnswerHead(const state::attempt_id &id, std::string_view worker) const;
    coordination::worker_report makeReport(const served_worker &worker, state::time_point now) const;
    void publishReports();
    void logSuspicionChange(served_worker &worker, state::time_point now);

    boost::asio::io_context &m_io;
    const state::settings &m_settings;
    state::incarnation m_incarnation;
    transport::metrics &m_metrics;
    report_sink m_reportSink;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_ticker;
    state::time_point m_nextTick;
    state::time_point m_nextProbe;
    state::time_point m_nextExpiry;
    coordination::fleet_snapshot_ptr m_snapshot;
    std::map<std::string, served_worker, std::less<>> m_workers;
    peer_directory m_peers; // for relayed queries
    state::attempt_registry m_registry;
    std::unique_ptr<coordination::organisation_limiter> m_limiter;
    std::unordered_map<state::attempt_id, local_attempt> m_attempts;
    std::vector<std::weak_ptr<transport::node_session>> m_sessions;
    bool m_leaving = false; // the fleet says that this node is leaving
    bool m_stopping = false;
};

} // namespace dandelionstall
