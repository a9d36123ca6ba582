// HTTP/1.1 client of one worker on this VM: keep-alive connections, deadline, cancellation, streamed answers.
// Used from one thread.
//
// Usage:
//   auto call = std::make_shared<worker_call>();
//   worker_result result = co_await client.run(request, sink, call);
//   ... elsewhere: call->cancel() closes the connection, which frees the worker's slot ...
//
// Index:
//   [SECTION] Calls
//   [SECTION] Client
#pragma once

#include <dandelionstall/protocol/messages.h>
#include <dandelionstall/state/settings.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <vector>

namespace dandelionstall::transport {

// [SECTION] Calls

struct worker_request {
    std::string method;             // HTTP method
    std::string target;             // request target
    protocol::http_headers headers; // end-to-end headers
    std::string body;               // whole body
    state::time_point deadline;     // the call ends then
    std::string expectedWorker;     // id of the worker that may run it; empty when any may
};

enum class worker_call_outcome {
    answered,    // the whole answer came
    refused,     // the worker's documented refusal: not run
    unreachable, // no connection: not run
    cut,         // the answer broke off, or none came
    timed_out,   // the deadline passed
    cancelled,   // cancel() was called
};

std::string_view outcomeName(worker_call_outcome end); // "answered", ...

struct worker_result {
    worker_call_outcome outcome = worker_call_outcome::cut; // how it ended
    std::uint32_t status = 0;                               // HTTP status, when a header came
    bool answerStarted = false;                             // the sink has been given a header
    std::chrono::milliseconds retryAfter{0};                // from the worker's refusal; 0 when none
};

// Receives the answer while it arrives.
class worker_answer_sink
{
public:
    virtual ~worker_answer_sink() = default;

    virtual void onHead(std::uint32_t status, protocol::http_headers headers) = 0; // end-to-end headers
    virtual boost::asio::awaitable<void> onBody(std::string_view bytes) = 0;       // returns when there is room for more
};

class worker_call
{
public:
    void cancel(); // ends the call as cancelled; harmless when it has ended
    bool isCancelled() const;

private:
    friend class worker_client;
    std::weak_ptr<boost::beast::tcp_stream> m_stream;
    bool m_cancelled = false;
};

// [SECTION] Client

class worker_client
{
public:
    worker_client(const state::node_address &address, state::header_names names);

    boost::asio::awaitable<worker_result> run(const worker_request &request, worker_answer_sink &sink, std::shared_ptr<worker_call> call);

private:
    struct idle_connection {
        std::shared_ptr<boost::beast::tcp_stream> stream;
        state::time_point usableUntil; // closed afterwards
    };

    using stream_ptr = std::shared_ptr<boost::beast::tcp_stream>;
    struct exchange;

    stream_ptr popIdleConnection();
    boost::asio::awaitable<stream_ptr> connect(const worker_request &request, worker_call &call); // null when there is no connection
    boost::asio::awaitable<worker_result> runOn(stream_ptr stream, const worker_request &request, worker_answer_sink &sink, std::shared_ptr<worker_call> call);
    boost::asio::awaitable<boost::system::error_code> readHead(exchange &at, const worker_request &request) const;
    bool answersRequest(const exchange &at, const worker_request &request) const;
    bool passesSealCheck(const exchange &at) const;
    void keepIdleConnection(const exchange &at, const worker_call &call);

    state::node_address m_address;
    state::header_names m_names;
    std::vector<idle_connection> m_idle;
};

} // namespace dandelionstall::transport
