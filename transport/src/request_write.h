// The write of a request, which goes on while the answer is read: a worker may answer before it has the whole body. Internal header of the
// worker client.
//
// The two operations share one socket, and its kernel reports a reset of the connection only once, to whichever asks first. When the write has
// got it, the read sees a plain end of the stream. Where that end alone completes an answer, checkStreamEnd() tells the two apart.
//
// Usage:
//   auto write = startWrite(stream, std::move(message));
//   ...                                                        // read the answer to the end of the stream
//   const beast::error_code error = co_await checkStreamEnd(*stream, *write);
#pragma once

#include <dandelionstall/state/types.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace dandelionstall::transport::detail {

struct request_write {
    boost::beast::http::request<boost::beast::http::string_body> message;
    bool done = false;                               // the write has ended
    boost::beast::error_code error;                  // how it ended
    std::optional<boost::asio::steady_timer> waiter; // set while checkStreamEnd() waits; cancelled when the write ends
};

using stream_ptr = std::shared_ptr<boost::beast::tcp_stream>;

std::shared_ptr<request_write> startWrite(const stream_ptr &stream, boost::beast::http::request<boost::beast::http::string_body> message);

// Tells how a stream has ended of which the read has seen the end. No error: the worker has ended its own side. While the request is
// being written, a reset that follows the end soon counts, too: the worker has gone, instead of reading on.
// Errors: that of the write, or connection_reset.
boost::asio::awaitable<boost::beast::error_code> checkStreamEnd(boost::beast::tcp_stream &stream, request_write &write);

} // namespace dandelionstall::transport::detail
