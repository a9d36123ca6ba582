// The ingress' end of one stream: turns the bytes of a peer into frames that a coroutine waits for.
// Used from the ingress' thread.
#pragma once

#include <dandelionstall/protocol/frame.h>
#include <dandelionstall/transport/node_session.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace dandelionstall {

enum class read_kind {
    frame,     // a frame has come
    closed,    // the stream has ended; see end
    malformed, // the peer sent something that is no frame
    timed_out, // nothing came in time
    cancelled, // cancel() was called
};

struct read_event {
    read_kind kind = read_kind::closed;                                         // what happened
    protocol::frame frame;                                                      // for read_kind::frame
    transport::stream_close_reason end = transport::stream_close_reason::reset; // for read_kind::closed
};

class stream_reader : public transport::stream_handler
{
public:
    explicit stream_reader(const boost::asio::any_io_executor &executor);

    void attach(std::weak_ptr<transport::node_session> session, transport::stream_id stream); // after the stream was opened
    boost::asio::awaitable<read_event> next(state::time_point deadline);                      // one reader at a time
    void cancel();                                                                            // ends next() at once, now and later

    void onData(std::string_view bytes) override;
    void onPeerEnd() override;
    void onWritable() override;
    void onClosed(transport::stream_close_reason end) override;

private:
    std::optional<read_event> consumeEvent();

    boost::asio::steady_timer m_signal;
    std::weak_ptr<transport::node_session> m_session;
    transport::stream_id m_stream = -1;
    protocol::frame_decoder m_decoder;
    std::deque<protocol::frame> m_frames;
    std::optional<transport::stream_close_reason> m_end;
    bool m_malformed = false;
    bool m_cancelled = false;
};

} // namespace dandelionstall
