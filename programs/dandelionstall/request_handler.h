// One request of a caller at the ingress: route, limits, attempts, retries, answer. Used from the ingress' thread.
//
// Rules that the code keeps:
//   - the caller is told "not run" only with proof from the sidecar, or when nothing was sent;
//   - non-idempotent work gets another attempt only after such a proof; otherwise its outcome is asked for;
//   - an answer is passed on as whole only after its length and digest have been checked.
#pragma once

#include "ingress.h"

#include <dandelionstall/coordination/retry.h>
#include <dandelionstall/state/attempts.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstall {

// How one attempt ended.
enum class attempt_end {
    delivered,           // the caller has a whole answer
    caller_disconnected, // the caller left
    aborted,             // the answer broke after its first byte had gone out
    failed,              // no answer; see attempt_outcome::failure
};

struct attempt_outcome {
    attempt_end end = attempt_end::failed; // how it ended
    coordination::failed_attempt failure;  // when failed
    std::string alternativeWorker;         // named by a refusal
    double risk = -1.0;                    // of the worker, named by a refusal; negative when not
    bool retryDecided = false;             // the retry policy has already granted another attempt
};

class request_handler
{
public:
    request_handler(ingress &owner, caller_connection &connection, caller_request &request);

    boost::asio::awaitable<bool> run(); // true when the connection can serve another request

private:
    struct answer_state;
    struct sent_attempt;

    boost::asio::awaitable<bool> routeRequest();
    boost::asio::awaitable<bool> runAttempts();
    boost::asio::awaitable<bool> issueTicket();
    boost::asio::awaitable<bool> refuse(coordination::refusal_reason reason, coordination::run_state run, state::time_point retryAt);

    // request_log.cpp
    std::string requestId() const; // the caller's id of the request; the node's own where it sent none
    void logPlaced(const coordination::worker_view &worker, const state::attempt_id &id) const;
    void logAttemptFailed(const coordination::worker_view &worker, const coordination::failed_attempt &failure) const;
    void logEnded(attempt_end end, const coordination::worker_view &worker) const;
    void logRefused(const protocol::caller_refusal &refusal) const;

    absl::Status findRoute(std::string_view path, std::string_view method); // sets m_route and m_pool
    coordination::refusal_reason readTicket();
    double acceptedRisk() const;                                       // by the next attempt
    std::size_t chooseLeastRisky(const coordination::pool_view &view); // the least doubtful worker that refused; insists on it
    std::size_t chooseWorker(const coordination::pool_view &view, const std::string &preferred);
    protocol::http_headers forwardedHeaders() const;
    protocol::attempt_head makeAttemptHead(const coordination::worker_view &worker, const peer_link &link);

    boost::asio::awaitable<attempt_outcome> sendAttempt(const coordination::worker_view &worker);
    boost::asio::awaitable<attempt_outcome> readAnswer(sent_attempt &sent);
    boost::asio::awaitable<attempt_outcome> recoverOutcome(sent_attempt &sent); // asks for the outcome over another connection
    std::optional<state::node_address> chooseRelay(const sent_attempt &sent);
    boost::asio::awaitable<std::optional<attempt_outcome>> handleAnswerHead(sent_attempt &sent, const protocol::frame &frame);
    boost::asio::awaitable<bool> handleAnswerBody(sent_attempt &sent, std::string_view bytes);
    boost::asio::awaitable<attempt_outcome> handleAnswerEnd(sent_attempt &sent, const protocol::answer_end &end);
    attempt_outcome makeRefusalOutcome(const sent_attempt &sent, const protocol::answer_head &head);
    attempt_outcome makeFailureOutcome(coordination::retry_reason kind, coordination::refusal_reason reason, coordination::run_state run) const;
    attempt_outcome abortAnswer(const sent_attempt &sent);
    void acknowledge(const sent_attempt &sent);

    ingress &m_ingress;
    caller_connection &m_connection;
    caller_request &m_request;
    const state::route *m_route = nullptr;
    const state::pool *m_pool = nullptr;
    coordination::fleet_snapshot_ptr m_snapshot;                           // keeps the tables of this request
    state::time_point m_deadline;                                          // of the request
    std::string m_ticket;                                                  // as given by the caller; empty when none
    state::ticket m_parsedTicket;                                          // parsed ticket
    std::vector<std::string> m_tried;                                      // workers tried
    std::map<std::string, double> m_refusedRisks;                          // workers whose guard refused the request, with the risk they named
    bool m_overridesGuard = false;                                         // the next attempt runs whatever the guard says
    std::string m_lastAttemptId;                                           // id of the latest attempt, for logs
    std::uint32_t m_status = 0;                                            // of the answer given
    std::uint32_t m_attempts = 0;                                          // attempts made
    std::uint32_t m_arrivals = 0;                                          // those that may have reached a worker
    coordination::run_state m_runState = coordination::run_state::not_run; // of the request, over all its attempts
    std::shared_ptr<stream_reader> m_reader;                               // of the running attempt
    bool m_callerDisconnected = false;                                     // the caller closed its connection
};

} // namespace dandelionstall
