// Sidecar side of one stream: reads frames from an ingress and writes answers. Used only on the thread of the sidecar.
//
// Index:
//   [SECTION] Answers
//   [SECTION] Streams
#pragma once

#include <dandelionstall/coordination/admission/memory_budget.h>
#include <dandelionstall/protocol/frame.h>
#include <dandelionstall/protocol/messages.h>
#include <dandelionstall/transport/node_session.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>

namespace dandelionstall {

class sidecar;

// [SECTION] Answers

// Writes one answer to a stream; discards it once the stream is closed.
class answer_writer
{
public:
    answer_writer(std::weak_ptr<transport::node_session> session, transport::stream_id stream);

    void sendHead(const protocol::answer_head &head);                          // sends the head; required before body and end
    boost::asio::awaitable<void> sendBody(std::string_view bytes);             // sends a part of the body; returns when the send buffer has room for more
    void sendAnswer(const protocol::answer_head &head, std::string_view body); // sends a complete answer: head, body and end
    void sendEnd(const protocol::answer_end &end);                             // completes the answer and the stream
    void abort();                                                              // resets the stream, so that the ingress sees a truncated answer
    void handleWritable();                                                     // call when the stream is writable: resumes sendBody()
    void handleClosed();                                                       // call when the stream is closed: later sends are discarded
    bool isOpen() const;

private:
    std::weak_ptr<transport::node_session> m_session;
    transport::stream_id m_stream;
    std::shared_ptr<boost::asio::steady_timer> m_waiter; // set while sendBody() waits; cancelled when there is room
    bool m_open = true;
};

// [SECTION] Streams

// Receives an attempt (head, body, end) and passes it to the sidecar when it is complete.
class attempt_stream : public transport::stream_handler, public std::enable_shared_from_this<attempt_stream>
{
public:
    attempt_stream(sidecar &owner,
                   std::weak_ptr<transport::node_session> session,
                   transport::stream_id stream,
                   std::size_t maxBodyBytes,
                   coordination::memory_budget &memory);

    void onData(std::string_view bytes) override;
    void onPeerEnd() override;
    void onWritable() override;
    void onClosed(transport::stream_close_reason closeReason) override;

    const protocol::attempt_head &head() const; // valid once the attempt was passed to the sidecar
    std::string consumeBody();                  // moves the complete body out; call once
    answer_writer &writer();

private:
    bool handleFrame(const protocol::frame &frame);
    bool handleHead(const protocol::frame &frame);
    void abort();

    sidecar &m_sidecar;
    std::weak_ptr<transport::node_session> m_session;
    transport::stream_id m_stream;
    std::size_t m_maxBodyBytes;
    coordination::memory_grant m_memory; // for the body
    protocol::frame_decoder m_decoder;
    std::optional<protocol::attempt_head> m_head;
    std::string m_body;
    bool m_complete = false;
    answer_writer m_writer;
};

// Receives one outcome query, acknowledgement, withdrawal or clock request and sends the reply.
class control_stream : public transport::stream_handler, public std::enable_shared_from_this<control_stream>
{
public:
    control_stream(sidecar &owner, std::weak_ptr<transport::node_session> session, transport::stream_id stream);

    void onData(std::string_view bytes) override;
    void onPeerEnd() override;
    void onWritable() override;
    void onClosed(transport::stream_close_reason closeReason) override;

    answer_writer &writer();
    void sendReply(protocol::frame_type type, std::string_view payload); // sends one frame and ends the stream
    void sendFrame(const protocol::frame &frame, bool last);             // sends one frame of a longer reply; `last` ends the stream

private:
    bool handleFrame(const protocol::frame &frame);

    sidecar &m_sidecar;
    std::weak_ptr<transport::node_session> m_session;
    transport::stream_id m_stream;
    protocol::frame_decoder m_decoder;
    answer_writer m_writer;
};

} // namespace dandelionstall
