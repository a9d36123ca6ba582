// One attempt of a request: sends it to a sidecar and reads the answer. request_outcome.cpp handles path failures.
#include "request_attempt.h"

#include <dandelionstall/coordination/admission/organisation_worth.h>
#include <dandelionstall/protocol/caller_http.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace dandelionstall {

namespace asio = boost::asio;
using coordination::refusal_reason;
using coordination::retry_reason;
using coordination::run_state;
using protocol::frame_type;
using transport::logEvent;

namespace {

constexpr std::size_t MaxBufferedAnswerBytes = 1'048'576;        // answers up to this size are verified before any byte is sent to the caller
constexpr std::size_t MaxUnchunkedAnswerBytes = 4'194'304;       // answers without a length up to this size reach callers of HTTP/1.0
constexpr std::size_t MaxFailedAnswerBytes = 65'536;             // a longer answer with an error is not kept
constexpr auto FailedAnswerTime = std::chrono::milliseconds(50); // time to receive the rest of an answer with an error before the next attempt

bool isServerError(std::uint32_t status)
{
    return status == 500 || status == 502 || status == 503 || status == 504;
}

// Discards the reply to an acknowledgement or a withdrawal; its content is not used.
class discard_handler : public transport::stream_handler
{
public:
    void onData(std::string_view) override
    { }
    void onPeerEnd() override
    { }
    void onWritable() override
    { }
    void onClosed(transport::stream_close_reason) override
    { }
};

} // namespace

// [SECTION] Sending

// Returns the headers of the caller for the attempt. The headers for the origin pool and the expected worker are removed, since
// only a node may set them; the origin pool is then set to the local pool.
protocol::http_headers request_handler::forwardedHeaders() const
{
    const state::header_names &names = m_ingress.settings().headers;
    protocol::http_headers headers;
    headers.reserve(m_request.headers.size() + 1);
    for (const protocol::http_header &header : m_request.headers) {
        const bool setByNode = protocol::equalHeaderNames(header.name, names.originPool) || protocol::equalHeaderNames(header.name, names.expectedWorker);
        if (!setByNode) {
            headers.push_back(header);
        }
    }
    if (!names.originPool.empty()) {
        headers.push_back({names.originPool, m_ingress.settings().localPool});
    }
    return headers;
}

// Where keys identify organisations, what the caller states itself does not count.
std::string request_handler::organisationName() const
{
    if (m_snapshot->routes->organisationRules.keysRequired) {
        return m_organisation == nullptr ? std::string() : m_organisation->name;
    }
    return std::string(protocol::findHeader(m_request.headers, protocol::OrganisationHeader));
}

protocol::attempt_head request_handler::makeAttemptHead(const coordination::worker_view &worker, const peer_link &link)
{
    protocol::attempt_head head;
    head.id = m_ingress.nextAttempt();
    head.worker = worker.id;
    head.pool = m_pool->name;
    head.route = m_route->name;
    head.sidecarIncarnation = link.incarnation;
    head.deadline = link.clock.toPeerClock(m_deadline, state::clock::now());
    if (m_route->targetLatency.count() > 0) {
        head.targetAt = link.clock.toPeerClock(m_request.arrivedAt + m_route->targetLatency, state::clock::now());
    }
    head.worth = m_organisation == nullptr ? m_route->worth : coordination::worthWithin(*m_organisation, m_route->worth);
    head.idempotent = m_route->idempotent;
    head.costHint = m_route->costHint;
    head.method = m_request.method;
    head.target = m_request.target;
    head.headers = forwardedHeaders();
    head.ticket = m_ticket;
    head.organisation = organisationName();
    head.organisationRate = m_route->organisationRate;
    head.bodyBytes = m_request.body.size();
    head.acceptedRisk = acceptedRisk();
    head.firstSent = !std::exchange(m_sent, true);
    head.lifetime = worker.lifetime;
    if (const auto limit = m_ingress.toldLimit(worker.id)) {
        head.statedRate = limit->rate;
        head.lifetime = std::max(head.lifetime, limit->lifetime);
    }
    head.repeat = coordination::repeatKindOf(m_arrivals, m_runState, m_isCallOfRepeat);
    return head;
}

asio::awaitable<attempt_outcome> request_handler::sendAttempt(const coordination::worker_view &worker)
{
    const auto link = co_await m_ingress.peers().connect(worker.node, m_deadline);
    if (m_callerDisconnected) {
        co_return attempt_outcome{attempt_end::caller_disconnected, {}, {}, -1.0, false};
    }
    if (!link.ok()) {
        m_ingress.recordPathOutcome(worker.node, false);
        const bool mayHaveRun = !m_ticket.empty(); // an earlier request with the same ticket may have run
        co_return makeFailureOutcome(retry_reason::connect_failed, refusal_reason::path_down, mayHaveRun ? run_state::unknown : run_state::not_run);
    }
    if (!m_ticket.empty() && m_parsedTicket.sidecarIncarnation != (*link)->incarnation) {
        co_return makeFailureOutcome(retry_reason::none, refusal_reason::stale_incarnation, run_state::unknown);
    }
    const protocol::attempt_head head = makeAttemptHead(worker, **link);
    sent_attempt sent;
    sent.tracked = !head.idempotent || !m_ticket.empty();
    sent.id = head.id;
    m_lastAttemptId = state::formatAttemptId(head.id);
    logPlaced(worker, head.id);
    sent.worker = worker.id;
    sent.lifetime = head.lifetime;
    sent.node = worker.node;
    sent.contactedNode = worker.node;
    sent.link = *link;
    sent.answer.memory = coordination::memory_grant(m_ingress.memory());
    sent.sidecarIncarnation = head.sidecarIncarnation;
    m_reader = std::make_shared<stream_reader>(m_ingress.io().get_executor());
    sent.stream = sent.link->session->open("/attempt", m_reader);
    if (sent.stream < 0) {
        m_ingress.peers().removeLink(worker.node, *link);
        co_return makeFailureOutcome(retry_reason::stream_refused, refusal_reason::path_down, run_state::not_run);
    }
    m_reader->attach(sent.link->session, sent.stream);

    // An outcome query replaces reader, link and stream of the attempt.
    const std::shared_ptr<stream_reader> sending = m_reader;
    const std::shared_ptr<peer_link> sendingLink = sent.link;
    const transport::stream_id sendingStream = sent.stream;
    sending->body().start(sendingLink->session, sendingStream, protocol::makeFrame(frame_type::attempt_head, protocol::encode(head)), m_request.body);
    m_current = &sent;
    attempt_outcome outcome = co_await readAnswer(sent);
    m_current = nullptr;
    if (sending->body().isSending()) { // refused before the sidecar had the whole body
        sending->body().stop();
        sendingLink->session->reset(sendingStream);
    }
    co_return outcome;
}

// [SECTION] Reading

asio::awaitable<attempt_outcome> request_handler::readAnswer(sent_attempt &sent)
{
    while (true) {
        const read_event event = co_await m_reader->next(m_deadline + AnswerGrace);
        if (event.kind == read_kind::cancelled) {
            sent.link->session->reset(sent.stream);
            m_ingress.metrics().incrementCounter("attempts_cancelled");
            co_return attempt_outcome{attempt_end::caller_disconnected, {}, {}, -1.0, false};
        }
        if (event.kind == read_kind::timed_out) {
            sent.link->session->reset(sent.stream);
            co_return sent.answer.streaming ? abortAnswer(sent)
                                            : makeFailureOutcome(retry_reason::path_silent, refusal_reason::unknown_outcome, run_state::unknown);
        }
        if (event.kind == read_kind::closed && event.closeReason == transport::stream_close_reason::refused) {
            co_return makeFailureOutcome(retry_reason::stream_refused, refusal_reason::path_down, run_state::not_run);
        }
        if (event.kind != read_kind::frame) {
            const bool pathLost
                = event.closeReason == transport::stream_close_reason::unresponsive || event.closeReason == transport::stream_close_reason::connection_lost;
            if (pathLost) {
                m_ingress.recordPathOutcome(sent.contactedNode, false);
                m_ingress.peers().removeLink(sent.contactedNode, sent.link);
            }
            if (sent.tracked) {
                if (sent.queries > 0) {
                    asio::steady_timer retryTimer(m_ingress.io(), QueryRetryDelay);
                    co_await retryTimer.async_wait(asio::as_tuple(asio::use_awaitable));
                }
                co_return co_await recoverOutcome(sent);
            }
            const retry_reason retryReason = pathLost && !sent.headArrived ? retry_reason::path_silent : retry_reason::cut_answer;
            co_return sent.answer.streaming ? abortAnswer(sent) : makeFailureOutcome(retryReason, refusal_reason::unknown_outcome, run_state::unknown);
        }
        if (event.frame.type == frame_type::answer_head) {
            if (auto outcome = co_await handleAnswerHead(sent, event.frame)) {
                co_return *std::move(outcome);
            }
        } else if (event.frame.type == frame_type::body && sent.headArrived) {
            if (mustStayWhole(sent.answer) && !hasRoomFor(sent.answer, event.frame.payload.size(), MaxUnchunkedAnswerBytes)) {
                sent.link->session->reset(sent.stream);
                co_return makeFailureOutcome(retry_reason::none, refusal_reason::unknown_outcome, run_state::ran);
            }
            if (!co_await handleAnswerBody(sent, event.frame.payload)) {
                sent.link->session->reset(sent.stream);
                co_return attempt_outcome{attempt_end::caller_disconnected, {}, {}, -1.0, false};
            }
        } else if (event.frame.type == frame_type::answer_end && sent.headArrived) {
            const auto end = protocol::decodeAnswerEnd(event.frame.payload);
            if (!end.ok()) {
                co_return abortAnswer(sent);
            }
            co_return co_await handleAnswerEnd(sent, *end);
        } else {
            sent.link->session->reset(sent.stream);
            co_return abortAnswer(sent);
        }
    }
}

asio::awaitable<std::optional<attempt_outcome>> request_handler::handleAnswerHead(sent_attempt &sent, const protocol::frame &frame)
{
    auto head = protocol::decodeAnswerHead(frame.payload);
    if (!head.ok() || head->id != sent.id) {
        m_ingress.metrics().incrementCounter("foreign_answers_dropped");
        sent.link->session->reset(sent.stream);
        co_return abortAnswer(sent);
    }
    sent.headArrived = true;
    m_ingress.recordPathOutcome(sent.contactedNode, true);
    m_ingress.recordReports(head->reports);
    if (head->status != 0) {
        m_ingress.recordSignals({sent.worker, m_pool->name, sent.lifetime}, protocol::readWorkerSignals(head->headers, m_ingress.settings().headers));
    }
    if (head->status == 0) {
        co_return sent.answer.streaming ? abortAnswer(sent) : makeRefusalOutcome(sent, *head);
    }
    const bool mayRetry = m_route->idempotent && m_ticket.empty() && !sent.answer.streaming;
    if (mayRetry && isServerError(head->status)) {
        attempt_outcome outcome = makeFailureOutcome(retry_reason::worker_failed, refusal_reason::none, run_state::ran);
        ++outcome.failure.arrivals; // includes the current attempt
        const auto view = m_ingress.viewOf(*m_pool);
        const bool hasAlternatives = m_triedWorkers.size() + 1 < view->workers.size();
        if (hasAlternatives && m_ingress.retryOf(*view).decide(outcome.failure, state::clock::now()).retry) {
            outcome.retryGranted = true;
            sent.answer.head = *std::move(head);
            co_return co_await keepFailedAnswer(sent, std::move(outcome));
        }
    }
    sent.answer.head = *std::move(head);
    co_return std::nullopt;
}

// Receives the rest of an answer with an error, so that the caller gets it when no further attempt is answered.
asio::awaitable<attempt_outcome> request_handler::keepFailedAnswer(sent_attempt &sent, attempt_outcome outcome)
{
    answer_state &answer = sent.answer;
    const state::time_point until = state::clock::now() + FailedAnswerTime;
    while (true) {
        const read_event event = co_await m_reader->next(until);
        const std::string_view payload = event.frame.payload;
        if (event.kind == read_kind::frame && event.frame.type == frame_type::body && answer.buffered.size() + payload.size() <= MaxFailedAnswerBytes) {
            XXH3_64bits_update(answer.digest, payload.data(), payload.size());
            answer.bodyBytes += payload.size();
            answer.buffered.append(payload);
            continue;
        }
        if (event.kind == read_kind::frame && event.frame.type == frame_type::answer_end) {
            const auto end = protocol::decodeAnswerEnd(event.frame.payload);
            if (end.ok() && isWhole(sent, *end)) {
                m_failedAnswer = failed_answer{answer.head.status, std::move(answer.head.headers), std::move(answer.buffered), sent.worker};
            }
            co_return outcome;
        }
        sent.link->session->reset(sent.stream);
        co_return event.kind == read_kind::cancelled ? attempt_outcome{attempt_end::caller_disconnected, {}, {}, -1.0, false} : outcome;
    }
}

// HTTP/1.0 has no chunked coding: without a length, the answer is buffered until it is complete.
bool request_handler::mustStayWhole(const answer_state &answer) const
{
    return !m_request.chunkedAllowed && protocol::findHeader(answer.head.headers, "Content-Length").empty();
}

// Reserves memory for more bytes of an answer that is held back.
bool request_handler::hasRoomFor(answer_state &answer, std::size_t bytes, std::size_t atMost)
{
    const std::size_t held = answer.buffered.size() + bytes;
    return held <= atMost && answer.memory.resize(held);
}

asio::awaitable<bool> request_handler::handleAnswerBody(sent_attempt &sent, std::string_view bytes)
{
    answer_state &answer = sent.answer;
    XXH3_64bits_update(answer.digest, bytes.data(), bytes.size());
    answer.bodyBytes += bytes.size();
    if (answer.skipBytes > 0) {
        const std::uint64_t skip = std::min<std::uint64_t>(answer.skipBytes, bytes.size());
        answer.skipBytes -= skip;
        bytes.remove_prefix(skip);
    }
    if (!answer.streaming && (mustStayWhole(answer) || hasRoomFor(answer, bytes.size(), MaxBufferedAnswerBytes))) {
        answer.buffered.append(bytes);
        co_return true;
    }
    if (!answer.streaming) {
        answer.streaming = true;
        if (!co_await m_connection.sendHead(answer.head.status, answer.head.headers)) {
            co_return false;
        }
    }
    // Holds back the latest part until the end of the answer has been verified, so that a corrupt answer is never completed.
    std::string chunk = std::move(answer.buffered);
    answer.buffered = std::string(bytes);
    if (!chunk.empty()) {
        answer.sentBytes += chunk.size();
        const bool isSent = co_await m_connection.sendChunk(chunk);
        answer.memory.resize(std::min(answer.memory.bytes(), answer.buffered.size()));
        co_return isSent;
    }
    co_return true;
}

bool request_handler::isWhole(const sent_attempt &sent, const protocol::answer_end &end) const
{
    const answer_state &answer = sent.answer;
    const bool intact = end.id == sent.id && end.bodyBytes == answer.bodyBytes && end.digest == XXH3_64bits_digest(answer.digest);
    std::uint64_t expectedBytes = answer.bodyBytes;
    const std::string_view length = protocol::findHeader(answer.head.headers, "Content-Length");
    const bool bodiless = m_request.method == "HEAD" || answer.head.status == 204 || answer.head.status == 304;
    if (!length.empty() && !bodiless) {
        std::from_chars(length.begin(), length.end(), expectedBytes);
    }
    return intact && expectedBytes == answer.bodyBytes;
}

asio::awaitable<attempt_outcome> request_handler::handleAnswerEnd(sent_attempt &sent, const protocol::answer_end &end)
{
    answer_state &answer = sent.answer;
    if (!isWhole(sent, end)) {
        m_ingress.metrics().incrementCounter("answers_not_whole");
        co_return abortAnswer(sent);
    }
    if (m_callerDisconnected) {
        co_return attempt_outcome{attempt_end::caller_disconnected, {}, {}, -1.0, false};
    }
    const std::uint32_t status = answer.head.status;
    answer.sentBytes += answer.buffered.size();
    bool sentAll = false;
    if (answer.streaming) {
        sentAll = co_await m_connection.sendLastChunk(answer.buffered);
    } else {
        sentAll = co_await m_connection.sendAnswer(status, answer.head.headers, std::move(answer.buffered));
    }
    if (sent.tracked && m_ticket.empty()) {
        acknowledge(sent);
    }
    m_answerStatus = status;
    m_ingress.recordAnswerBytes(m_route->name, answer.bodyBytes);
    m_ingress.metrics().countRequest(m_route->name, status);
    const auto total = std::chrono::duration_cast<std::chrono::microseconds>(state::clock::now() - m_request.arrivedAt);
    const auto workClass = m_route->idempotent ? transport::work_class::idempotent : transport::work_class::non_idempotent;
    m_ingress.metrics().observe(transport::measured_time::request, workClass, total);
    m_ingress.metrics().observe(transport::measured_time::added, workClass, std::max(total - end.runTime, std::chrono::microseconds(0)));
    co_return attempt_outcome{sentAll ? attempt_end::delivered : attempt_end::caller_disconnected, {}, {}, -1.0, false};
}

void request_handler::acknowledge(const sent_attempt &sent)
{
    sendControl(sent, protocol::makeFrame(frame_type::acknowledge, protocol::encode(protocol::attempt_acknowledge{sent.id})));
}

void request_handler::sendWithdrawal(const sent_attempt &sent)
{
    const state::time_point expiresAt = sent.link->clock.toPeerClock(m_deadline, state::clock::now());
    sendControl(sent, protocol::makeFrame(frame_type::withdraw, protocol::encode(protocol::attempt_withdrawal{sent.id, expiresAt})));
}

void request_handler::sendControl(const sent_attempt &sent, std::string_view frame)
{
    const transport::stream_id stream = sent.link->session->open("/control", std::make_shared<discard_handler>());
    if (stream >= 0) {
        sent.link->session->write(stream, frame, true);
    }
}

} // namespace dandelionstall
