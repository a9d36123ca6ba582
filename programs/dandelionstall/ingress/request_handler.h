// Handles one request of a caller at the ingress: route, limits, attempts, retries and answer.
// Used only on the thread of the ingress.
//
// Invariants:
//   - a refusal says "not run" only with proof from the sidecar, or when nothing was sent;
//   - non-idempotent work is retried only after such a proof; otherwise the sidecar is queried for its outcome;
//   - an answer is completed towards the caller only after its length and digest have been verified.
#pragma once

#include "ingress.h"

#include <dandelionstall/coordination/repeats/retry.h>
#include <dandelionstall/state/attempts.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstall {

// How one attempt ended.
enum class attempt_end {
    delivered,           // the complete answer was sent to the caller
    caller_disconnected, // the caller closed its connection before the answer was complete
    aborted,             // the answer failed after a part of it had been sent to the caller
    failed,              // the attempt brought no answer; see attempt_outcome::failure
};

struct attempt_outcome {
    attempt_end end = attempt_end::failed; // how the attempt ended
    coordination::failed_attempt failure;  // input of the retry policy, for attempt_end::failed
    std::string alternativeWorker;         // worker that a refusal names as the better choice; empty when none
    double risk = -1.0;                    // risk of the worker as reported with a refusal; negative when not reported
    bool retryGranted = false;             // the retry policy has already granted a retry
};

// A worker's whole answer with an error, which another attempt was to replace.
struct failed_answer {
    std::uint32_t status = 0;
    protocol::http_headers headers;
    std::string body;
    std::string worker; // id of the worker that gave it
};

class request_handler
{
public:
    request_handler(ingress &owner, caller_connection &connection, caller_request &request);

    boost::asio::awaitable<bool> run(); // handles the request; true when the connection can serve another one
    void withdraw();                    // the ingress stops: the current attempt is withdrawn unless it has started, and the request ends by answersBy()

private:
    struct answer_state;
    struct sent_attempt;

    boost::asio::awaitable<bool> routeRequest();
    boost::asio::awaitable<bool> runAttempts();
    boost::asio::awaitable<bool> issueTicket();
    boost::asio::awaitable<bool> sendFailedAnswer(); // sends m_failedAnswer to the caller
    boost::asio::awaitable<bool> refuseWithoutWorker(const coordination::pool_view &view, const coordination::failed_attempt &lastFailure);
    boost::asio::awaitable<bool> refuse(coordination::refusal_reason reason, coordination::run_state run, state::time_point retryAt);

    // request_log.cpp
    std::string requestId() const; // request id sent by the caller, else the id of the latest attempt
    void logPlaced(const coordination::worker_view &worker, const state::attempt_id &id) const;
    void logAttemptFailed(const coordination::worker_view &worker, const coordination::failed_attempt &failure) const;
    void logEnded(attempt_end end, const std::string &worker) const;
    void logRefused(const protocol::caller_refusal &refusal) const;
    void logOrganisationRefused(std::string_view fault) const;
    void logOrganisationLimited(const coordination::rate_decision &decision) const;

    absl::Status findRoute(std::string_view path, std::string_view method);    // sets m_route and m_pool
    coordination::refusal_reason identifyOrganisation();                       // request_organisation.cpp; needs m_route
    bool fitsRate(state::time_point now, state::time_point &retryAt);          // request_organisation.cpp; counts the request if it does
    void recordRefusalOfOrganisation(const protocol::caller_refusal &refusal); // request_organisation.cpp
    coordination::refusal_reason readTicket();
    double acceptedRisk() const;                                       // risk of a worker that the next attempt accepts
    std::size_t chooseLeastRisky(const coordination::pool_view &view); // among workers whose guard refused the request; sets m_overridesGuard
    std::size_t chooseWorker(const coordination::pool_view &view, const std::string &preferred);
    protocol::http_headers forwardedHeaders() const;
    std::string organisationName() const;
    protocol::attempt_head makeAttemptHead(const coordination::worker_view &worker, const peer_link &link);

    boost::asio::awaitable<attempt_outcome> sendAttempt(const coordination::worker_view &worker);
    boost::asio::awaitable<attempt_outcome> readAnswer(sent_attempt &sent);
    boost::asio::awaitable<attempt_outcome> recoverOutcome(sent_attempt &sent); // queries the outcome over another connection
    std::optional<state::node_address> chooseRelay(const sent_attempt &sent);
    boost::asio::awaitable<std::optional<attempt_outcome>> handleAnswerHead(sent_attempt &sent, const protocol::frame &frame);
    boost::asio::awaitable<attempt_outcome> keepFailedAnswer(sent_attempt &sent, attempt_outcome outcome);
    bool isWhole(const sent_attempt &sent, const protocol::answer_end &end) const; // the received answer has the stated length and digest
    bool mustStayWhole(const answer_state &answer) const;                          // the caller can be given the answer in one piece only
    static bool hasRoomFor(answer_state &answer, std::size_t bytes, std::size_t atMost);
    boost::asio::awaitable<bool> handleAnswerBody(sent_attempt &sent, std::string_view bytes);
    boost::asio::awaitable<attempt_outcome> handleAnswerEnd(sent_attempt &sent, const protocol::answer_end &end);
    attempt_outcome makeRefusalOutcome(const sent_attempt &sent, const protocol::answer_head &head);
    attempt_outcome makeFailureOutcome(coordination::retry_reason retryReason, coordination::refusal_reason reason, coordination::run_state run) const;
    attempt_outcome abortAnswer(const sent_attempt &sent);
    void acknowledge(const sent_attempt &sent);
    void sendWithdrawal(const sent_attempt &sent);
    void sendControl(const sent_attempt &sent, std::string_view frame); // sends one frame on a stream of its own; the reply is not awaited

    ingress &m_ingress;
    caller_connection &m_connection;
    caller_request &m_request;
    const state::route *m_route = nullptr;
    const state::pool *m_pool = nullptr;
    const state::organisation *m_organisation = nullptr;                   // whose key the request has, or whose run makes the call; null when there is none
    bool m_isCounted = false;                                              // it is counted for the rate of m_organisation
    bool m_hasKey = false;                                                 // the request has the key of m_organisation
    coordination::fleet_snapshot_ptr m_snapshot;                           // snapshot that owns the tables used by this request
    state::time_point m_deadline;                                          // deadline of the request
    std::string m_ticket;                                                  // ticket issued by the fleet and sent by the caller; empty without one
    state::ticket m_parsedTicket;                                          // m_ticket parsed; unset while m_ticket is empty
    std::vector<std::string> m_triedWorkers;                               // ids of workers excluded from further attempts
    std::map<std::string, double> m_refusedRisks;                          // workers whose guard refused the request, with the risk they reported
    bool m_overridesGuard = false;                                         // the next attempt accepts any risk, so that the worker's guard does not refuse it
    std::string m_lastAttemptId;                                           // id of the latest attempt, for logs
    std::uint32_t m_answerStatus = 0;                                      // HTTP status of the answer; 0 before it is sent
    std::optional<failed_answer> m_failedAnswer;                           // sent to the caller when no further attempt is answered
    std::uint32_t m_attempts = 0;                                          // number of attempts made
    std::uint32_t m_arrivals = 0;                                          // number of attempts that may have reached a worker
    std::uint32_t m_budgetRefusals = 0;                                    // number of attempts refused because of the retry allowance
    bool m_sent = false;                                                   // an attempt was sent to a sidecar
    bool m_isCallOfRepeat = false;                                         // may be a call that a local worker makes during a repeated run
    coordination::run_state m_runState = coordination::run_state::not_run; // run state of the request, combined over all its attempts
    std::shared_ptr<stream_reader> m_reader;                               // stream of the current attempt; null before the first one
    const sent_attempt *m_current = nullptr;                               // attempt whose answer is awaited; null when there is none
    bool m_callerDisconnected = false;                                     // the caller closed its connection
};

} // namespace dandelionstall
