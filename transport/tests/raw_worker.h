// A worker in the test's own process that sends the bytes of a scripted answer, proper or not, and ends the connection in a chosen way.
// Each connection carries one request. The counts may be read from other threads.
//
// Usage:
//   asio::io_context io(1);
//   raw_worker worker(io, {.bytes = "HTTP/1.1 200 OK\r\n\r\nhalf", .end = connection_end::reset, .pause = std::chrono::milliseconds(5)});
//   worker_client client(worker.address(), names);
#pragma once

#include <dandelionstall/state/types.h>

#include <boost/asio.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace dandelionstall::transport::testing {

namespace asio = boost::asio;
using asio::ip::tcp;

// What a worker does with the connection once it has sent its answer.
enum class connection_end {
    reset,             // it resets the connection
    close,             // it closes the connection; its kernel resets it when bytes of the request are unread
    finish_then_close, // it ends its own side, and closes the connection after the pause
    finish_and_read,   // it ends its own side, and reads the rest of the request after the pause
    stay,              // it does nothing more
    finish_and_stay,   // it ends its own side, and does nothing more
};

struct scripted_answer {
    std::string bytes;                         // sent once the head of a request has arrived
    connection_end end = connection_end::stay; // after the bytes
    std::chrono::milliseconds pause = {};      // between the bytes and the close, the reset or the reading
    std::size_t requestBytes = 0;              // of the body of the request that it reads before it answers
    std::string repeated = {};                 // sent again and again after `bytes`, until the client closes; empty for none
};

using answer_script = std::function<scripted_answer(std::string_view requestHead)>;

class raw_worker
{
public:
    raw_worker(asio::io_context &io, scripted_answer answer)
        : raw_worker(io, {"127.0.0.1", 0}, [answer = std::move(answer)](std::string_view) { return answer; })
    { }

    raw_worker(asio::io_context &io, const state::node_address &listen, answer_script script)
        : m_acceptor(io, {asio::ip::make_address(listen.ip), listen.port})
        , m_script(std::move(script))
    {
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
        asio::co_spawn(io, serve(), asio::detached);
    }

    state::node_address address() const
    {
        const tcp::endpoint endpoint = m_acceptor.local_endpoint();
        return {endpoint.address().to_string(), endpoint.port()};
    }

    std::atomic<std::size_t> requests{0};  // requests whose head has arrived
    std::atomic<std::size_t> sentBytes{0}; // of all answers

private:
    static constexpr int ReceiveBufferBytes = 65'536; // of each connection; by itself, the kernel may take in a whole upload that nobody reads
    static constexpr auto Token = asio::as_tuple(asio::use_awaitable);

    asio::awaitable<void> serve()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(asio::use_awaitable));
            asio::co_spawn(m_acceptor.get_executor(), serveConnection(socket), asio::detached);
        }
    }

    asio::awaitable<void> serveConnection(std::shared_ptr<tcp::socket> socket)
    {
        std::string text;
        const auto [error, headBytes] = co_await asio::async_read_until(*socket, asio::dynamic_buffer(text), "\r\n\r\n", Token);
        if (error) {
            co_return;
        }
        ++requests;
        const scripted_answer answer = m_script(std::string_view(text).substr(0, headBytes));
        const std::size_t bodyBytes = text.size() - headBytes;
        if (bodyBytes < answer.requestBytes) {
            co_await asio::async_read(*socket, asio::dynamic_buffer(text), asio::transfer_exactly(answer.requestBytes - bodyBytes), Token);
        }
        bool isOpen = co_await send(*socket, answer.bytes);
        while (isOpen && !answer.repeated.empty()) {
            isOpen = co_await send(*socket, answer.repeated);
        }
        co_await endConnection(*socket, answer);
    }

    asio::awaitable<bool> send(tcp::socket &socket, const std::string &bytes)
    {
        const auto [error, sent] = co_await asio::async_write(socket, asio::buffer(bytes), Token);
        sentBytes += sent;
        co_return !error;
    }

    asio::awaitable<void> endConnection(tcp::socket &socket, const scripted_answer &answer)
    {
        boost::system::error_code ignored;
        const connection_end end = answer.end;
        if (end == connection_end::finish_then_close || end == connection_end::finish_and_read || end == connection_end::finish_and_stay) {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        const bool stays = end == connection_end::stay || end == connection_end::finish_and_stay;
        asio::steady_timer pause(m_acceptor.get_executor(), stays ? std::chrono::hours(1) : answer.pause);
        co_await pause.async_wait(Token);
        if (end == connection_end::finish_and_read) {
            co_await readToEnd(socket);
        }
        if (end == connection_end::reset) {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        socket.close(ignored);
    }

    asio::awaitable<void> readToEnd(tcp::socket &socket)
    {
        std::string discarded(65'536, ' ');
        bool isOpen = true;
        while (isOpen) {
            const auto [error, bytes] = co_await socket.async_read_some(asio::buffer(discarded), Token);
            isOpen = !error;
        }
    }

    tcp::acceptor m_acceptor;
    answer_script m_script;
};

} // namespace dandelionstall::transport::testing
