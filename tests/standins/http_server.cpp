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

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <sstream>
#include <stdexcept>

namespace dandelionstall::standins {

namespace {

constexpr std::uint64_t MaxBodyBytes = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds PipelinedPollInterval{20};
constexpr std::size_t EndlessBlockBytes = 16'384;
constexpr std::chrono::microseconds EndlessPause{300};

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

std::optional<endless_part> parseEndlessPart(std::string_view name)
{
    constexpr std::array Names{std::pair{endless_part::head, "head"},
                               std::pair{endless_part::head_lines, "head_lines"},
                               std::pair{endless_part::chunk_head, "chunk_head"},
                               std::pair{endless_part::trailer, "trailer"},
                               std::pair{endless_part::interim, "interim"},
                               std::pair{endless_part::late_answer, "late_answer"},
                               std::pair{endless_part::body, "body"}};
    const auto found = std::find_if(Names.begin(), Names.end(), [&](const auto &entry) { return entry.second == name; });
    return found == Names.end() ? std::nullopt : std::optional(found->first);
}

std::string headTextOf(const http_response &message, bool chunked)
{
    http::response<http::empty_body> head(message.base());
    head.erase(http::field::content_length);
    head.chunked(chunked);
    std::ostringstream text;
    text << head.base();
    return text.str();
}

std::string repeatText(const std::string &text)
{
    std::string block;
    while (block.size() < EndlessBlockBytes) {
        block += text;
    }
    return block;
}

// The bytes before the part that never ends, and the ones that are then sent again and again.
std::pair<std::string, std::string> endlessTexts(const http_reply &reply)
{
    const std::string filler(EndlessBlockBytes, 'a');
    const std::string lines = repeatText("X-Filler: " + filler.substr(0, 100) + "\r\n");
    switch (reply.part) {
    case endless_part::head:
        return {"HTTP/1.1 200 OK\r\nX-Filler: ", filler};
    case endless_part::head_lines:
        return {"HTTP/1.1 200 OK\r\n", lines};
    case endless_part::chunk_head:
        return {headTextOf(reply.message, true) + "1;", filler};
    case endless_part::trailer:
        return {headTextOf(reply.message, true) + "1\r\na\r\n0\r\n", lines};
    case endless_part::interim:
        return {"", repeatText("HTTP/1.1 102 Processing\r\n\r\n")};
    case endless_part::late_answer: {
        http_response late = reply.message;
        late.set(reply.echoHeader, "another-request");
        return {headTextOf(late, true), "4000\r\n" + filler + "\r\n"};
    }
    case endless_part::body:
        return {headTextOf(reply.message, true), "4000\r\n" + filler + "\r\n"};
    }
    return {};
}

// Prints "endless <bytes sent>" for tests when the peer has closed the connection.
asio::awaitable<void> sendEndless(tcp::socket &peer, const http_reply &reply)
{
    const auto [first, repeated] = endlessTexts(reply);
    boost::system::error_code error;
    std::size_t sent = co_await asio::async_write(peer, asio::buffer(first), asio::redirect_error(asio::use_awaitable, error));
    while (!error) {
        sent += co_await asio::async_write(peer, asio::buffer(repeated), asio::redirect_error(asio::use_awaitable, error));
        co_await pauseFor(EndlessPause); // some 50 MB a second, so that a node without limits does not take the machine's memory
    }
    fmt::print("endless - {} {}\n", sent, std::chrono::duration_cast<std::chrono::microseconds>(state::clock::now().time_since_epoch()).count());
    std::fflush(stdout);
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
    case delivery::endless:
        co_await sendEndless(peer, reply);
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

void makeEndless(http_reply &reply, std::string_view name, const std::string &echoHeader)
{
    const bool isError = name == "error_body";
    reply.how = delivery::endless;
    reply.part = isError ? endless_part::body : parseEndlessPart(name).value_or(endless_part::head);
    reply.echoHeader = echoHeader;
    if (isError) {
        reply.message.result(http::status::internal_server_error);
    }
}

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
