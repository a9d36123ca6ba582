#include "caller_connection.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace dandelionstall {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto CompletionToken = asio::as_tuple(asio::use_awaitable);
constexpr auto DrainTimeout = std::chrono::seconds(1);    // maximum time that drainInput() reads from a refused caller
constexpr std::chrono::milliseconds MaxBodyTime{600'000}; // a body that takes longer holds memory for too long
constexpr std::size_t MaxDrainedBytes = 16'777'216;       // maximum input that drainInput() discards before the connection is closed
constexpr std::size_t MaxChunkHeadBytes = 65'536;         // received and not yet parsed beyond a header: bounds chunk headers and trailers
constexpr auto WriteTimeout = std::chrono::seconds(30);   // maximum time for writing one part of an answer

std::string lowerCase(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

void fillRequest(const http::request<http::string_body> &in, caller_request &out)
{
    out.method = std::string(in.method_string());
    out.target = std::string(in.target());
    const std::string_view authority = protocol::authorityOf(out.target); // RFC 9112: an absolute request target overrides the Host header
    out.host = lowerCase(protocol::hostWithoutPort(authority.empty() ? std::string_view(in[http::field::host]) : authority));
    out.headers.clear();
    for (const auto &field : in) {
        out.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    out.headers = protocol::endToEndHeaders(out.headers);
    out.keepAlive = in.keep_alive();
    out.chunkedAllowed = in.version() >= 11;
}

// Checks the rules of RFC 9112 against request smuggling: exactly one Host header from HTTP/1.1 on, no transfer coding but chunked,
// and at most one of Content-Length and Transfer-Encoding, given once.
bool isUnambiguous(const http::request<http::string_body> &request)
{
    if (request.version() >= 11 && request.count(http::field::host) != 1) {
        return false;
    }
    const bool codingSupported = request.count(http::field::transfer_encoding) == 0 || beast::iequals(request[http::field::transfer_encoding], "chunked");
    const bool singleLength = request.count(http::field::content_length) + request.count(http::field::transfer_encoding) <= 1;
    return codingSupported && singleLength && request.count(http::field::transfer_encoding) <= 1;
}

// Time in which the caller can still use an answer, as it states itself; at most MaxBodyTime.
std::chrono::milliseconds bodyTimeOf(const http::request<http::string_body> &request, std::string_view timeLeftHeader)
{
    const std::string_view text = timeLeftHeader.empty() ? std::string_view() : std::string_view(request[timeLeftHeader]);
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(text.begin(), text.end(), milliseconds);
    const bool isStated = parsed.ec == std::errc() && parsed.ptr == text.end() && milliseconds >= 0 && !text.empty();
    return isStated ? std::min(MaxBodyTime, std::chrono::milliseconds(milliseconds)) : MaxBodyTime;
}

read_result readResultOf(const beast::error_code &error)
{
    if (error == beast::error::timeout) {
        return read_result::timed_out;
    }
    if (error == http::error::body_limit) {
        return read_result::too_large;
    }
    const bool parserError = error.category() == make_error_code(http::error::bad_method).category();
    if (parserError && error != http::error::end_of_stream && error != http::error::partial_message) {
        return read_result::malformed;
    }
    return read_result::disconnected;
}

} // namespace

struct caller_connection::request_parser : http::request_parser<http::string_body> {
};

struct caller_connection::streamed_answer {
    http::response<http::buffer_body> message;
    std::unique_ptr<http::response_serializer<http::buffer_body>> serializer;
};

caller_connection::caller_connection(beast::tcp_stream stream, coordination::memory_budget &memory)
    : m_stream(std::move(stream))
    , m_memory(memory)
{
    beast::error_code ignored;
    m_stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
}

// [SECTION] Requests

asio::awaitable<read_result> caller_connection::read(const read_limits &limits, caller_request &request)
{
    const auto self = shared_from_this();
    m_answerStarted = false;
    m_retryAfterFractions = limits.retryAfterFractions;
    m_streamedAnswer.reset();
    m_buffer.max_size(limits.maxHeaderBytes + MaxChunkHeadBytes);
    if (m_buffer.size() == 0) {
        m_idle = true;
        m_stream.expires_after(limits.idleTimeout);
        std::array<char, 1> byte{};
        const auto [error, bytes] = co_await m_stream.async_read_some(asio::buffer(byte), CompletionToken);
        m_idle = false;
        beast::error_code ignored;
        const bool inputAvailable = error == asio::error::operation_aborted && m_stream.socket().available(ignored) > 0;
        if (error && !inputAvailable) {
            co_return read_result::disconnected;
        }
        if (!error) {
            asio::buffer_copy(m_buffer.prepare(1), asio::buffer(byte));
            m_buffer.commit(1);
        }
    }
    m_stream.expires_after(limits.headerTimeout);
    request_parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    parser.body_limit(limits.maxBodyBytes);
    const auto [headError, headBytes] = co_await http::async_read_header(m_stream, m_buffer, parser, CompletionToken);
    if (headError) {
        co_return readResultOf(headError);
    }
    request.arrivedAt = state::clock::now();
    if (!isUnambiguous(parser.get())) {
        co_return read_result::malformed;
    }
    fillRequest(parser.get(), request);
    request.memory = coordination::memory_grant(m_memory);
    if (!request.memory.resize(parser.content_length().value_or(0))) {
        co_return read_result::no_memory;
    }
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
        const http::response<http::empty_body> continueResponse(http::status::continue_, 11);
        const auto [error, bytes] = co_await http::async_write(m_stream, continueResponse, CompletionToken);
        if (error) {
            co_return read_result::disconnected;
        }
    }
    m_readingBody = true;
    const read_result bodyResult = co_await readBody(parser, limits, request);
    m_readingBody = false;
    if (bodyResult != read_result::request) {
        co_return bodyResult;
    }
    m_stream.expires_never();
    request.body = std::move(parser.get().body());
    m_headRequest = request.method == "HEAD";
    m_closesAfterAnswer = m_closesAfterAnswer || !request.keepAlive;
    co_return read_result::request;
}

// A body without a stated length is granted memory as it grows.
asio::awaitable<read_result> caller_connection::readBody(request_parser &parser, const read_limits &limits, caller_request &request)
{
    const state::time_point completeBy = request.arrivedAt + bodyTimeOf(parser.get(), limits.timeLeftHeader);
    parser.eager(true);
    while (!parser.is_done()) {
        if (m_bodyReadCancelled) {
            co_return read_result::stopping;
        }
        m_stream.expires_at(std::min(completeBy, state::clock::now() + limits.idleTimeout));
        const auto [error, bytes] = co_await http::async_read_some(m_stream, m_buffer, parser, CompletionToken);
        if (error && !m_bodyReadCancelled) {
            co_return readResultOf(error);
        }
        const std::size_t held = parser.get().body().capacity();
        if (held > request.memory.bytes() && !request.memory.resize(held)) {
            co_return read_result::no_memory;
        }
    }
    co_return read_result::request;
}

void caller_connection::watchForClose(std::function<void()> onClose)
{
    if (m_buffer.size() > 0) {
        return; // the caller has pipelined its next request, so a readable socket would not mean a close
    }
    const auto watching = std::make_shared<bool>(true);
    m_watching = watching;
    auto handler = [self = shared_from_this(), watching, notifyClosed = std::move(onClose)](const beast::error_code &error) {
        if (error || !*watching) {
            return;
        }
        std::array<char, 1> byte{};
        beast::error_code peekError;
        self->m_stream.socket().non_blocking(true, peekError);
        self->m_stream.socket().receive(asio::buffer(byte), asio::socket_base::message_peek, peekError);
        if (peekError && peekError != asio::error::would_block) {
            notifyClosed();
        }
    };
    m_stream.socket().async_wait(asio::socket_base::wait_read, asio::bind_cancellation_slot(m_watchSignal.slot(), std::move(handler)));
}

void caller_connection::stopWatching()
{
    if (m_watching) {
        *m_watching = false;
        m_watching.reset();
        m_watchSignal.emit(asio::cancellation_type::terminal);
    }
}

// [SECTION] Answers

asio::awaitable<bool> caller_connection::sendRefusal(const protocol::caller_refusal &refusal)
{
    protocol::http_headers headers;
    headers.push_back({"Content-Type", "application/json"});
    headers.push_back({std::string(protocol::ReasonHeader), std::string(coordination::reasonName(refusal.reason))});
    headers.push_back({std::string(protocol::RunHeader), std::string(coordination::runStateName(refusal.run))});
    if (refusal.retryAfter.count() > 0) {
        headers.push_back({"Retry-After", protocol::retryAfterText(refusal, m_retryAfterFractions)});
    }
    co_return co_await sendAnswer(protocol::httpStatusOf(refusal), headers, protocol::jsonBodyOf(refusal));
}

asio::awaitable<bool> caller_connection::sendAnswer(std::uint32_t status, const protocol::http_headers &headers, std::string body)
{
    const auto self = shared_from_this();
    http::response<http::string_body> message;
    message.version(11);
    message.result(status);
    for (const protocol::http_header &header : headers) {
        message.insert(header.name, header.value);
    }
    const bool bodiless = m_headRequest || status == 204 || status == 304;
    if (!bodiless) {
        message.erase(http::field::content_length);
        message.body() = std::move(body);
        message.prepare_payload();
    }
    message.keep_alive(!m_closesAfterAnswer);
    m_answerStarted = true;
    m_stream.expires_after(WriteTimeout);
    const auto [error, bytes] = co_await http::async_write(m_stream, message, CompletionToken);
    m_stream.expires_never();
    co_return !error;
}

asio::awaitable<bool> caller_connection::sendHead(std::uint32_t status, const protocol::http_headers &headers)
{
    const auto self = shared_from_this();
    m_streamedAnswer = std::make_shared<streamed_answer>();
    auto &message = m_streamedAnswer->message;
    message.version(11);
    message.result(status);
    for (const protocol::http_header &header : headers) {
        message.insert(header.name, header.value);
    }
    if (message.find(http::field::content_length) == message.end()) {
        message.chunked(true);
    }
    message.keep_alive(!m_closesAfterAnswer);
    message.body().data = nullptr;
    message.body().more = true;
    m_streamedAnswer->serializer = std::make_unique<http::response_serializer<http::buffer_body>>(message);
    m_answerStarted = true;
    m_stream.expires_after(WriteTimeout);
    const auto [error, bytes] = co_await http::async_write_header(m_stream, *m_streamedAnswer->serializer, CompletionToken);
    co_return !error;
}

asio::awaitable<bool> caller_connection::sendChunk(std::string_view bytes)
{
    const auto self = shared_from_this();
    const auto answer = m_streamedAnswer;
    auto &body = answer->message.body();
    body.data = const_cast<char *>(bytes.data());
    body.size = bytes.size();
    body.more = true;
    m_stream.expires_after(WriteTimeout);
    const auto [error, written] = co_await http::async_write(m_stream, *answer->serializer, CompletionToken);
    co_return !error || error == http::error::need_buffer;
}

asio::awaitable<bool> caller_connection::sendLastChunk(std::string_view bytes)
{
    const auto self = shared_from_this();
    const auto answer = m_streamedAnswer;
    auto &body = answer->message.body();
    body.data = bytes.empty() ? nullptr : const_cast<char *>(bytes.data());
    body.size = bytes.size();
    body.more = false;
    m_stream.expires_after(WriteTimeout);
    const auto [error, written] = co_await http::async_write(m_stream, *answer->serializer, CompletionToken);
    m_stream.expires_never();
    co_return !error;
}

bool caller_connection::hasAnswerStarted() const
{
    return m_answerStarted;
}

void caller_connection::closeAfterAnswer()
{
    m_closesAfterAnswer = true;
}

bool caller_connection::closesAfterAnswer() const
{
    return m_closesAfterAnswer;
}

void caller_connection::shutdown()
{
    beast::error_code ignored;
    m_stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

// Closing a connection with unread input resets it, and a reset discards any part of the answer that the caller has not read yet.
asio::awaitable<void> caller_connection::drainInput()
{
    const auto self = shared_from_this();
    std::array<char, 4096> discarded{};
    m_stream.expires_after(DrainTimeout);
    for (std::size_t drained = 0; drained < MaxDrainedBytes;) {
        const auto [error, bytes] = co_await m_stream.async_read_some(asio::buffer(discarded), CompletionToken);
        if (error) {
            co_return;
        }
        drained += bytes;
    }
}

void caller_connection::abort()
{
    beast::error_code ignored;
    m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
    m_stream.close();
}

void caller_connection::cancelIdleRead()
{
    if (m_idle) {
        m_stream.cancel();
    }
}

void caller_connection::cancelBodyRead()
{
    if (m_readingBody) {
        m_bodyReadCancelled = true;
        m_stream.cancel();
    }
}

bool caller_connection::isIdle() const
{
    return m_idle;
}

} // namespace dandelionstall
