// One HTTP/2 connection between two nodes, on nghttp2. Used from the thread of its executor only.
//
// The connecting side opens streams; the accepting side gets each new stream through its stream_acceptor. Both sides
// write bytes and receive them through a stream_handler. Receiving is credited by the handler with consume(), so a slow
// receiver of one stream holds back that stream alone. A connection on which nothing arrives although a PING is
// outstanding is declared silent and closed; every open stream learns that through onClosed().
//
// Usage (client):
//   auto session = node_session::create(std::move(socket), session_role::client);
//   session->start();
//   auto stream = session->open("/attempt", handler);
//   session->write(stream, bytes, true);
//
// Index:
//   [SECTION] Streams
//   [SECTION] Session
#pragma once

#include <dandelionstall/state/types.h>

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

struct nghttp2_session;

namespace dandelionstall::transport {

// [SECTION] Streams

using stream_id = std::int32_t;

enum class stream_close_reason {
    finished,        // both sides have ended it
    refused,         // the peer did not process it
    reset,           // one side broke it off
    connection_lost, // the connection ended; what the peer did is unknown
    unresponsive,    // the connection went silent; what the peer did is unknown
};

class stream_handler
{
public:
    virtual ~stream_handler() = default;

    virtual void onData(std::string_view bytes) = 0;    // credit with consume() once they have been dealt with
    virtual void onPeerEnd() = 0;                       // the peer will send no more
    virtual void onWritable() = 0;                      // less than the low-water mark is waiting to be sent
    virtual void onClosed(stream_close_reason end) = 0; // last call
};

class node_session;

// Takes a new stream on the accepting side; returns its handler, or null to refuse it.
using stream_acceptor = std::function<std::shared_ptr<stream_handler>(const std::shared_ptr<node_session> &session, stream_id stream, std::string_view path)>;

// [SECTION] Session

enum class session_role { client, server };

struct session_options {
    std::chrono::milliseconds pingAfter{100};           // silence before a PING, while streams are open
    std::chrono::milliseconds unresponsiveTimeout{400}; // silence before the connection is given up, while streams are open
    std::uint32_t maxStreams = 1000;                    // streams that the peer may have open
    std::int32_t streamWindow = 262'144;                // bytes in flight per stream
    std::int32_t connectionWindow = 16'777'216;         // bytes in flight per connection
};

inline constexpr std::size_t WriteLowWater = 65'536; // bytes waiting on a stream below which onWritable() is called

class node_session : public std::enable_shared_from_this<node_session>
{
public:
    static std::shared_ptr<node_session> create(boost::asio::ip::tcp::socket socket, session_role role, const session_options &options = {});
    ~node_session();
    node_session(const node_session &) = delete;
    node_session &operator=(const node_session &) = delete;

    void start(stream_acceptor acceptor = {});                                      // begins reading; the server side needs an acceptor
    stream_id open(std::string_view path, std::shared_ptr<stream_handler> handler); // client side; negative when no stream can be opened
    void write(stream_id stream, std::string_view bytes, bool end);                 // queues bytes; ignored on a closed stream
    void consume(stream_id stream, std::size_t bytes);                              // credits received bytes
    void reset(stream_id stream);                                                   // breaks a stream off
    void drain();                                                                   // server side: refuses further streams, ends when the open ones have ended
    void close(stream_close_reason reason);                                         // ends the connection at once
    std::size_t pendingBytes(stream_id stream) const;                               // queued and not yet handed to the connection
    std::size_t openStreamCount() const;
    bool isOpen() const;                      // false once closed
    state::time_point lastReceivedAt() const; // last byte received
    state::time_point idleSince() const;      // last time a stream was open

private:
    struct stream_state {
        std::shared_ptr<stream_handler> handler;
        std::deque<std::string> out;
        std::size_t outOffset = 0;
        std::size_t outBytes = 0;
        bool outEnd = false;
        bool submitted = false; // response headers have been submitted (server side)
        bool deferred = false;  // nghttp2 waits for more bytes
    };
    struct callbacks;

    node_session(boost::asio::ip::tcp::socket socket, session_role role, const session_options &options);
    void initialize();
    void readMore();
    void receive();
    void flush();
    void armTimeoutCheck();
    void checkPeerTimeout();
    void finishStream(stream_id stream, stream_close_reason end);
    std::ptrdiff_t fillDataFrame(stream_id stream, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    session_role m_role;
    session_options m_options;
    stream_acceptor m_acceptor;
    nghttp2_session *m_session = nullptr;
    std::unordered_map<stream_id, stream_state> m_streams;
    std::unordered_map<stream_id, std::string> m_paths; // server side: until the headers are complete
    std::string m_writeBuffer;
    bool m_writing = false;
    bool m_inReceive = false;
    bool m_open = true;
    bool m_draining = false;
    state::time_point m_lastReceivedAt;
    state::time_point m_idleSince;
    state::time_point m_timeoutCheckDueAt; // when the next silence check is due
    state::time_point m_pingSentAt;
};

} // namespace dandelionstall::transport
