// The sidecar's end of one stream: reads frames from an ingress and writes answers. Used from the sidecar's thread.
//
// Index:
//   [SECTION] Answers
//   [SECTION] Streams
#pragma once

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

// Writes one answer to a stream, or drops it when the stream has gone.
class answer_writer
{
public:
    answer_writer(std::weak_ptr<transport::node_session> session, transport::stream_id stream);

    void sendHead(const protocol::answer_head &head);                          // first
    boost::asio::awaitable<void> sendBody(std::string_view bytes);             // returns when there is room for more
    void sendAnswer(const protocol::answer_head &head, std::string_view body); // head, body and end at once
    void sendEnd(const protocol::answer_end &end);                             // last: the answer is whole
    void abort();                                                              // the answer is cut
    void handleWritable();                                                     // wakes sendBody()
    void handleClosed();                                                       // nothing can be sent any more
    bool isOpen() const;

private:
    std::weak_ptr<transport::node_session> m_session;
    transport::stream_id m_stream;
    std::shared_ptr<boost::asio::steady_timer> m_waiter; // cancelled when there is room
    bool m_open = true;
};

// [SECTION] Streams

// Collects an attempt (head, body, end) and hands it to the sidecar.
class attempt_stream : public transport::stream_handler, public std::enable_shared_from_this<attempt_stream>
{
public:
    attempt_stream(sidecar &owner, std::weak_ptr<transport::node_session> session, transport::stream_id stream, std::size_t maxBodyBytes);

    void onData(std::string_view bytes) override;
    void onPeerEnd() override;
    void onWritable() override;
    void onClosed(transport::stream_close_reason end) override;

    const protocol::attempt_head &head() const; // valid once handed to the sidecar
    std::string consumeBody();                  // whole body; once
    answer_writer &writer();

private:
    bool handleFrame(const protocol::frame &frame);
    void abort();

    sidecar &m_sidecar;
    std::weak_ptr<transport::node_session> m_session;
    transport::stream_id m_stream;
    std::size_t m_maxBodyBytes;
    protocol::frame_decoder m_decoder;
    std::optional<protocol::attempt_head> m_head;
    std::string m_body;
    bool m_complete = false;
    answer_writer m_writer;
};

// Takes one query, acknowledgement or clock request and has the sidecar answer it.
class control_stream : public transport::stream_handler, public std::enable_shared_from_this<control_stream>
{
public:
    control_stream(sidecar &owner, std::weak_ptr<transport::node_session> session, transport::stream_id stream);

    void onData(std::string_view bytes) override;
    void onPeerEnd() override;
    void onWritable() override;
    void onClosed(transport::stream_close_reason end) override;

    answer_writer &writer();
    void sendReply(protocol::frame_type type, std::string_view payload); // one frame and the end of the stream
    void sendFrame(const protocol::frame &frame, bool last);             // one of several frames

private:
    bool handleFrame(const protocol::frame &frame);

    sidecar &m_sidecar;
    std::weak_ptr<transport::node_session> m_session;
    transport::stream_id m_stream;
    protocol::frame_decoder m_decoder;
    answer_writer m_writer;
};

} // namespace dandelionstall
