// One connection of a caller: reads HTTP/1.1 requests, writes answers and refusals. Used from the ingress' thread.
//
// Index:
//   [SECTION] Requests
//   [SECTION] Answers
#pragma once

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
    std::string method;             // HTTP method
    std::string target;             // request target
    std::string host;               // lower case, without port
    protocol::http_headers headers; // end-to-end headers
    std::string body;               // whole body
    state::time_point arrivedAt;    // header complete
    bool keepAlive = true;          // the caller wants to go on
    bool chunkedAllowed = true;     // HTTP/1.1 or later
};

struct read_limits {
    std::size_t maxHeaderBytes = 0;             // of one request
    std::size_t maxBodyBytes = 0;               // of one request
    std::chrono::milliseconds idleTimeout{0};   // until the first byte of a request
    std::chrono::milliseconds headerTimeout{0}; // from then until the body is complete
    bool retryAfterFractions = false;           // the caller takes fractions of a second
};

enum class read_result {
    request,      // a whole request was read
    disconnected, // the caller closed the connection, or was idle too long
    malformed,    // not a valid request
    too_large,    // body over the limit
    timed_out,    // header or body did not come in time
};

// [SECTION] Answers

class caller_connection : public std::enable_shared_from_this<caller_connection>
{
public:
    explicit caller_connection(boost::beast::tcp_stream stream);

    boost::asio::awaitable<read_result> read(const read_limits &limits, caller_request &request); // next request
    void watchForClose(std::function<void()> onGone);                                             // calls back once when the caller closes while it waits
    void stopWatching();                                                                          // before the next read()

    boost::asio::awaitable<bool> sendRefusal(const protocol::caller_refusal &refusal); // whole answer; false when the caller has gone
    boost::asio::awaitable<bool> sendAnswer(std::uint32_t status, const protocol::http_headers &headers, std::string body);
    boost::asio::awaitable<bool> sendHead(std::uint32_t status, const protocol::http_headers &headers); // a streamed answer begins
    boost::asio::awaitable<bool> sendChunk(std::string_view bytes);                                     // part of a streamed answer
    boost::asio::awaitable<bool> sendLastChunk(std::string_view bytes);                                 // last part: the answer is whole

    bool hasAnswerStarted() const; // bytes of the present answer have been sent
    void closeAfterAnswer();       // the connection ends with the present answer
    bool closesAfterAnswer() const;
    void shutdown();                           // ends the connection in order
    boost::asio::awaitable<void> drainInput(); // after shutdown(): takes what the caller still sends, so that the answer is not lost
    void abort();                              // ends the connection so that the caller sees a cut answer
    void cancelIdleRead();                     // ends a read() that has not seen a byte yet
    bool isIdle() const;                       // waits for the first byte of a request

private:
    struct streamed_answer;

    bool m_headRequest = false;
    bool m_retryAfterFractions = false;
    bool m_answerStarted = false;
    bool m_closesAfterAnswer = false;
    bool m_idle = false;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    boost::asio::cancellation_signal m_watchSignal;
    std::shared_ptr<bool> m_watching; // set to false when the watch is over
    std::shared_ptr<streamed_answer> m_streamedAnswer;
};

} // namespace dandelionstall
