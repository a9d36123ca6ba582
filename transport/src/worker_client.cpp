#include <dandelionstall/protocol/caller_http.h>
#include <dandelionstall/transport/worker_client.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace dandelionstall::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto ConnectTimeout = std::chrono::milliseconds(500);
constexpr auto DefaultIdleLife = std::chrono::seconds(5);    // of a connection whose worker states none
constexpr auto IdleMargin = std::chrono::milliseconds(1000); // closed this long before the worker would
constexpr auto MaxIdleLife = std::chrono::seconds(2);        // a worker that forgets idle connections has not yet done so
constexpr std::size_t MaxIdleConnections = 16;
constexpr std::size_t BodyChunkBytes = 32'768;
constexpr std::uint32_t HeaderLimitBytes = 65'536;
constexpr int MaxForeignAnswers = 3; // answers to earlier requests that may stand before the own one
constexpr std::uint32_t StatusMisdirected = 421;
constexpr std::uint32_t FirstErrorStatus = 400;

using answer_parser = http::response_parser<http::buffer_body>;

http::request<http::string_body> makeRequest(const worker_request &request, const state::header_names &names)
{
    http::request<http::string_body> out;
    out.version(11);
    out.method_string(request.method);
    out.target(request.target);
    for (const protocol::http_header &header : request.headers) {
        if (!protocol::equalHeaderNames(header.name, "content-length")) {
            out.insert(header.name, header.value);
        }
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - state::clock::now());
    out.set(names.timeLeft, std::to_string(std::max<std::int64_t>(left.count(), 1)));
    if (!names.expectedWorker.empty() && !request.expectedWorker.empty()) {
        out.set(names.expectedWorker, request.expectedWorker);
    }
    out.body() = request.body;
    out.keep_alive(true);
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT" || request.method == "PATCH") {
        out.prepare_payload();
    }
    return out;
}

protocol::http_headers headersOf(const http::response_header<> &head)
{
    protocol::http_headers headers;
    for (const auto &field : head) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return protocol::endToEndHeaders(headers);
}

std::chrono::milliseconds retryAfterOf(const protocol::http_headers &headers)
{
    const std::string_view text = protocol::findHeader(headers, "Retry-After");
    std::uint32_t seconds = 0;
    std::from_chars(text.begin(), text.end(), seconds);
    return std::chrono::seconds(std::min<std::uint32_t>(seconds, 3600));
}

// The worker has said that it did not run the request, or is not the one that may.
bool isDocumentedRefusal(std::uint32_t status, const protocol::http_headers &headers, const state::header_names &names)
{
    const bool misdirected = status == StatusMisdirected && !names.expectedWorker.empty();
    return misdirected || (status >= FirstErrorStatus && !protocol::findHeader(headers, names.notRun).empty());
}

// How long the worker keeps an idle connection, less a margin: "Keep-Alive: timeout=10".
state::duration idleLifeOf(const http::response_header<> &head)
{
    const std::string_view text(head[http::field::keep_alive].data(), head[http::field::keep_alive].size());
    const std::size_t at = text.find("timeout=");
    std::uint32_t seconds = 0;
    if (at == std::string_view::npos || std::from_chars(text.begin() + at + 8, text.end(), seconds).ec != std::errc()) {
        return DefaultIdleLife;
    }
    return std::max<state::duration>(std::chrono::seconds(seconds) - IdleMargin, state::duration::zero());
}

// A request being written while its answer is already being read: a worker may answer before it has the whole body.
struct request_write {
    http::request<http::string_body> message;
    bool done = false;
    beast::error_code error;
};

// True when the peer has closed the connection or sent something unasked.
bool isStale(beast::tcp_stream &stream)
{
    std::array<char, 1> byte{};
    beast::error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

worker_call_outcome endOf(const beast::error_code &error, const worker_call &call)
{
    if (call.isCancelled()) {
        return worker_call_outcome::cancelled;
    }
    return error == beast::error::timeout ? worker_call_outcome::timed_out : worker_call_outcome::cut;
}

} // namespace

// [SECTION] Calls

std::string_view outcomeName(worker_call_outcome end)
{
    switch (end) {
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

// One request on one connection and what has come back.
struct worker_client::exchange {
    stream_ptr stream;
    std::shared_ptr<request_write> write;
    beast::flat_buffer buffer;
    std::unique_ptr<answer_parser> parser;
    protocol::http_headers headers; // end-to-end headers of the answer
    std::uint32_t status = 0;
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

asio::awaitable<worker_result> worker_client::run(const worker_request &request, worker_answer_sink &sink, std::shared_ptr<worker_call> call)
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
    result = co_await runOn(stream, request, sink, call);
    if (reused && result.outcome == worker_call_outcome::cut && result.status == 0) {
        m_idle.clear(); // a worker that has forgotten one idle connection may have forgotten them all
    }
    co_return result;
}

bool worker_client::answersRequest(const exchange &at, const worker_request &request) const
{
    const std::string_view sent = m_names.requestId.empty() ? std::string_view() : protocol::findHeader(request.headers, m_names.requestId);
    const std::string_view echoed = protocol::findHeader(at.headers, m_names.requestId);
    return sent.empty() || echoed.empty() || sent == echoed;
}

// With seals in use, an answer counts as the worker's only with one, and with the body as the worker wrote it.
bool worker_client::passesSealCheck(const exchange &at) const
{
    if (m_names.seal.empty()) {
        return !at.parser->need_eof(); // without a stated length nobody can tell whether the answer is whole
    }
    const bool sealed = !protocol::findHeader(at.headers, m_names.seal).empty();
    const bool encoded = !protocol::findHeader(at.headers, "Content-Encoding").empty();
    const bool success = at.status < FirstErrorStatus;
    return !encoded && (sealed || !success) && (sealed || !at.parser->need_eof());
}

// Reads the head of the own answer; answers to earlier requests that stand before it are dropped.
asio::awaitable<boost::system::error_code> worker_client::readHead(exchange &at, const worker_request &request) const
{
    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    for (int foreign = 0; foreign <= MaxForeignAnswers; ++foreign) {
        at.parser = std::make_unique<answer_parser>();
        at.parser->header_limit(HeaderLimitBytes);
        at.parser->body_limit(boost::none);
        at.parser->skip(request.method == "HEAD");
        const auto [error, bytes] = co_await http::async_read_header(*at.stream, at.buffer, *at.parser, token);
        if (error) {
            co_return error;
        }
        at.status = at.parser->get().result_int();
        at.headers = headersOf(at.parser->get().base());
        if (answersRequest(at, request)) {
            co_return beast::error_code();
        }
        std::array<char, BodyChunkBytes> dropped{};
        while (!at.parser->is_done()) {
            at.parser->get().body().data = dropped.data();
            at.parser->get().body().size = dropped.size();
            const auto [bodyError, bodyBytes] = co_await http::async_read(*at.stream, at.buffer, *at.parser, token);
            if (bodyError && bodyError != http::error::need_buffer) {
                co_return bodyError;
            }
        }
        at.status = 0;
    }
    co_return beast::error_code(http::error::bad_status);
}

asio::awaitable<worker_result>
worker_client::runOn(stream_ptr stream, const worker_request &request, worker_answer_sink &sink, std::shared_ptr<worker_call> call)
{
    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    worker_result result;
    call->m_stream = stream;
    stream->expires_at(request.deadline);

    exchange at;
    at.stream = stream;
    at.write = std::make_shared<request_write>();
    at.write->message = makeRequest(request, m_names);
    http::async_write(*stream, at.write->message, [write = at.write, stream](const beast::error_code &error, std::size_t) {
        write->done = true;
        write->error = error;
    });

    if (const beast::error_code error = co_await readHead(at, request); error) {
        result.outcome = endOf(error, *call);
        stream->close();
        co_return result;
    }
    result.status = at.status;
    if (isDocumentedRefusal(at.status, at.headers, m_names)) {
        result.outcome = worker_call_outcome::refused;
        result.retryAfter = retryAfterOf(at.headers);
        stream->close();
        co_return result;
    }
    if (!passesSealCheck(at)) {
        result.outcome = worker_call_outcome::cut;
        stream->close();
        co_return result;
    }
    result.answerStarted = true;
    sink.onHead(at.status, at.headers);

    std::array<char, BodyChunkBytes> chunk{};
    while (!at.parser->is_done()) {
        at.parser->get().body().data = chunk.data();
        at.parser->get().body().size = chunk.size();
        const auto [error, bytes] = co_await http::async_read(*stream, at.buffer, *at.parser, token);
        if (error && error != http::error::need_buffer) {
            result.outcome = endOf(error, *call);
            stream->close();
            co_return result;
        }
        const std::size_t length = chunk.size() - at.parser->get().body().size;
        if (length > 0) {
            co_await sink.onBody({chunk.data(), length});
        }
    }
    result.outcome = worker_call_outcome::answered;
    keepIdleConnection(at, *call);
    co_return result;
}

// A connection with bytes beyond the answer, or with a request still being written, is of no further use.
void worker_client::keepIdleConnection(const exchange &at, const worker_call &call)
{
    const state::duration idleLife = idleLifeOf(at.parser->get().base());
    const bool clean = at.parser->keep_alive() && at.buffer.size() == 0 && at.write->done && !at.write->error;
    if (!clean || call.isCancelled() || m_idle.size() >= MaxIdleConnections || idleLife == state::duration::zero()) {
        at.stream->close();
        return;
    }
    at.stream->expires_never();
    const state::time_point now = state::clock::now();
    m_idle.push_back({at.stream, now + std::min<state::duration>(idleLife, MaxIdleLife)});
}

} // namespace dandelionstall::transport
