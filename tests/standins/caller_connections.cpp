#include "caller_connections.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

namespace dandelionstall::standins {

using namespace asio::experimental::awaitable_operators;

namespace {

constexpr std::uint64_t MaxAnswerBytes = 64 * 1024 * 1024;

bool isClosed(tcp::socket &socket)
{
    char byte = 0;
    boost::system::error_code error;
    socket.non_blocking(true, error);
    socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

caller_connections::caller_connections(asio::io_context &io, std::string sourceIp)
    : m_io(io)
    , m_sourceIp(std::move(sourceIp))
{ }

asio::awaitable<exchange_result> caller_connections::exchange(std::string node, http_request request, std::chrono::milliseconds timeout)
{
    exchange_result result;
    result.error = "timeout";
    request.prepare_payload();
    co_await (attempt(std::move(node), request, result) || pauseFor(timeout));
    co_return result;
}

asio::awaitable<caller_connections::connection_ptr> caller_connections::reuseOrConnect(std::string node)
{
    auto &idle = m_idle[node];
    while (!idle.empty()) {
        connection_ptr reused = std::move(idle.back());
        idle.pop_back();
        if (!isClosed(reused->socket)) {
            co_return reused;
        }
    }
    auto created = std::make_unique<connection>(connection{tcp::socket(m_io, tcp::v4()), {}});
    if (!m_sourceIp.empty()) {
        created->socket.bind({asio::ip::make_address(m_sourceIp), 0});
    }
    boost::system::error_code error;
    co_await created->socket.async_connect(parseEndpoint(node), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return nullptr;
    }
    created->socket.set_option(tcp::no_delay(true), error);
    co_return created;
}

asio::awaitable<void> caller_connections::attempt(std::string node, const http_request &request, exchange_result &result)
{
    connection_ptr active = co_await reuseOrConnect(node);
    if (active == nullptr) {
        result.error = "connect";
        co_return;
    }
    result.sent = true;
    boost::system::error_code error;
    co_await http::async_write(active->socket, request, asio::redirect_error(asio::use_awaitable, error));
    http::response_parser<http::string_body> parser;
    parser.body_limit(MaxAnswerBytes);
    if (!error) {
        co_await http::async_read(active->socket, active->buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error == asio::error::operation_aborted) {
        co_return; // cancelled by the timeout in exchange(), which keeps the error "timeout"
    }
    if (error) {
        result.error = parser.got_some() ? "cut" : "closed";
        co_return;
    }
    result.error.clear();
    result.answer = parser.release();
    if (result.answer.keep_alive()) {
        m_idle[node].push_back(std::move(active));
    }
}

} // namespace dandelionstall::standins
