#include "request_write.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <poll.h>

#include <utility>

namespace dandelionstall::transport::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

// Time in which a reset behind the end of a stream counts. Workers run on the VM of their node, so that it arrives at once.
constexpr auto LateResetTime = std::chrono::milliseconds(200);

// True when the connection is closed in both directions, though this side has closed none: it was reset. This holds also after the error
// of the reset was reported to another operation.
bool isReset(beast::tcp_stream &stream)
{
    pollfd state{stream.socket().native_handle(), 0, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLHUP | POLLERR | POLLNVAL)) != 0;
}

} // namespace

std::shared_ptr<request_write> startWrite(const stream_ptr &stream, http::request<http::string_body> message)
{
    const auto write = std::make_shared<request_write>();
    write->message = std::move(message);
    http::async_write(*stream, write->message, [write, stream](const beast::error_code &error, std::size_t) {
        write->done = true;
        write->error = error;
        if (write->waiter) {
            write->waiter->cancel();
        }
    });
    return write;
}

asio::awaitable<beast::error_code> checkStreamEnd(beast::tcp_stream &stream, request_write &write)
{
    if (!write.done && !isReset(stream)) {
        write.waiter.emplace(co_await asio::this_coro::executor, state::clock::now() + LateResetTime);
        co_await write.waiter->async_wait(asio::as_tuple(asio::use_awaitable));
        write.waiter.reset();
    }
    if (write.done && write.error) {
        co_return write.error;
    }
    co_return isReset(stream) ? beast::error_code(asio::error::connection_reset) : beast::error_code();
}

} // namespace dandelionstall::transport::detail
