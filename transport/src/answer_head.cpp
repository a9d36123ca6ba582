#include "answer_head.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace dandelionstall::transport::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t ReadChunkBytes = 16'384;

asio::awaitable<beast::error_code> receiveMore(beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    const std::size_t room = std::min(ReadChunkBytes, buffer.max_size() - buffer.size());
    if (room == 0) {
        co_return beast::error_code(http::error::buffer_overflow);
    }
    const auto [error, bytes] = co_await stream.async_read_some(buffer.prepare(room), asio::as_tuple(asio::use_awaitable));
    buffer.commit(bytes);
    co_return error;
}

std::string_view textOf(const beast::flat_buffer &buffer, std::size_t bytes)
{
    return {static_cast<const char *>(buffer.data().data()), bytes};
}

} // namespace

bool folded_line_scan::feed(std::string_view part)
{
    bool found = false;
    for (const char c : part) {
        found = found || (m_atLineStart && (c == ' ' || c == '\t'));
        m_atLineStart = c == '\n';
    }
    return found;
}

asio::awaitable<beast::error_code> readAnswerHead(beast::tcp_stream &stream, beast::flat_buffer &buffer, http::basic_parser<false> &parser)
{
    folded_line_scan scan;
    bool needsMore = buffer.size() == 0;
    while (!parser.is_header_done()) {
        if (needsMore) {
            if (const beast::error_code error = co_await receiveMore(stream, buffer); error) {
                co_return error;
            }
        }
        beast::error_code error;
        const std::size_t parsed = parser.put(buffer.data(), error);
        if (error && error != http::error::need_more) {
            co_return error;
        }
        if (scan.feed(textOf(buffer, parsed))) {
            co_return beast::error_code(http::error::bad_field);
        }
        buffer.consume(parsed);
        needsMore = error == http::error::need_more || buffer.size() == 0;
    }
    co_return beast::error_code();
}

} // namespace dandelionstall::transport::detail
