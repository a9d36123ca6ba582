// Reading and writing of a connection, and its peer timeout. Lifetime and streams are in node_session.cpp.
#include <dandelionstall/transport/node_session.h>

#include <boost/asio.hpp>
#include <nghttp2/nghttp2.h>

#include <array>
#include <utility>
#include <vector>

namespace dandelionstall::transport {

namespace {

constexpr std::size_t ReadChunkBytes = 65'536;
constexpr std::size_t WriteBatchBytes = 131'072;
constexpr auto TimeoutCheckPeriod = std::chrono::milliseconds(100);
constexpr auto PauseTolerance = std::chrono::milliseconds(400); // a check that is overdue by more than this shows that the process was paused

} // namespace

// [SECTION] Input and output

void node_session::readMore()
{
    m_socket.async_wait(boost::asio::socket_base::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
        if (error || !self->m_open) {
            self->close(stream_close_reason::connection_lost);
            return;
        }
        self->receive();
    });
}

void node_session::receive()
{
    // All connections of a thread share one buffer: the bytes are processed before this function returns.
    thread_local std::array<char, ReadChunkBytes> buffer;
    boost::system::error_code error;
    const std::size_t bytes = m_socket.read_some(boost::asio::buffer(buffer), error);
    if (error == boost::asio::error::would_block) {
        readMore();
        return;
    }
    if (error) {
        close(stream_close_reason::connection_lost);
        return;
    }
    m_lastReceivedAt = state::clock::now();
    m_inReceive = true;
    const ssize_t used = nghttp2_session_mem_recv(m_session, reinterpret_cast<const std::uint8_t *>(buffer.data()), bytes);
    m_inReceive = false;
    if (used < 0 || !m_open) {
        close(stream_close_reason::connection_lost);
        return;
    }
    flush();
    const bool finished = nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0;
    if (finished && !m_writing) {
        close(stream_close_reason::connection_lost);
        return;
    }
    if (m_open) {
        readMore();
    }
}

void node_session::flush()
{
    if (!m_open || m_writing || m_inReceive) {
        return;
    }
    m_writeBuffer.clear();
    while (m_writeBuffer.size() < WriteBatchBytes) {
        const std::uint8_t *data = nullptr;
        const ssize_t length = nghttp2_session_mem_send(m_session, &data);
        if (length < 0) {
            close(stream_close_reason::connection_lost);
            return;
        }
        if (length == 0) {
            break;
        }
        m_writeBuffer.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(length));
    }
    if (m_writeBuffer.empty() || !m_open) {
        return;
    }
    m_writing = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_writeBuffer), [self = shared_from_this()](const boost::system::error_code &error, std::size_t) {
        self->m_writing = false;
        if (error) {
            self->close(stream_close_reason::connection_lost);
            return;
        }
        std::vector<std::shared_ptr<stream_handler>> writable;
        for (const auto &[id, stream] : self->m_streams) {
            if (stream.outBytes < WriteLowWater && !stream.outEnd) {
                writable.push_back(stream.handler);
            }
        }
        for (const std::shared_ptr<stream_handler> &handler : writable) {
            handler->onWritable();
        }
        self->flush();
    });
}

// [SECTION] Peer timeout

void node_session::armTimeoutCheck()
{
    if (!m_open || m_timeoutCheckDueAt > state::clock::now()) {
        return;
    }
    m_timeoutCheckDueAt = state::clock::now() + TimeoutCheckPeriod;
    m_timer.expires_at(m_timeoutCheckDueAt);
    m_timer.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const std::shared_ptr<node_session> self = weak.lock();
        if (!error && self && self->m_open) {
            self->checkPeerTimeout();
        }
    });
}

void node_session::checkPeerTimeout()
{
    const state::time_point now = state::clock::now();
    if (now - m_timeoutCheckDueAt > PauseTolerance) {
        m_lastReceivedAt = now; // after a process pause, missing bytes do not show that the peer is unresponsive
    }
    m_timeoutCheckDueAt = {};
    if (m_streams.empty()) {
        m_lastReceivedAt = now;
        return;
    }
    if (now - m_lastReceivedAt > m_options.unresponsiveTimeout) {
        close(stream_close_reason::unresponsive);
        return;
    }
    if (now - m_lastReceivedAt > m_options.pingAfter && now - m_pingSentAt > m_options.pingAfter) {
        m_pingSentAt = now;
        nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
        flush();
    }
    armTimeoutCheck();
}

} // namespace dandelionstall::transport
