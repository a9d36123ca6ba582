// Reading of answers: head, body, and whether they can be trusted. Connections and requests are in worker_client.cpp.
#include "answer_head.h"
#include "worker_exchange.h"

#include <dandelionstall/protocol/caller_http.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace dandelionstall::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t BodyChunkBytes = 32'768;
constexpr std::uint32_t HeaderLimitBytes = 65'536;
constexpr int MaxEarlierAnswers = 3;             // late answers to earlier requests that may precede the expected answer
constexpr int MaxInterimAnswers = 8;             // answers with a status of 1xx that may precede the expected answer
constexpr std::size_t MaxDroppedBytes = 262'144; // of the body of a late answer, before the connection is given up

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

} // namespace

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
            current.status = 0;
            co_return beast::error_code(http::error::bad_status);
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
    current.fault = answer_fault::misplaced;
    co_return beast::error_code(http::error::unexpected_body);
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

} // namespace dandelionstall::transport
