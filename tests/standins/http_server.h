// Small HTTP/1.1 server shared by the stand-ins: one coroutine per connection, with keep-alive. An
// implementation of http_service produces the answers.
//
// Usage:
//   struct hello : http_service { ... };
//   asio::io_context io;
//   hello service;
//   runHttpProgram(io, listenOn(io, "127.0.0.1:0"), service);   // prints "port=NNNN", runs until SIGTERM
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace dandelionstall::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

using http_request = http::request<http::string_body>;
using http_response = http::response<http::string_body>;

// How the server sends an answer. Values other than whole inject a fault; dropped also ends a request that its caller cancelled.
enum class delivery {
    whole,     // complete answer; keep-alive as requested
    truncated, // headers and half of the body are sent, then the connection is closed
    reset,     // no byte is sent; the connection is reset
    dropped,   // no byte is sent; the connection is closed
    endless,   // bytes without end are sent until the peer closes the connection; see endless_bytes
};

// Where the bytes come that never end.
enum class endless_part {
    head,        // a header value
    head_lines,  // header after header
    chunk_head,  // a chunk extension, after a proper head
    trailer,     // trailer fields, after a proper body
    interim,     // status 102, again and again
    late_answer, // the body of an answer to another request
    body,        // the body of an answer with the status of the reply
};

struct http_reply {
    http_response message;
    delivery how = delivery::whole;
    endless_part part = endless_part::head; // for delivery::endless
    std::string echoHeader;                 // for endless_part::late_answer: header that names another request
};

// Sends bytes without end in place of the reply. name: an enumerator of endless_part, or "error_body" for a body with status 500.
void makeEndless(http_reply &reply, std::string_view name, const std::string &echoHeader = {});

class http_service
{
public:
    virtual ~http_service() = default;

    virtual asio::awaitable<http_reply> answer(const http_request &request, tcp::socket &peer) = 0; // pass peer only to awaitPeerClosed()
};

http_reply makeReply(http::status status, std::string body, std::string_view contentType = "text/plain");   // reply that is delivered whole
http_reply makeDropped();                                                                                   // closes the connection without an answer
std::string headerOf(const http_request &request, std::string_view name);                                   // returns an empty string when the header is absent
std::uint64_t headerNumber(const http_request &request, std::string_view name, std::uint64_t defaultValue); // returns defaultValue when absent or not a number

asio::awaitable<void> awaitPeerClosed(tcp::socket &peer);                 // returns when the peer has closed or reset the connection
asio::awaitable<void> pauseFor(std::chrono::microseconds span);           // waits; can be cancelled
tcp::endpoint parseEndpoint(const std::string &address);                  // parses an address such as "127.0.0.1:80"; throws when it is malformed
tcp::acceptor listenOn(asio::io_context &io, const std::string &address); // binds an address such as "127.0.0.1:0"; throws when it cannot be bound

asio::awaitable<void> serveHttp(tcp::acceptor acceptor, http_service &service);          // returns when the acceptor fails
int runHttpProgram(asio::io_context &io, tcp::acceptor acceptor, http_service &service); // runs until SIGTERM or SIGINT; returns the exit code

} // namespace dandelionstall::standins
