// One HTTP/2 connection between two nodes, based on nghttp2. It may be used only from the thread of its executor.
//
// The client side opens streams; the server side gets each new stream through its stream_acceptor. Both sides write bytes
// and receive them through a stream_handler. The handler returns the flow-control credit of its stream with consume(), so a
// slow receiver blocks its stream only: the credit of the connection is returned as bytes arrive, so that neither unread nor
// cancelled streams reduce it. A connection on which nothing arrives although a PING is outstanding is considered
// unresponsive and closed; the handler of every open stream is notified through onClosed().
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
    finished,        // both sides have ended the stream
    refused,         // the peer refused the stream and processed none of it
    reset,           // one side reset the stream before its end
    connection_lost, // the connection was closed; it is unknown what the peer processed
    unresponsive,    // nothing arrived within the timeout; it is unknown what the peer processed
};

class stream_handler
{
public:
    virtual ~stream_handler() = default;

    virtual void onData(std::string_view bytes) = 0;       // call consume() once the bytes have been processed
    virtual void onPeerEnd() = 0;                          // the peer has ended its side; no onData() follows
    virtual void onWritable() = 0;                         // fewer than WriteLowWater bytes are waiting to be sent
    virtual void onClosed(stream_close_reason reason) = 0; // last call for this stream
};

class node_session;

// Called for each new stream on the server side; returns the stream's handler, or null to refuse the stream.
using stream_acceptor = std::function<std::shared_ptr<stream_handler>(const std::shared_ptr<node_session> &session, stream_id stream, std::string_view path)>;

// [SECTION] Session

enum class session_role { client, server };

struct session_options {
    std::chrono::milliseconds pingAfter{100};           // time without received bytes, while streams are open, before a PING is sent
    std::chrono::milliseconds unresponsiveTimeout{400}; // time without received bytes, while streams are open, before the connection is closed
    std::uint32_t maxStreams = 1000;                    // streams that the peer may have open at once
    std::int32_t streamWindow = 262'144;                // flow-control window of each stream in bytes
    std::int32_t connectionWindow = 16'777'216;         // flow-control window of the connection: bytes on the way at once
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
    stream_id open(std::string_view path, std::shared_ptr<stream_handler> handler); // client side only; negative when no stream can be opened
    void write(stream_id stream, std::string_view bytes, bool end); // queues bytes, and the end of the stream if `end`; ignored on a closed stream
    void consume(stream_id stream, std::size_t bytes);              // returns the stream's flow-control credit for received bytes
    void reset(stream_id stream);                                   // aborts a stream with RST_STREAM
    void drain();                                                   // server side: refuses new streams; the connection ends when the open streams have ended
    void close(stream_close_reason reason);                         // closes the connection at once; all open streams end with this reason
    std::size_t pendingBytes(stream_id stream) const;               // bytes queued on the stream and not yet passed to nghttp2
    std::size_t openStreamCount() const;
    bool isOpen() const;                      // false once the connection is closed
    state::time_point lastReceivedAt() const; // when bytes were last received or the peer timeout was last restarted
    state::time_point idleSince() const;      // when the last open stream ended; the current time while streams are open

private:
    struct stream_state {
        std::shared_ptr<stream_handler> handler;
        std::deque<std::string> out;
        std::size_t outOffset = 0;
        std::size_t outBytes = 0;
        bool outEnd = false;
        bool submitted = false; // the response headers (server side) or the request (client side) have been submitted
        bool deferred = false;  // nghttp2 found no bytes to send; write() must resume the stream
    };
    struct callbacks;

    node_session(boost::asio::ip::tcp::socket socket, session_role role, const session_options &options);
    void initialize();
    void readMore();
    void receive();
    void flush();
    void armTimeoutCheck();
    void checkPeerTimeout();
    void finishStream(stream_id stream, stream_close_reason reason);
    std::ptrdiff_t fillDataFrame(stream_id stream, std::uint8_t *buffer, std::size_t length, std::uint32_t *flags);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    session_role m_role;
    session_options m_options;
    stream_acceptor m_acceptor;
    nghttp2_session *m_session = nullptr;
    std::unordered_map<stream_id, stream_state> m_streams;
    std::unordered_map<stream_id, std::string> m_paths; // server side: paths of requests whose headers are not yet complete
    std::string m_writeBuffer;
    bool m_writing = false;
    bool m_inReceive = false;
    bool m_open = true;
    bool m_draining = false;
    state::time_point m_lastReceivedAt;
    state::time_point m_idleSince;
    state::time_point m_timeoutCheckDueAt; // when the next check for an unresponsive peer is due; zero when none is scheduled
    state::time_point m_pingSentAt;
};

} // namespace dandelionstall::transport
