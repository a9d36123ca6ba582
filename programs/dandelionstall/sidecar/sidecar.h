// The sidecar: manages the slots of the workers on this VM, runs attempts on them and records which attempts ran.
// All methods except the constructor run on the thread of its io_context.
//
// Index:
//   [SECTION] Parts
//   [SECTION] Sidecar
#pragma once

#include "attempt_stream.h"
#include "links/peer_directory.h"
#include "shared_state.h"

#include <dandelionstall/coordination/admission/admission.h>
#include <dandelionstall/coordination/admission/failure_guard.h>
#include <dandelionstall/coordination/fleet_snapshot.h>
#include <dandelionstall/coordination/health/worker_outcome_tracker.h>
#include <dandelionstall/coordination/limits/limits.h>
#include <dandelionstall/coordination/limits/worker_limit.h>
#include <dandelionstall/coordination/rates/organisation_use.h>
#include <dandelionstall/coordination/repeats/repeat_budget.h>
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

inline constexpr auto RecordRetention = std::chrono::seconds(60); // attempt records are retained for this long after the deadline or the ticket's expiry

// Receives the reports of the local workers; called on the sidecar's thread.
using report_sink = std::function<void(std::vector<coordination::worker_report>)>;

// One attempt at this sidecar, from the offer to admission until its answer is sent.
struct local_attempt {
    std::shared_ptr<attempt_stream> stream;                      // stream of the request, on which the answer is sent
    bool tracked = false;                                        // has an attempt record, which prevents a second run
    bool started = false;                                        // admission granted a slot and the call to the worker started
    state::time_point arrivedAt;                                 // time of arrival, from which the queue time is measured
    std::shared_ptr<transport::worker_call> call;                // call to the worker; null before the start
    std::vector<std::shared_ptr<control_stream>> waitingQueries; // streams of queries that wait for the outcome
};

// One worker on this VM.
struct served_worker {
    state::local_worker settings;                                         // from the settings file, or from the pool table for a discovered worker
    std::string admissionName;                                            // admission policy in use; empty if it is to be replaced once idle
    std::uint32_t slots = 1;                                              // number of slots in force
    std::unique_ptr<coordination::admission_policy> admission;            // assigns the slots; null until a pool table is known
    std::unique_ptr<coordination::worker_outcome_tracker> outcomeTracker; // observes the outcomes of attempts and probes
    std::string guardName;                                                // failure guard in use
    std::unique_ptr<coordination::failure_guard> guard;                   // withholds work while the worker is failing
    state::retry_allowance retryAllowance;                                // of the worker's pool
    std::unique_ptr<coordination::repeat_budget> repeatBudget;            // the worker's part of the retry allowance
    std::unique_ptr<transport::worker_client> client;                     // connections to the worker
    std::shared_ptr<boost::asio::steady_timer> admissionTimer;            // expires at the time of the next call of admission->advance()
    std::uint64_t lifetime = 0;                                           // start of the worker as announced; 0 when not announced
    coordination::worker_limit limit;                                     // rate limit that the worker states in its answers
    state::time_point leavingUntil;                                       // the worker has stated that it is leaving, see pool_view.h; epoch when it has not
    bool listedLeaving = false;                                           // the pool table lists it as leaving, or not at all
    bool probedLeaving = false;                                           // its latest health answer says that it is leaving
    bool draining = false;                                                // the worker accepts no new work, for one of these reasons
    bool unlisted = false;                                                // the pool table no longer lists it at the service address; removed once idle
    bool loggedSuspected = false;                                         // suspicion that was logged last
    double loggedRepeatPart = 0.0;                                        // part of the extra repeats that was logged last
    state::time_point lastProbeAt;                                        // when the latest probe was sent
    std::uint32_t runningProbes = 0;                                      // number of probes in flight
    std::uint64_t reportVersion = 0;                                      // incremented each time a report may be published
    coordination::worker_report lastReport;                               // as last sent to the control thread
    state::time_point nextLoadReportAt;                                   // when the next report goes to the control thread without a sharp change
};

// [SECTION] Sidecar

class sidecar
{
public:
    sidecar(boost::asio::io_context &io,
            const state::settings &settings,
            state::incarnation selfIncarnation,
            transport::metrics &metrics,
            shared_local_runs &localRuns,
            coordination::memory_budget &memory,
            report_sink reports);

    absl::Status listen();                                         // binds the node address
    void applySnapshot(coordination::fleet_snapshot_ptr snapshot); // applies the configuration and pool views in force
    void beginShutdown();                                          // refuses new attempts; running attempts complete
    bool isIdle() const;                                           // true if no attempt is queued, running or unanswered
    state::incarnation incarnation() const;                        // incarnation of this process

    void handleAttempt(const std::shared_ptr<attempt_stream> &stream); // accepts a completely received attempt
    void refuseUnread(attempt_stream &stream);                         // there is no memory for the body of the attempt
    void handleQuery(const protocol::attempt_query &query, const std::shared_ptr<control_stream> &stream);
    boost::asio::awaitable<void> relayQuery(protocol::attempt_query query, std::shared_ptr<control_stream> stream); // forwards the query to the node in relayTo
    void handleAcknowledgement(const protocol::attempt_acknowledge &message);
    void handleWithdrawal(const protocol::attempt_withdrawal &message);                             // refuses the attempt unless it has started
    void handleStreamLost(const state::attempt_id &id, transport::stream_close_reason closeReason); // the stream can no longer carry an answer

private:
    struct answer_sink;

    void acceptLoop();
    std::size_t maxBodyBytes() const; // largest body of one attempt, from the route table or the settings
    void tick();
    void probeWorkers();
    served_worker &addWorker(const state::local_worker &worker);
    void syncDiscoveredWorkers();
    void removeUnlistedWorkers();
    boost::asio::awaitable<void> probe(served_worker &worker);
    bool mayProbe(const served_worker &worker, state::time_point now) const;
    void configureWorker(served_worker &worker);
    void updateDraining(served_worker &worker);  // applies a change of the reasons for which the worker accepts no new work
    void checkFirstStart(served_worker &worker); // settings that stand from the first start of the fleet are true for the first process only
    void beginLifetime(served_worker &worker, std::uint64_t lifetime); // the entry of the worker names another start: what it stated before has ended
    bool statesLeaving(const served_worker &worker) const;
    void recordSignals(served_worker &worker, const protocol::worker_signals &signals, bool mayLift, state::time_point requestedAt);
    void applyLimitChange(served_worker &worker, coordination::limit_change change, std::string_view source);
    void logLimitChange(const served_worker &worker, coordination::limit_change change, std::string_view source);
    void adoptLimit(served_worker &worker,
                    const protocol::attempt_head &head); // the node that sent the attempt was told of a limit before this sidecar was started
    bool hasRoomInQueue(const served_worker &worker, state::time_point now) const; // within the limit, after the attempts that wait already
    void refuseQueuedBeyondLimit(served_worker &worker);
    void recordLimitedStart(served_worker &worker, const protocol::attempt_head &head, state::time_point now);
    bool refusesWork(const served_worker &worker) const; // true if the worker is draining or this node is leaving or stopping
    void drainWorkers();
    served_worker *findWorker(std::string_view id);

    coordination::refusal_reason checkAttempt(const protocol::attempt_head &head, state::time_point now);
    bool refuseBeyondLimit(const std::shared_ptr<attempt_stream> &stream, state::time_point now);
    bool admitOrganisation(const std::shared_ptr<attempt_stream> &stream, state::time_point now);
    std::uint32_t countSidecars(std::string_view pool) const; // nodes that share the limits of the pool; at least 1
    bool beginRecord(const std::shared_ptr<attempt_stream> &stream, state::time_point now);
    void answerDuplicate(const std::shared_ptr<attempt_stream> &stream, const state::attempt_record *earlier);
    void applyActions(served_worker &worker, const coordination::admission_actions &actions);
    void scheduleAdvance(served_worker &worker); // sets admissionTimer to the time of the next call of advance()
    bool guardAdmits(const served_worker &worker, const protocol::attempt_head &head, state::time_point now) const;
    bool repeatHasRoom(served_worker &worker, const protocol::attempt_head &head, state::time_point now); // decides without counting the repeat
    bool countRepeat(served_worker &worker, const protocol::attempt_head &head, state::time_point now);   // false when the repeat is denied
    void refuseRiskyQueuedAttempts(served_worker &worker);                                        // refuses queued attempts that the guard no longer admits
    void refuseWaitingAttempt(const local_attempt &attempt, coordination::refusal_reason reason); // takes it out of the queue; the attempt is gone afterwards
    void startAttempt(served_worker &worker, const state::attempt_id &id);
    coordination::refusal_reason beginRun(served_worker &worker, const local_attempt &attempt, state::time_point now);
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

    std::string requestId(const protocol::attempt_head &head) const; // request id header of the caller; empty if absent
    void logRefusal(const protocol::attempt_head &head, coordination::refusal_reason reason, coordination::run_state run) const;
    void countFault(const transport::worker_result &result); // of an attempt or a probe
    void logAttemptEnd(const protocol::attempt_head &head, const transport::worker_result &result, state::time_point startedAt) const;
    protocol::answer_head makeAnswerHead(const state::attempt_id &id, std::string_view worker) const;
    coordination::worker_report makeReport(const served_worker &worker, state::time_point now) const;
    void publishReports();
    void logRepeat(const protocol::attempt_head &head, const coordination::repeat_verdict &verdict);
    void logRepeatPartChange(served_worker &worker, state::time_point now);
    void logOrganisationRuns(state::time_point now);
    void logSuspicionChange(served_worker &worker, state::time_point now);

    boost::asio::io_context &m_io;
    const state::settings &m_settings;
    state::incarnation m_incarnation;
    transport::metrics &m_metrics;
    shared_local_runs &m_localRuns;
    coordination::memory_budget &m_memory;
    report_sink m_reportSink;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_tickTimer;
    state::time_point m_startedAt = state::clock::now();
    state::time_point m_nextTickAt;
    state::time_point m_nextProbeAt;
    state::time_point m_nextExpiryAt;
    coordination::organisation_use m_organisationUse;
    state::time_point m_nextUseLines;
    coordination::fleet_snapshot_ptr m_snapshot;
    std::map<std::string, served_worker, std::less<>> m_workers;
    peer_directory m_peers; // connections for relayed queries
    state::attempt_registry m_registry;
    std::unique_ptr<coordination::organisation_limiter> m_limiter;
    std::unordered_map<state::attempt_id, local_attempt> m_attempts;
    std::vector<std::weak_ptr<transport::node_session>> m_sessions;
    bool m_leaving = false; // the membership marks this node as leaving
    bool m_stopping = false;
};

} // namespace dandelionstall
