// Connection of one caller: reads HTTP/1.1 requests and writes answers and refusals.
// Used only on the thread of the ingress that accepted it.
//
// Index:
//   [SECTION] Requests
//   [SECTION] Answers
#pragma once

#include <dandelionstall/coordination/admission/memory_budget.h>
#include <dandelionstall/protocol/caller_http.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace dandelionstall {

// [SECTION] Requests

struct caller_request {
    std::string method;                // HTTP method, as sent by the caller
    std::string target;                // request target of the request line: origin form or absolute form
    std::string host;                  // authority of the target, else the Host header; lower case, without the port
    protocol::http_headers headers;    // end-to-end headers, without the hop-by-hop ones
    std::string body;                  // complete body, with any chunked coding removed
    coordination::memory_grant memory; // for the body
    state::time_point arrivedAt;       // time at which the header was complete
    bool keepAlive = true;             // the caller keeps the connection open after the answer
    bool chunkedAllowed = true;        // the caller speaks HTTP/1.1 or later and accepts chunked answers
};

struct read_limits {
    std::size_t maxHeaderBytes = 0;             // maximum size of the header of one request
    std::size_t maxBodyBytes = 0;               // maximum size of the body of one request
    std::chrono::milliseconds idleTimeout{0};   // maximum wait for the first byte of a request, and for more of a body
    std::chrono::milliseconds headerTimeout{0}; // maximum time from the first byte until the header is complete
    std::string_view timeLeftHeader;            // header in which the caller states how long it waits: the body is complete by then
    bool retryAfterFractions = false;           // Retry-After is sent with fractions of a second
};

enum class read_result {
    request,      // a complete request was read
    disconnected, // the connection was closed or failed, or idleTimeout expired
    malformed,    // the request is not valid HTTP, or is ambiguous
    too_large,    // the body is larger than maxBodyBytes
    no_memory,    // the node has no memory for the body
    stopping,     // cancelBodyRead() was called before the body was complete
    timed_out,    // the header was not complete within headerTimeout, the body stopped for idleTimeout, or its time was up
};

// [SECTION] Answers

class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    caller_connection(boost::beast::tcp_stream stream, coordination::memory_budget &memory);

    boost::asio::awaitable<read_result> read(const read_limits &limits, caller_request &request); // reads the next request
    void watchForClose(std::function<void()> onClose); // calls back once if the caller closes the connection before stopWatching()
    void stopWatching();                               // ends watchForClose(); required before the next read()

    // The send functions return false when the connection has failed. sendRefusal() and sendAnswer() send complete answers.
    boost::asio::awaitable<bool> sendRefusal(const protocol::caller_refusal &refusal);
    boost::asio::awaitable<bool> sendAnswer(std::uint32_t status, const protocol::http_headers &headers, std::string body);
    boost::asio::awaitable<bool> sendHead(std::uint32_t status, const protocol::http_headers &headers); // starts a streamed answer
    boost::asio::awaitable<bool> sendChunk(std::string_view bytes);                                     // sends a part of a streamed answer
    boost::asio::awaitable<bool> sendLastChunk(std::string_view bytes);                                 // sends the last part and completes the streamed answer

    bool hasAnswerStarted() const; // true once sending of the current answer has begun
    void closeAfterAnswer();       // closes the connection after the current answer
    bool closesAfterAnswer() const;
    void shutdown();                           // closes the sending side of the connection
    boost::asio::awaitable<void> drainInput(); // after shutdown(): discards input still arriving, so that the caller can read the answer
    void abort();                              // resets the connection, so that the caller sees a truncated answer
    void cancelIdleRead();                     // cancels a read() that has not received a byte yet
    void cancelBodyRead();                     // ends a read() whose body is still arriving
    bool isIdle() const;                       // true while read() waits for the first byte of a request

private:
    struct streamed_answer;
    struct request_parser;

    boost::asio::awaitable<read_result> readBody(request_parser &parser, const read_limits &limits, caller_request &request);

    bool m_headRequest = false;
    bool m_retryAfterFractions = false;
    bool m_answerStarted = false;
    bool m_closesAfterAnswer = false;
    bool m_idle = false;
    bool m_readingBody = false;
    bool m_bodyReadCancelled = false;
    boost::beast::tcp_stream m_stream;
    coordination::memory_budget &m_memory;
    boost::beast::flat_buffer m_buffer;
    boost::asio::cancellation_signal m_watchSignal;
    std::shared_ptr<bool> m_watching; // set to false by stopWatching(), so that a pending callback does nothing
    std::shared_ptr<streamed_answer> m_streamedAnswer;
};

} // namespace dandelionstall
