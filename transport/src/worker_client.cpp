#include <dandelionstall/transport/worker_client.h>

#include "answer_fault.h"
#include "worker_exchange.h"

#include <dandelionstall/protocol/caller_http.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace dandelionstall::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto ConnectTimeout = std::chrono::milliseconds(500);
constexpr auto DefaultIdleLifetime = std::chrono::seconds(5); // used when the worker sends no Keep-Alive timeout
constexpr auto IdleMargin = std::chrono::milliseconds(1000);  // connections are not reused in this last part of the worker's own timeout
constexpr auto MaxIdleLifetime = std::chrono::seconds(2);     // short enough to end reuse before a worker closes idle connections without notice
constexpr std::size_t MaxIdleConnections = 16;
constexpr std::size_t MaxErrorBytes = 1'048'576; // of the body of an answer with an error
constexpr std::uint32_t StatusMisdirected = 421;

// Moves the body out of the request, since it may be large.
http::request<http::string_body> makeRequest(worker_request &request, const state::header_names &names, std::chrono::milliseconds timeLeft)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const protocol::http_header &header : request.headers) {
        if (!protocol::equalHeaderNames(header.name, "content-length")) {
            message.insert(header.name, header.value);
        }
    }
    message.set(names.timeLeft, std::to_string(timeLeft.count()));
    if (!names.expectedWorker.empty() && !request.expectedWorker.empty()) {
        message.set(names.expectedWorker, request.expectedWorker);
    }
    message.body() = std::move(request.body);
    message.keep_alive(true);
    if (!message.body().empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        message.prepare_payload();
    }
    return message;
}

std::chrono::milliseconds retryAfterOf(const protocol::http_headers &headers)
{
    const std::string_view text = protocol::findHeader(headers, "Retry-After");
    std::uint32_t seconds = 0;
    std::from_chars(text.begin(), text.end(), seconds);
    return std::chrono::seconds(std::min<std::uint32_t>(seconds, 3600));
}

// True when the answer states that the worker did not run the request, or that it is not the expected worker.
bool isDocumentedRefusal(std::uint32_t status, const protocol::http_headers &headers, const state::header_names &names)
{
    const bool misdirected = status == StatusMisdirected && !names.expectedWorker.empty();
    return misdirected || (status >= FirstErrorStatus && !protocol::findHeader(headers, names.notRun).empty());
}

// How long an idle connection may be kept: the timeout of the worker's header, e.g. "Keep-Alive: timeout=10", less a margin.
state::duration idleLifetimeOf(const http::response_header<> &head)
{
    const std::string_view text(head[http::field::keep_alive].data(), head[http::field::keep_alive].size());
    const std::size_t position = text.find("timeout=");
    std::uint32_t seconds = 0;
    if (position == std::string_view::npos || std::from_chars(text.begin() + position + 8, text.end(), seconds).ec != std::errc()) {
        return DefaultIdleLifetime;
    }
    return std::max<state::duration>(std::chrono::seconds(seconds) - IdleMargin, state::duration::zero());
}

// True when the worker has closed the idle connection or has sent unsolicited bytes on it.
bool isStale(beast::tcp_stream &stream)
{
    std::array<char, 1> byte{};
    beast::error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

worker_call_outcome outcomeOf(const beast::error_code &error, const worker_call &call)
{
    if (call.isCancelled()) {
        return worker_call_outcome::cancelled;
    }
    return error == beast::error::timeout ? worker_call_outcome::timed_out : worker_call_outcome::cut;
}

} // namespace

// [SECTION] Calls

std::string_view outcomeName(worker_call_outcome outcome)
{
    switch (outcome) {
    case worker_call_outcome::answered:
        return "answered";
    case worker_call_outcome::refused:
        return "refused";
    case worker_call_outcome::unreachable:
        return "unreachable";
    case worker_call_outcome::cut:
        return "cut";
    case worker_call_outcome::timed_out:
        return "timed_out";
    case worker_call_outcome::cancelled:
        return "cancelled";
    }
    return "cut";
}

void worker_call::cancel()
{
    m_cancelled = true;
    if (const auto stream = m_stream.lock()) {
        stream->close();
    }
}

bool worker_call::isCancelled() const
{
    return m_cancelled;
}

// [SECTION] Client

worker_client::worker_client(const state::node_address &address, state::header_names names)
    : m_address(address)
    , m_names(std::move(names))
{ }

worker_client::stream_ptr worker_client::popIdleConnection()
{
    const state::time_point now = state::clock::now();
    std::erase_if(m_idle, [now](const idle_connection &entry) { return entry.usableUntil <= now; });
    while (!m_idle.empty()) {
        const idle_connection candidate = std::move(m_idle.back());
        m_idle.pop_back();
        if (!isStale(*candidate.stream)) {
            return candidate.stream;
        }
    }
    return nullptr;
}

asio::awaitable<worker_client::stream_ptr> worker_client::connect(const worker_request &request, worker_call &call)
{
    const auto stream = std::make_shared<beast::tcp_stream>(co_await asio::this_coro::executor);
    call.m_stream = stream;
    stream->expires_at(std::min(request.deadline, state::clock::now() + ConnectTimeout));
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_address.ip), m_address.port);
    const auto [error] = co_await stream->async_connect(endpoint, asio::as_tuple(asio::use_awaitable));
    if (error) {
        co_return nullptr;
    }
    beast::error_code ignored;
    stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return stream;
}

asio::awaitable<worker_result> worker_client::run(worker_request request, worker_answer_sink &sink, std::shared_ptr<worker_call> call)
{
    worker_result result;
    stream_ptr stream = popIdleConnection();
    const bool reused = stream != nullptr;
    if (!reused) {
        stream = co_await connect(request, *call);
    }
    if (!stream || call->isCancelled()) {
        result.outcome = call->isCancelled() ? worker_call_outcome::cancelled : worker_call_outcome::unreachable;
        co_return result;
    }
    result = co_await runOn(stream, reused, request, sink, call);
    if (reused && result.outcome == worker_call_outcome::cut && result.status == 0) {
        m_idle.clear(); // a worker that has dropped one idle connection may have dropped all of them
    }
    co_return result;
}

worker_result worker_client::endWithError(const exchange &current, worker_result result, const beast::error_code &error, const worker_call &call) const
{
    result.outcome = outcomeOf(error, call);
    if (result.outcome == worker_call_outcome::cut) {
        result.fault = current.fault != answer_fault::none ? current.fault : detail::faultOf(error);
    }
    current.stream->close();
    return result;
}

asio::awaitable<worker_result>
worker_client::runOn(stream_ptr stream, bool reused, worker_request &request, worker_answer_sink &sink, std::shared_ptr<worker_call> call)
{
    worker_result result;
    call->m_stream = stream;
    stream->expires_at(request.deadline);

    exchange current;
    current.stream = stream;
    current.reused = reused;
    result.sentAt = state::clock::now();
    result.handed = std::max(std::chrono::milliseconds(1), std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - result.sentAt));
    current.write = detail::startWrite(stream, makeRequest(request, m_names, result.handed));

    if (const beast::error_code error = co_await readHead(current, request); error) {
        co_return endWithError(current, result, error, *call);
    }
    result.status = current.status;
    if (isDocumentedRefusal(current.status, current.headers, m_names)) {
        if (current.status != StatusMisdirected) {
            sink.onSignals(protocol::readWorkerSignals(current.headers, m_names), true);
        }
        result.outcome = worker_call_outcome::refused;
        result.retryAfter = retryAfterOf(current.headers);
        stream->close();
        co_return result;
    }
    if (!passesSealCheck(current)) {
        result.outcome = worker_call_outcome::cut;
        result.fault = answer_fault::unproven;
        stream->close();
        co_return result;
    }
    sink.onSignals(protocol::readWorkerSignals(current.headers, m_names), false);
    result.answerStarted = true;
    sink.onHead(current.status, current.headers);

    const std::size_t maxBytes = current.status < FirstErrorStatus ? request.maxAnswerBytes : std::min(MaxErrorBytes, request.maxAnswerBytes);
    if (const beast::error_code error = co_await readBody(current, sink, maxBytes); error) {
        co_return endWithError(current, result, error, *call);
    }
    result.outcome = worker_call_outcome::answered;
    keepIdleConnection(current, request, *call);
    co_return result;
}

// Keeps the connection for reuse. It is closed instead if bytes follow the answer or the request is not completely written,
// as it cannot carry another request then, and if the worker does not echo ids, as the next answer on it would prove nothing.
void worker_client::keepIdleConnection(const exchange &current, const worker_request &request, const worker_call &call)
{
    const state::duration idleLifetime = idleLifetimeOf(current.parser->get().base());
    const bool clean = current.parser->keep_alive() && current.buffer.size() == 0 && current.write->done && !current.write->error;
    const bool sentId = !m_names.requestId.empty() && !protocol::findHeader(request.headers, m_names.requestId).empty();
    const bool echoes = !sentId || !protocol::findHeader(current.headers, m_names.requestId).empty();
    if (!clean || !echoes || call.isCancelled() || m_idle.size() >= MaxIdleConnections || idleLifetime == state::duration::zero()) {
        current.stream->close();
        return;
    }
    current.stream->expires_never();
    const state::time_point now = state::clock::now();
    m_idle.push_back({current.stream, now + std::min<state::duration>(idleLifetime, MaxIdleLifetime)});
}

} // namespace dandelionstall::transport
