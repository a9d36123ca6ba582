// HTTP/1.1 client of one worker on this VM, with keep-alive connections, deadlines, cancellation and streamed answers.
// What is not the body of a success is limited in size, so that a worker that sends bytes without end costs little; interim answers
// (status 1xx) are skipped. Only the body of a success may be of any length, until the deadline.
// An answer that the worker breaks off, or that is none in the protocol, ends the call as cut, see answer_fault. One without a length is whole
// when the worker has ended the connection cleanly: a reset while the request is being written breaks it off.
// An answer is taken for that of a request when it echoes the id of the request. One without an id is, too, on a connection that has
// carried no other request; on others it may be a late or repeated answer, so that nothing is known of the request.
// It may be used from one thread only.
//
// Usage:
//   auto call = std::make_shared<worker_call>();
//   worker_result result = co_await client.run(request, sink, call);
//   call->cancel();   // from another coroutine: closes the connection, which frees the worker's slot
//
// Index:
//   [SECTION] Calls
//   [SECTION] Client
#pragma once

#include <dandelionstall/protocol/messages.h>
#include <dandelionstall/protocol/worker_signals.h>
#include <dandelionstall/state/settings.h>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <limits>
#include <memory>
#include <vector>

namespace dandelionstall::transport {

// [SECTION] Calls

struct worker_request {
    std::string method;                                                   // HTTP method, e.g. "GET"
    std::string target;                                                   // path and query of the request line
    protocol::http_headers headers;                                       // end-to-end headers only
    std::string body;                                                     // whole body; may be empty
    state::time_point deadline;                                           // time at which the call ends as timed_out
    std::string expectedWorker;                                           // id of the only worker that may run the request; empty when any may
    std::size_t maxAnswerBytes = std::numeric_limits<std::size_t>::max(); // longest body of the answer; a longer one is cut
};

enum class worker_call_outcome {
    answered,    // the whole answer was received
    refused,     // the worker sent its documented refusal; it did not run the request
    unreachable, // no connection could be made; the worker did not run the request
    cut,         // the answer was truncated or failed the seal check, or none was received
    timed_out,   // the deadline passed before the end of the answer
    cancelled,   // cancel() was called
};

std::string_view outcomeName(worker_call_outcome outcome); // name of the enumerator, e.g. "answered"

// What was wrong with an answer, of a call that ended as cut.
enum class answer_fault {
    none,       // nothing, or the call ended otherwise
    broken_off, // the connection ended, or was reset, before the end of the answer
    malformed,  // a head, a chunk or a trailer that is none in the protocol
    bad_status, // a status that no answer may have
    bad_coding, // a transfer coding other than chunks
    too_long,   // a part of the answer that is longer than its limit
    misplaced,  // answers to other requests in its place, or too many interim ones before it
    unproven,   // no seal, or neither a seal nor a length, or a content coding; see state::header_names::seal
};

std::string_view faultName(answer_fault fault); // name of the enumerator, e.g. "broken_off"

struct worker_result {
    worker_call_outcome outcome = worker_call_outcome::cut; // how the call ended
    answer_fault fault = answer_fault::none;                // why it ended as cut
    std::uint32_t status = 0;                               // HTTP status; 0 when no answer header was received
    bool answerStarted = false;                             // onHead() of the sink was called
    state::time_point sentAt;                               // when the request was written to the worker; epoch when it was not
    std::chrono::milliseconds handed{0};                    // time left that the request stated to the worker
    std::chrono::milliseconds retryAfter{0};                // Retry-After of the worker's refusal; 0 when absent
};

// Receives the parts of an answer as they arrive.
class worker_answer_sink
{
public:
    virtual ~worker_answer_sink() = default;

    virtual void onSignals(const protocol::worker_signals &, bool) // called before onHead(), and for a refusal, which isRefusal tells
    { }
    virtual void onHead(std::uint32_t status, protocol::http_headers headers) = 0; // called once, with the end-to-end headers
    virtual boost::asio::awaitable<void> onBody(std::string_view bytes) = 0;       // returns when the sink can accept more bytes
};

class worker_call
{
public:
    void cancel(); // ends the call as cancelled by closing its connection; may be called after the end
    bool isCancelled() const;

private:
    friend class worker_client;
    std::weak_ptr<boost::beast::tcp_stream> m_stream;
    bool m_cancelled = false;
};

// [SECTION] Client

// Which request an answer belongs to.
enum class answer_origin {
    this_request,
    another_request, // it echoes another id
    unknown,         // it echoes none, and the connection has carried other requests
};

class worker_client
{
public:
    worker_client(const state::node_address &address, state::header_names names);

    boost::asio::awaitable<worker_result> run(worker_request request, worker_answer_sink &sink, std::shared_ptr<worker_call> call);

private:
    struct idle_connection {
        std::shared_ptr<boost::beast::tcp_stream> stream;
        state::time_point usableUntil; // the connection is not reused after this time
    };

    using stream_ptr = std::shared_ptr<boost::beast::tcp_stream>;
    struct exchange;

    stream_ptr popIdleConnection();                                                               // null when there is none
    boost::asio::awaitable<stream_ptr> connect(const worker_request &request, worker_call &call); // null when the connection cannot be made
    boost::asio::awaitable<worker_result>
    runOn(stream_ptr stream, bool reused, worker_request &request, worker_answer_sink &sink, std::shared_ptr<worker_call> call);
    worker_result endWithError(const exchange &current, worker_result result, const boost::system::error_code &error, const worker_call &call) const;
    boost::asio::awaitable<boost::system::error_code> readHead(exchange &current, const worker_request &request) const;
    boost::asio::awaitable<boost::system::error_code> dropBody(exchange &current) const;
    boost::asio::awaitable<boost::system::error_code> readBody(exchange &current, worker_answer_sink &sink, std::size_t maxBytes) const;
    answer_origin originOf(const exchange &current, const worker_request &request) const;
    bool passesSealCheck(const exchange &current) const;
    void keepIdleConnection(const exchange &current, const worker_request &request, const worker_call &call);

    state::node_address m_address;
    state::header_names m_names;
    std::vector<idle_connection> m_idle;
};

} // namespace dandelionstall::transport
