// Requesting side of one stream to another node: decodes the received bytes into frames, which a coroutine awaits, and sends the body of
// an attempt meanwhile. Used only on the thread of its executor.
#pragma once

#include "body_sender.h"

#include <dandelionstall/protocol/frame.h>
#include <dandelionstall/transport/node_session.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <optional>

namespace dandelionstall {

enum class read_kind {
    frame,     // a frame was received
    closed,    // the stream was closed; see closeReason
    malformed, // the peer sent bytes that do not decode as a frame
    timed_out, // the deadline passed without a frame
    cancelled, // cancel() was called
};

struct read_event {
    read_kind kind = read_kind::closed;                                                 // which of the other members is set
    protocol::frame frame;                                                              // received frame, for read_kind::frame
    transport::stream_close_reason closeReason = transport::stream_close_reason::reset; // why the stream was closed, for read_kind::closed
};

class stream_reader : public transport::stream_handler
{
public:
    explicit stream_reader(const boost::asio::any_io_executor &executor);

    void attach(std::weak_ptr<transport::node_session> session, transport::stream_id stream); // call after opening the stream
    boost::asio::awaitable<read_event> next(state::time_point deadline);                      // waits for the next event; only one call at a time
    void limitDeadline(state::time_point latest);                                             // the pending call of next() and all later ones end by then
    body_sender &body();                                                                      // sends the body of the attempt
    void cancel(); // makes the pending call of next() and all later ones return read_kind::cancelled

    void onData(std::string_view bytes) override;
    void onPeerEnd() override;
    void onWritable() override;
    void onClosed(transport::stream_close_reason closeReason) override;

private:
    std::optional<read_event> consumeEvent();

    boost::asio::steady_timer m_signal;
    body_sender m_body;
    std::weak_ptr<transport::node_session> m_session;
    transport::stream_id m_stream = -1;
    protocol::frame_decoder m_decoder;
    std::deque<protocol::frame> m_frames;
    std::optional<transport::stream_close_reason> m_closeReason;
    state::time_point m_latestDeadline = state::time_point::max();
    bool m_malformed = false;
    bool m_cancelled = false;
};

} // namespace dandelionstall
