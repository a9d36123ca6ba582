// Tests of transport/platform_client.h and transport/gossip_socket.h, over loopback.
#include "raw_worker.h"

#include <dandelionstall/transport/gossip_socket.h>
#include <dandelionstall/transport/platform_client.h>

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <optional>
#include <string>
#include <vector>

using namespace dandelionstall;
using namespace dandelionstall::transport;
using namespace dandelionstall::transport::testing;

namespace {

// Accepts one connection, reads a request and sends the answer; with an empty answer it sends nothing and stays connected.
class one_answer_service
{
public:
    one_answer_service(asio::io_context &io, std::string answer)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_peer(io)
        , m_answer(std::move(answer))
    {
        m_acceptor.async_accept(m_peer, [this](const boost::system::error_code &error) {
            cr_assert(not(error.failed()));
            asio::async_read_until(m_peer, asio::dynamic_buffer(m_request), "\r\n\r\n", [this](const boost::system::error_code &, std::size_t) { reply(); });
        });
    }

    state::node_address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    std::string clientIp() const
    {
        return m_peer.remote_endpoint().address().to_string();
    }

    const std::string &request() const
    {
        return m_request;
    }

private:
    void reply()
    {
        if (!m_answer.empty()) {
            asio::write(m_peer, asio::buffer(m_answer));
        }
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_peer;
    std::string m_request;
    std::string m_answer;
};

absl::StatusOr<platform_answer> call(asio::io_context &io, const platform_client &client, std::chrono::milliseconds timeout)
{
    std::optional<absl::StatusOr<platform_answer>> result;
    asio::co_spawn(io, [&]() -> asio::awaitable<void> { result = co_await client.get("/v1/kv/a?raw", state::clock::now() + timeout); }, asio::detached);
    while (!result) {
        io.run_one();
    }
    return *result;
}

} // namespace

Test(platform_client, reads_value_and_index_and_binds_the_local_address)
{
    asio::io_context io;
    one_answer_service service(io, "HTTP/1.1 200 OK\r\nX-Consul-Index: 42\r\nContent-Length: 5\r\n\r\nhello");
    const auto answer = call(io, {service.address(), "127.0.0.7"}, std::chrono::seconds(10));
    cr_assert(answer.ok());
    cr_assert(answer->index == 42 && answer->body == "hello");
    cr_assert(service.clientIp() == "127.0.0.7");
    cr_assert(service.request().starts_with("GET /v1/kv/a?raw HTTP/1.1\r\n"));
}

Test(platform_client, status_other_than_200_is_an_error)
{
    asio::io_context io;
    one_answer_service service(io, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    const auto answer = call(io, {service.address(), "127.0.0.1"}, std::chrono::seconds(10));
    cr_assert(not(answer.ok()));
    cr_assert(answer.status().message().find("404") != absl::string_view::npos);
}

Test(platform_client, truncated_answer_is_an_error)
{
    asio::io_context io;
    std::optional<absl::StatusOr<platform_answer>> answer;
    {
        one_answer_service service(io, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nhel");
        answer = call(io, {service.address(), "127.0.0.1"}, std::chrono::milliseconds(100));
    }
    cr_assert(not(answer->ok()));
}

// Guards against a table that the service has broken off, and that is taken for a whole one with fewer rows: where nothing but the end of the
// connection ends the text, a part of it looks the same.
Test(platform_client, a_text_without_a_length_is_an_error)
{
    for (const char *head :
         {"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.0 200 OK\r\nX-Consul-Index: 42\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n"}) {
        asio::io_context io;
        raw_worker service(io, {.bytes = std::string(head) + "[route a]\npool = b\n", .end = connection_end::close});
        const auto answer = call(io, {service.address(), "127.0.0.1"}, std::chrono::seconds(10));
        cr_assert(not(answer.ok()), "%s", head);
    }
}

// Answers that are none in the protocol, and such as are cut in their head or chunks.
Test(platform_client, an_answer_that_is_none_is_an_error)
{
    const std::string body = "Content-Length: 5\r\n\r\nhello";
    const std::vector<std::string> answers{
        "HTTP/1.1 000 Odd\r\n" + body,
        "HTTP/1.1 099 Odd\r\n" + body,
        "HTTP/1.1 600 Odd\r\n" + body,
        "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n" + body,
        "HTTP/1.1 200 OK\r\nX Name: a\r\n" + body,
        "HTTP/1.1 200 OK\r\nX-\x01: a\r\n" + body,
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
    };
    for (const std::string &bytes : answers) {
        asio::io_context io;
        raw_worker service(io, {.bytes = bytes, .end = connection_end::close});
        const auto answer = call(io, {service.address(), "127.0.0.1"}, std::chrono::seconds(10));
        cr_assert(not(answer.ok()), "%s", bytes.c_str());
    }
}

Test(platform_client, call_to_an_unresponsive_service_ends_at_the_deadline)
{
    asio::io_context io;
    one_answer_service service(io, "");
    cr_assert(not(call(io, {service.address(), "127.0.0.1"}, std::chrono::milliseconds(100)).ok()));
}

Test(gossip_socket, carries_datagrams_both_ways)
{
    asio::io_context io;
    const asio::ip::udp::endpoint any(asio::ip::make_address("127.0.0.1"), 0);
    const std::uint16_t port = asio::ip::udp::socket(io, any).local_endpoint().port();
    const state::node_address first{"127.0.0.2", port};
    const state::node_address second{"127.0.0.3", port};
    gossip_socket one(io, first);
    gossip_socket other(io, second);
    cr_assert(one.open().ok());
    cr_assert(other.open().ok());
    cr_assert(not(gossip_socket(io, first).open().ok()));
    std::string received;
    std::string answered;
    other.receive([&](std::string_view datagram) {
        received = datagram;
        other.send(first, "pong");
    });
    one.receive([&](std::string_view datagram) { answered = datagram; });
    cr_assert(one.send(second, "ping"));
    while (answered.empty()) {
        io.run_one();
    }
    cr_assert(received == "ping");
    cr_assert(answered == "pong");
    cr_assert(not(one.send({"no address", 1}, "x")));
    one.close();
    cr_assert(not(one.send(second, "x")));
}
