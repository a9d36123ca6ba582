#include "http_server.h"

#include <dandelionstall/state/types.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <fmt/format.h>

#include <charconv>
#include <csignal>
#include <cstdio>
#include <stdexcept>

namespace dandelionstall::standins {

namespace {

constexpr std::uint64_t MaxBodyBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds PipelinedPollInterval{20};

void resetConnection(tcp::socket &peer)
{
    boost::system::error_code ignored;
    peer.set_option(asio::socket_base::linger(true, 0), ignored);
    peer.close(ignored);
}

asio::awaitable<void> sendTruncated(tcp::socket &peer, http_response &message)
{
    const std::size_t kept = message.body().size() / 2;
    http::response_serializer<http::string_body> serializer(message);
    boost::system::error_code error;
    co_await http::async_write_header(peer, serializer, asio::redirect_error(asio::use_awaitable, error));
    const auto half = asio::buffer(message.body().data(), kept);
    co_await asio::async_write(peer, half, asio::redirect_error(asio::use_awaitable, error));
    peer.close(error);
}

// Returns true when the connection stays open.
asio::awaitable<bool> sendReply(tcp::socket &peer, http_reply &reply)
{
    boost::system::error_code error;
    switch (reply.how) {
    case delivery::reset:
        resetConnection(peer);
        co_return false;
    case delivery::dropped:
        peer.close(error);
        co_return false;
    case delivery::truncated:
        co_await sendTruncated(peer, reply.message);
        co_return false;
    case delivery::whole:
        break;
    }
    co_await http::async_write(peer, reply.message, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && reply.message.keep_alive();
}

asio::awaitable<void> serveConnection(tcp::socket peer, http_service &service)
{
    boost::system::error_code error;
    boost::beast::flat_buffer buffer;
    peer.set_option(tcp::no_delay(true), error);
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(MaxBodyBytes);
        co_await http::async_read(peer, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const http_request request = parser.release();
        http_reply reply = co_await service.answer(request, peer);
        reply.message.version(request.version());
        reply.message.keep_alive(request.keep_alive());
        reply.message.prepare_payload();
        const bool open = co_await sendReply(peer, reply);
        if (!open) {
            co_return;
        }
    }
}

} // namespace

http_reply makeReply(http::status status, std::string body, std::string_view contentType)
{
    http_reply reply;
    reply.message.result(status);
    reply.message.set(http::field::content_type, contentType);
    reply.message.body() = std::move(body);
    return reply;
}

http_reply makeDropped()
{
    http_reply reply;
    reply.how = delivery::dropped;
    return reply;
}

std::string headerOf(const http_request &request, std::string_view name)
{
    return std::string(request[name]);
}

std::uint64_t headerNumber(const http_request &request, std::string_view name, std::uint64_t defaultValue)
{
    const auto text = request[name];
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc{} && end == text.data() + text.size() ? value : defaultValue;
}

asio::awaitable<void> awaitPeerClosed(tcp::socket &peer)
{
    for (;;) {
        boost::system::error_code error;
        co_await peer.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        char byte = 0;
        peer.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (error) {
            co_return;
        }
        co_await pauseFor(PipelinedPollInterval); // a pipelined request is readable, so wait_read would return at once
    }
}

asio::awaitable<void> pauseFor(std::chrono::microseconds span)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, span);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

tcp::endpoint parseEndpoint(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument(fmt::format("address must be ip:port, got '{}'", address));
    }
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

tcp::acceptor listenOn(asio::io_context &io, const std::string &address)
{
    return {io, parseEndpoint(address)};
}

asio::awaitable<void> serveHttp(tcp::acceptor acceptor, http_service &service)
{
    const auto executor = co_await asio::this_coro::executor;
    for (;;) {
        boost::system::error_code error;
        tcp::socket peer = co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        asio::co_spawn(executor, serveConnection(std::move(peer), service), asio::detached);
    }
}

int runHttpProgram(asio::io_context &io, tcp::acceptor acceptor, http_service &service)
{
    asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const boost::system::error_code &, int) { io.stop(); });
    const unsigned port = acceptor.local_endpoint().port();
    asio::co_spawn(io, serveHttp(std::move(acceptor), service), asio::detached);
    fmt::print("port={}\n", port);
    std::fflush(stdout);
    io.run();
    return 0;
}

} // namespace dandelionstall::standins
