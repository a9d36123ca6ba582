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
constexpr auto IdleConnectionLife = std::chrono::seconds(5);
constexpr std::size_t MaxIdleConnections = 16;
constexpr std::size_t BodyChunkBytes = 32'768;
constexpr std::uint32_t HeaderLimitBytes = 65'536;

using answer_parser = http::response_parser<http::buffer_body>;

http::request<http::string_body> makeRequest(const worker_request &request)
{
    http::request<http::string_body> out;
    out.version(11);
    out.method_string(request.method);
    out.target(request.target);
    for (const protocol::http_header &header : request.headers) {
        if (!protocol::equalNames(header.name, "content-length")) {
            out.insert(header.name, header.value);
        }
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - state::clock::now());
    out.set(std::string(protocol::DeadlineHeader), std::to_string(std::max<std::int64_t>(left.count(), 1)));
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
    return protocol::endToEnd(headers);
}

std::chrono::milliseconds retryAfterOf(const protocol::http_headers &headers)
{
    const std::string_view text = protocol::findHeader(headers, "Retry-After");
    std::uint32_t seconds = 0;
    std::from_chars(text.begin(), text.end(), seconds);
    return std::chrono::seconds(std::min<std::uint32_t>(seconds, 3600));
}

bool isDocumentedRefusal(std::uint32_t status, const protocol::http_headers &headers)
{
    return status == 503 && protocol::findHeader(headers, protocol::WorkerRefusedHeader) == protocol::WorkerNotRun;
}

// True when the peer has closed the connection or sent something unasked.
bool isStale(beast::tcp_stream &stream)
{
    std::array<char, 1> byte{};
    beast::error_code error;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    return error != asio::error::would_block;
}

worker_end endOf(const beast::error_code &error, const worker_call &call)
{
    if (call.isCancelled()) {
        return worker_end::cancelled;
    }
    return error == beast::error::timeout ? worker_end::timed_out : worker_end::cut;
}

} // namespace

// [SECTION] Calls

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

worker_client::worker_client(const state::node_address &address)
    : m_address(address)
{ }

std::shared_ptr<beast::tcp_stream> worker_client::takeIdle()
{
    const state::time_point now = state::clock::now();
    while (!m_idle.empty()) {
        idle_connection candidate = std::move(m_idle.back());
        m_idle.pop_back();
        if (candidate.usableUntil > now && !isStale(*candidate.stream)) {
            return candidate.stream;
        }
    }
    return nullptr;
}

asio::awaitable<worker_result> worker_client::run(const worker_request &request, worker_answer_sink &sink, std::shared_ptr<worker_call> call)
{
    constexpr auto token = asio::as_tuple(asio::use_awaitable);
    worker_result result;
    std::shared_ptr<beast::tcp_stream> stream = request.freshConnection ? nullptr : takeIdle();
    if (!stream) {
        stream = std::make_shared<beast::tcp_stream>(co_await asio::this_coro::executor);
        call->m_stream = stream;
        stream->expires_at(std::min(request.deadline, state::clock::now() + ConnectTimeout));
        const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(m_address.ip), m_address.port);
        const auto [error] = co_await stream->async_connect(endpoint, token);
        if (error) {
            result.end = call->isCancelled() ? worker_end::cancelled : worker_end::unreachable;
            co_return result;
        }
        beast::error_code ignored;
        stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    call->m_stream = stream;
    if (call->isCancelled()) {
        result.end = worker_end::cancelled;
        co_return result;
    }
    stream->expires_at(request.deadline);

    const http::request<http::string_body> message = makeRequest(request);
    const auto [writeError, written] = co_await http::async_write(*stream, message, token);
    if (writeError) {
        result.end = endOf(writeError, *call);
        co_return result;
    }

    beast::flat_buffer buffer;
    answer_parser parser;
    parser.header_limit(HeaderLimitBytes);
    parser.body_limit(boost::none);
    parser.skip(request.method == "HEAD");
    const auto [headError, headBytes] = co_await http::async_read_header(*stream, buffer, parser, token);
    if (headError) {
        result.end = endOf(headError, *call);
        co_return result;
    }
    result.status = parser.get().result_int();
    protocol::http_headers headers = headersOf(parser.get().base());
    if (isDocumentedRefusal(result.status, headers)) {
        result.end = worker_end::refused;
        result.retryAfter = retryAfterOf(headers);
        co_return result;
    }
    if (parser.need_eof()) {
        result.end = worker_end::cut; // without a stated length nobody can tell whether the answer is whole
        co_return result;
    }
    result.answerStarted = true;
    sink.onHead(result.status, std::move(headers));

    std::array<char, BodyChunkBytes> chunk{};
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        const auto [bodyError, bodyBytes] = co_await http::async_read(*stream, buffer, parser, token);
        if (bodyError && bodyError != http::error::need_buffer) {
            result.end = endOf(bodyError, *call);
            co_return result;
        }
        const std::size_t length = chunk.size() - parser.get().body().size;
        if (length > 0) {
            co_await sink.onBody({chunk.data(), length});
        }
    }
    result.end = worker_end::answered;
    if (parser.get().keep_alive() && m_idle.size() < MaxIdleConnections && !call->isCancelled()) {
        stream->expires_never();
        m_idle.push_back({stream, state::clock::now() + IdleConnectionLife});
    }
    co_return result;
}

} // namespace dandelionstall::transport
