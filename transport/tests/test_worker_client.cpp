// Tests of transport/worker_client.h with a small worker in the same process.
#include <dandelionstall/transport/worker_client.h>

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <algorithm>
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

// Runs requests on kept connections. It sends the copy of an earlier refusal at a set moment of the second request, and answers the
// second request some time after it.
enum class copy_time {
    before_request, // while the connection is idle
    with_request,   // when the first byte of the request has arrived
    after_request,  // when the worker has the whole request and runs it
    after_answer,   // behind the answer to the second request
};

class repeating_worker
{
public:
    repeating_worker(asio::io_context &io, std::string copy, copy_time when)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_copy(std::move(copy))
        , m_when(when)
    {
        asio::co_spawn(io, serve(), asio::detached);
    }

    state::node_address address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    std::vector<std::string> runs; // ids of the requests that were run

private:
    asio::awaitable<void> serve()
    {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(co_await m_acceptor.async_accept(asio::use_awaitable));
            asio::co_spawn(m_acceptor.get_executor(), serveConnection(socket), asio::detached);
        }
    }

    asio::awaitable<void> serveConnection(std::shared_ptr<tcp::socket> socket)
    {
        constexpr auto token = asio::as_tuple(asio::use_awaitable);
        std::string text;
        for (int request = 0;; ++request) {
            const auto [firstError, firstBytes] = co_await asio::async_read(*socket, asio::dynamic_buffer(text), asio::transfer_at_least(1), token);
            if (firstError) {
                co_return;
            }
            const bool hasCopy = request == 1;
            if (hasCopy && m_when == copy_time::with_request) {
                co_await asio::async_write(*socket, asio::buffer(m_copy), token);
            }
            const auto [error, bytes] = co_await asio::async_read_until(*socket, asio::dynamic_buffer(text), "\r\n\r\n", token);
            if (error) {
                co_return;
            }
            const std::size_t at = text.find("Request-Id: ") + 12;
            const std::string id = text.substr(at, text.find("\r\n", at) - at);
            text.clear();
            runs.push_back(id);
            if (hasCopy && m_when == copy_time::after_request) {
                co_await asio::async_write(*socket, asio::buffer(m_copy), token);
            }
            asio::steady_timer work(m_acceptor.get_executor(), std::chrono::milliseconds(20));
            co_await work.async_wait(token);
            std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok";
            if ((request == 0 && m_when == copy_time::before_request) || (hasCopy && m_when == copy_time::after_answer)) {
                co_await asio::async_write(*socket, asio::buffer(answer), token);
                asio::steady_timer pause(m_acceptor.get_executor(), std::chrono::milliseconds(5));
                co_await pause.async_wait(token);
                answer = m_copy;
            }
            co_await asio::async_write(*socket, asio::buffer(answer), token);
        }
    }

    tcp::acceptor m_acceptor;
    std::string m_copy;
    copy_time m_when;
};

class counting_sink : public discarding_sink
{
public:
    void onSignals(const protocol::worker_signals &, bool) override
    {
        ++signals;
    }
    void onHead(std::uint32_t, protocol::http_headers) override
    {
        ++heads;
    }

    int signals = 0;
    int heads = 0;
};

state::header_names namesWithIds()
{
    state::header_names names;
    names.requestId = "Request-Id";
    names.notRun = "Not-Run";
    names.expectedWorker = "Expected";
    names.leaving = "Leaving";
    return names;
}

// How a worker ends an answer.
enum class answer_stop {
    close,  // it closes the connection
    reset,  // it resets the connection
    silent, // it sends nothing more
};

// Sends the bytes in answer to one request, and stops.
class stopping_worker
{
public:
    stopping_worker(asio::io_context &io, std::string bytes, answer_stop stop)
        : m_acceptor(io, {asio::ip::make_address("127.0.0.1"), 0})
        , m_bytes(std::move(bytes))
        , m_stop(stop)
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
        constexpr auto token = asio::as_tuple(asio::use_awaitable);
        tcp::socket socket = co_await m_acceptor.async_accept(asio::use_awaitable);
        std::string text;
        co_await asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", token);
        co_await asio::async_write(socket, asio::buffer(m_bytes), token);
        if (m_stop == answer_stop::silent) {
            co_await asio::async_read(socket, asio::dynamic_buffer(text), token);
        } else if (m_stop == answer_stop::reset) {
            asio::steady_timer pause(m_acceptor.get_executor(), std::chrono::milliseconds(5)); // what was sent arrives before the reset
            co_await pause.async_wait(token);
            socket.set_option(asio::socket_base::linger(true, 0));
        }
        boost::system::error_code ignored;
        socket.close(ignored);
    }

    tcp::acceptor m_acceptor;
    std::string m_bytes;
    answer_stop m_stop;
};

class collecting_sink : public counting_sink
{
public:
    asio::awaitable<void> onBody(std::string_view bytes) override
    {
        body += bytes;
        co_return;
    }

    std::string body;
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

struct outcome_of_two {
    worker_call_outcome first = worker_call_outcome::cut;
    worker_call_outcome second = worker_call_outcome::cut;
    counting_sink sink; // of the second
};

asio::awaitable<void> runTwo(worker_client &client, outcome_of_two &outcome)
{
    discarding_sink ignored;
    worker_request request = makeLookup();
    request.headers.push_back({"Request-Id", "one"});
    outcome.first = (co_await client.run(request, ignored, std::make_shared<worker_call>())).outcome;
    asio::steady_timer pause(co_await asio::this_coro::executor, std::chrono::milliseconds(20)); // a copy on the idle connection has arrived then
    co_await pause.async_wait(asio::use_awaitable);
    request.headers.back().value = "two";
    outcome.second = (co_await client.run(request, outcome.sink, std::make_shared<worker_call>())).outcome;
}

asio::awaitable<void> runOne(worker_client &client, worker_answer_sink &sink, state::time_point deadline, worker_call_outcome &outcome)
{
    worker_request request = makeLookup();
    request.headers.push_back({"Request-Id", "one"});
    request.deadline = deadline;
    outcome = (co_await client.run(request, sink, std::make_shared<worker_call>())).outcome;
}

} // namespace

// Guards against a refusal that a worker writes once more on a kept connection, and that is taken for the answer to a request which it
// runs: the caller would be told that the request has not run.
Test(worker_client, a_repeated_refusal_is_no_proof_that_another_request_has_not_run)
{
    const std::string tail = "Content-Length: 0\r\n\r\n";
    const std::vector<std::string> copies{
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: zero\r\n" + tail,
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nRequest-Id: one\r\n" + tail,
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + tail,
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nLeaving: 1\r\n" + tail,
        "HTTP/1.1 421 Misdirected\r\n" + tail,
        "HTTP/1.1 429 Slow\r\nNot-Run: 1\r\nRequest-Id: \r\n" + tail,
        "HTTP/1.1 102 Processing\r\nNot-Run: 1\r\n\r\n",
        "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n\r\n", // without a length: it ends with the connection
    };
    for (const std::string &copy : copies) {
        for (const copy_time when : {copy_time::before_request, copy_time::with_request, copy_time::after_request, copy_time::after_answer}) {
            asio::io_context io(1);
            repeating_worker worker(io, copy, when);
            worker_client client(worker.address(), namesWithIds());
            outcome_of_two outcome;
            asio::co_spawn(io, runTwo(client, outcome), asio::detached);
            io.run_for(std::chrono::milliseconds(400));
            const bool hasRun = std::count(worker.runs.begin(), worker.runs.end(), "two") == 1;
            cr_assert(outcome.first == worker_call_outcome::answered);
            cr_assert(hasRun, "the second request runs once; %s", copy.c_str());
            cr_assert(outcome.second == worker_call_outcome::answered || outcome.second == worker_call_outcome::cut,
                      "a request that runs ends as %s; copy %d: %s",
                      std::string(outcomeName(outcome.second)).c_str(),
                      static_cast<int>(when),
                      copy.c_str());
            const int whole = outcome.second == worker_call_outcome::answered ? 1 : 0;
            cr_assert(outcome.sink.heads == whole && outcome.sink.signals == whole, "what the copy states is not taken for the worker's word");
        }
    }
}

// The refusal of the request itself is a proof, on a new and on a kept connection, with its id, and without one on a new connection.
Test(worker_client, a_refusal_of_the_request_itself_is_a_proof)
{
    for (const bool echoes : {true, false}) {
        asio::io_context io(1);
        const std::string id = echoes ? "Request-Id: one\r\n" : "";
        scripted_worker worker(io, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\n" + id + "Content-Length: 0\r\n\r\n");
        worker_client client(worker.address(), namesWithIds());
        outcome_of_two outcome;
        asio::co_spawn(io, runTwo(client, outcome), asio::detached);
        io.run_for(std::chrono::milliseconds(300));
        cr_assert(outcome.first == worker_call_outcome::refused);
    }
}

// Guards against an answer that stops in the middle of its head, and reaches the caller as a whole one with an empty or short body.
Test(worker_client, an_answer_that_stops_in_its_head_is_no_answer)
{
    state::header_names names = namesWithIds();
    names.seal = "Seal";
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nSeal: x\r\nContent-Length: 10\r\n\r\n";
    for (const answer_stop stop : {answer_stop::close, answer_stop::reset, answer_stop::silent}) {
        for (std::size_t length = 0; length <= head.size(); length += stop == answer_stop::close ? 1 : 7) {
            asio::io_context io(1);
            stopping_worker worker(io, head.substr(0, length), stop);
            worker_client client(worker.address(), names);
            collecting_sink sink;
            worker_call_outcome outcome = worker_call_outcome::answered;
            asio::co_spawn(io, runOne(client, sink, state::clock::now() + std::chrono::milliseconds(100), outcome), asio::detached);
            io.run_for(std::chrono::milliseconds(250));
            const worker_call_outcome expected = stop == answer_stop::silent ? worker_call_outcome::timed_out : worker_call_outcome::cut;
            cr_assert(outcome == expected, "%zu bytes of the head: %s", length, std::string(outcomeName(outcome)).c_str());
            cr_assert(sink.heads == (length == head.size() ? 1 : 0), "%zu bytes of the head", length);
        }
    }
}

// An answer without a length is whole only when the worker ends the connection cleanly.
Test(worker_client, an_answer_without_a_length_is_whole_after_a_clean_end_only)
{
    state::header_names names = namesWithIds();
    names.seal = "Seal";
    for (const answer_stop stop : {answer_stop::close, answer_stop::reset, answer_stop::silent}) {
        asio::io_context io(1);
        stopping_worker worker(io, "HTTP/1.1 200 OK\r\nRequest-Id: one\r\nSeal: x\r\n\r\nhalf", stop);
        worker_client client(worker.address(), names);
        collecting_sink sink;
        worker_call_outcome outcome = worker_call_outcome::refused;
        asio::co_spawn(io, runOne(client, sink, state::clock::now() + std::chrono::milliseconds(200), outcome), asio::detached);
        io.run_for(std::chrono::milliseconds(400));
        const bool isWhole = stop == answer_stop::close;
        const bool endsAsWhole = outcome == worker_call_outcome::answered;
        cr_assert(endsAsWhole == isWhole, "%s", std::string(outcomeName(outcome)).c_str());
        if (isWhole) {
            cr_assert(sink.body == "half");
        }
    }
}

// Without an echoed id, an answer on a kept connection would prove nothing: each request gets a connection of its own.
Test(worker_client, keeps_no_connection_to_a_worker_that_does_not_echo_ids)
{
    asio::io_context io(1);
    scripted_worker worker(io, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    worker_client client(worker.address(), namesWithIds());
    outcome_of_two outcome;
    asio::co_spawn(io, runTwo(client, outcome), asio::detached);
    io.run_for(std::chrono::milliseconds(300));
    cr_assert(outcome.first == worker_call_outcome::answered && outcome.second == worker_call_outcome::answered);
}

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
