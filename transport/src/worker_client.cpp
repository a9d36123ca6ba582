#include <dandelionstall/transport/worker_client.h>

#include "answer_head.h"
#include "request_write.h"

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
constexpr std::size_t BodyChunkBytes = 32'768;
constexpr std::uint32_t HeaderLimitBytes = 65'536;
constexpr int MaxEarlierAnswers = 3;              // late answers to earlier requests that may precede the expected answer
constexpr int MaxInterimAnswers = 8;              // answers with a status of 1xx that may precede the expected answer
constexpr std::size_t MaxDroppedBytes = 262'144;  // of the body of a late answer, before the connection is given up
constexpr std::size_t MaxErrorBytes = 1'048'576;  // of the body of an answer with an error
constexpr std::size_t MaxBufferedBytes = 131'072; // received and not yet parsed: bounds chunk headers and trailers
constexpr std::uint32_t StatusMisdirected = 421;
constexpr std::uint32_t FirstErrorStatus = 400;

using answer_parser = http::response_parser<http::buffer_body>;

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

// The end-to-end headers. A length that is stated several times, for the parser has found all to be the same, is kept once.
protocol::http_headers headersOf(const http::response_header<> &head)
{
    protocol::http_headers headers;
    bool hasLength = false;
    for (const auto &field : head) {
        std::string value(field.value());
        if (field.name() == http::field::content_length) {
            if (std::exchange(hasLength, true)) {
                continue;
            }
            value.resize(std::min(value.size(), value.find(',')));
        }
        headers.push_back({std::string(field.name_string()), std::move(value)});
    }
    return protocol::endToEndHeaders(headers);
}

// The parser decodes chunks, and leaves bytes in any other coding as they are.
bool isCodingSupported(const http::response_header<> &head)
{
    const std::size_t codings = head.count(http::field::transfer_encoding);
    return codings == 0 || (codings == 1 && beast::iequals(head[http::field::transfer_encoding], "chunked"));
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

// One request on one connection, and the part of the answer received so far.
struct worker_client::exchange {
    stream_ptr stream;
    std::shared_ptr<detail::request_write> write;
    beast::flat_buffer buffer{MaxBufferedBytes};
    std::unique_ptr<answer_parser> parser;
    protocol::http_headers headers; // end-to-end headers of the answer
    std::uint32_t status = 0;
    bool reused = false; // an earlier request was sent on this connection
};

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

answer_origin worker_client::originOf(const exchange &current, const worker_request &request) const
{
    const std::string_view sent = m_names.requestId.empty() ? std::string_view() : protocol::findHeader(request.headers, m_names.requestId);
    const std::string_view echoed = protocol::findHeader(current.headers, m_names.requestId);
    if (sent.empty() || sent == echoed) {
        return answer_origin::this_request;
    }
    if (!echoed.empty()) {
        return answer_origin::another_request;
    }
    return current.reused ? answer_origin::unknown : answer_origin::this_request;
}

// True when the answer comes from the worker itself and a truncation of it would be detected. When a seal header is
// configured, a successful answer needs it, an error without it needs a stated length, and no answer may be re-encoded
// (Content-Encoding).
bool worker_client::passesSealCheck(const exchange &current) const
{
    if (m_names.seal.empty()) {
        return !current.parser->need_eof(); // without a length, a truncated answer cannot be recognised
    }
    const bool sealed = !protocol::findHeader(current.headers, m_names.seal).empty();
    const bool encoded = !protocol::findHeader(current.headers, "Content-Encoding").empty();
    const bool success = current.status < FirstErrorStatus;
    return !encoded && (sealed || !success) && (sealed || !current.parser->need_eof());
}

// Reads the head of the answer to this request; late answers to earlier requests that precede it are dropped.
asio::awaitable<boost::system::error_code> worker_client::readHead(exchange &current, const worker_request &request) const
{
    int earlier = 0;
    int interim = 0;
    while (earlier <= MaxEarlierAnswers && interim <= MaxInterimAnswers) {
        current.parser = std::make_unique<answer_parser>();
        current.parser->header_limit(HeaderLimitBytes);
        current.parser->body_limit(boost::none);
        current.parser->skip(request.method == "HEAD");
        if (const beast::error_code error = co_await detail::readAnswerHead(*current.stream, current.buffer, *current.parser); error) {
            co_return error;
        }
        if (!isCodingSupported(current.parser->get().base())) {
            co_return beast::error_code(http::error::bad_transfer_encoding);
        }
        current.status = current.parser->get().result_int();
        current.headers = headersOf(current.parser->get().base());
        const bool isInterim = protocol::isInterimStatus(current.status);
        if (!isInterim && !protocol::isFinalStatus(current.status)) {
            break;
        }
        const answer_origin origin = originOf(current, request);
        if (!isInterim && origin == answer_origin::this_request) {
            co_return beast::error_code();
        }
        if (!isInterim && origin == answer_origin::unknown) {
            break;
        }
        current.status = 0;
        if (isInterim) {
            ++interim;
            continue;
        }
        ++earlier;
        if (const beast::error_code dropError = co_await dropBody(current); dropError) {
            co_return dropError;
        }
    }
    current.status = 0;
    co_return beast::error_code(http::error::bad_status);
}

// Reads the body of a late answer, which belongs to nobody, as far as MaxDroppedBytes.
asio::awaitable<beast::error_code> worker_client::dropBody(exchange &current) const
{
    std::array<char, BodyChunkBytes> dropped{};
    std::size_t total = 0;
    while (!current.parser->is_done()) {
        current.parser->get().body().data = dropped.data();
        current.parser->get().body().size = dropped.size();
        const auto [error, bytes] = co_await http::async_read(*current.stream, current.buffer, *current.parser, asio::as_tuple(asio::use_awaitable));
        if (error && error != http::error::need_buffer) {
            co_return error;
        }
        total += dropped.size() - current.parser->get().body().size;
        if (total > MaxDroppedBytes) {
            co_return beast::error_code(http::error::body_limit);
        }
    }
    co_return beast::error_code();
}

// Passes the body to the sink as it arrives; error body_limit when it is longer than `maxBytes`.
asio::awaitable<beast::error_code> worker_client::readBody(exchange &current, worker_answer_sink &sink, std::size_t maxBytes) const
{
    std::size_t total = 0;
    std::array<char, BodyChunkBytes> chunk{};
    while (!current.parser->is_done()) {
        current.parser->get().body().data = chunk.data();
        current.parser->get().body().size = chunk.size();
        const auto [error, bytes] = co_await http::async_read(*current.stream, current.buffer, *current.parser, asio::as_tuple(asio::use_awaitable));
        if (error && error != http::error::need_buffer) {
            co_return error;
        }
        const std::size_t length = chunk.size() - current.parser->get().body().size;
        total += length;
        if (total > maxBytes) {
            co_return beast::error_code(http::error::body_limit);
        }
        if (length > 0) {
            co_await sink.onBody({chunk.data(), length});
        }
    }
    if (!current.parser->need_eof()) {
        co_return beast::error_code();
    }
    co_return co_await detail::checkStreamEnd(*current.stream, *current.write);
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
        result.outcome = outcomeOf(error, *call);
        stream->close();
        co_return result;
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
        stream->close();
        co_return result;
    }
    sink.onSignals(protocol::readWorkerSignals(current.headers, m_names), false);
    result.answerStarted = true;
    sink.onHead(current.status, current.headers);

    const std::size_t maxBytes = current.status < FirstErrorStatus ? request.maxAnswerBytes : std::min(MaxErrorBytes, request.maxAnswerBytes);
    if (const beast::error_code error = co_await readBody(current, sink, maxBytes); error) {
        result.outcome = outcomeOf(error, *call);
        stream->close();
        co_return result;
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
