// Tests of transport/worker_client.h with a small worker in the same process.
#include <dandelionstall/transport/worker_client.h>

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <string>

using namespace dandelionstall;
using namespace dandelionstall::transport;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

class discarding_sink : public worker_answer_sink
{
public:
    void onHead(std::uint32_t, protocol::http_headers) override
    { }
    asio::awaitable<void> onBody(std::string_view) override
    {
        co_return;
    }
};

// Answers the first request of each connection and resets the connection when the second one arrives.
class resetting_worker
{
public:
    explicit resetting_worker(asio::io_context &io)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
    {
        asio::co_spawn(io, serve(), asio::detached);
    }

    state::node_address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    int requests = 0;    // requests received on all connections
    int connections = 0; // connections accepted

private:
    asio::awaitable<void> serve()
    {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            ++connections;
            std::string text;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", asio::use_awaitable);
            ++requests;
            const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
            co_await asio::async_write(socket, asio::buffer(answer), asio::use_awaitable);
            text.clear();
            co_await asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", asio::use_awaitable);
            ++requests;
            socket.set_option(asio::socket_base::linger(true, 0));
        }
    }

    tcp::acceptor m_acceptor;
};

// Sends the same bytes in answer to each request.
class scripted_worker
{
public:
    scripted_worker(asio::io_context &io, std::string answer)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_answer(std::move(answer))
    {
        asio::co_spawn(io, serve(), asio::detached);
    }

    state::node_address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    asio::awaitable<void> serve()
    {
        while (true) {
            tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
            std::string text;
            co_await asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(m_answer), asio::use_awaitable);
        }
    }

    tcp::acceptor m_acceptor;
    std::string m_answer;
};

worker_request makeLookup()
{
    worker_request request;
    request.method = "GET";
    request.target = "/lookup";
    request.headers = {{"Host", "service.example"}};
    request.deadline = state::clock::now() + std::chrono::seconds(5);
    return request;
}

asio::awaitable<void> runThree(worker_client &client, std::vector<worker_call_outcome> &outcomes)
{
    for (int i = 0; i < 3; ++i) {
        discarding_sink sink;
        const worker_result result = co_await client.run(makeLookup(), sink, std::make_shared<worker_call>());
        outcomes.push_back(result.outcome);
    }
}

} // namespace

// Retries count against a budget that all nodes share, so the client itself must not retry. A connection that breaks on reuse
// ends the call as cut; the next call opens a new connection.
Test(worker_client, sends_a_request_once_when_an_idle_connection_breaks)
{
    asio::io_context io(1);
    resetting_worker worker(io);
    worker_client client(worker.address(), {});
    std::vector<worker_call_outcome> outcomes;
    asio::co_spawn(io, runThree(client, outcomes), asio::detached);
    io.run_for(std::chrono::seconds(1)); // bounded, as the worker never stops accepting
    const std::vector<worker_call_outcome> expected{worker_call_outcome::answered, worker_call_outcome::cut, worker_call_outcome::answered};
    cr_assert(outcomes == expected);
    cr_assert_eq(worker.requests, 3);
    cr_assert_eq(worker.connections, 2, "the broken connection is not reused");
}

Test(worker_client, interim_answers_are_skipped_as_far_as_a_limit)
{
    const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const bool many : {false, true}) {
        asio::io_context io(1);
        std::string interim;
        for (int i = 0; i < (many ? 100 : 2); ++i) {
            interim += "HTTP/1.1 102 Processing\r\n\r\n";
        }
        scripted_worker worker(io, interim + final);
        worker_client client(worker.address(), {});
        std::vector<worker_call_outcome> outcomes;
        asio::co_spawn(io, runThree(client, outcomes), asio::detached);
        io.run_for(std::chrono::seconds(1));
        const worker_call_outcome expected = many ? worker_call_outcome::cut : worker_call_outcome::answered;
        cr_assert(outcomes == std::vector<worker_call_outcome>(3, expected), "many: %d", many);
    }
}
