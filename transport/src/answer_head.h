// Reads the head of a worker's answer. Internal header of the worker client.
//
// The parser refuses names of fields with blanks or control bytes, but joins a line that begins with a blank to the value of the line
// before, which may be any header of the worker. Such a head is refused here, as RFC 9112, 5.2 lets a proxy do.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <string_view>

namespace dandelionstall::transport::detail {

// Looks for lines that begin with a blank or a tab, in parts of any size.
class folded_line_scan
{
public:
    bool feed(std::string_view part); // true when such a line begins in this part

private:
    bool m_atLineStart = true;
};

// Returns when the parser has the whole head; bytes behind it stay in the buffer.
// Errors: those of the stream and of the parser; bad_field for a line that begins with a blank; buffer_overflow.
boost::asio::awaitable<boost::beast::error_code>
readAnswerHead(boost::beast::tcp_stream &stream, boost::beast::flat_buffer &buffer, boost::beast::http::basic_parser<false> &parser);

} // namespace dandelionstall::transport::detail
