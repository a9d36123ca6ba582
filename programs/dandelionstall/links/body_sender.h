// Sends one attempt: its head, and its body in frames while the stream's send buffer has room, so that no second copy of a large body
// is held. Used only on the thread of its stream.
//
// Usage:
//   sender.start(session, stream, head, body);   // `body` must stay until the sender has finished or is stopped
//   sender.sendMore();                           // whenever the stream is writable
#pragma once

#include <dandelionstall/transport/node_session.h>

#include <memory>
#include <string>
#include <string_view>

namespace dandelionstall {

class body_sender
{
public:
    // Sends what has room now. `head` is the encoded frame of the attempt's head.
    void start(std::weak_ptr<transport::node_session> session, transport::stream_id stream, std::string head, std::string_view body);
    void sendMore();
    void stop(); // forgets the body; the stream stays without its end
    bool isSending() const;

private:
    void sendFrame(transport::node_session &session);

    std::weak_ptr<transport::node_session> m_session;
    transport::stream_id m_stream = -1;
    std::string m_head; // until it is sent with the first part of the body
    std::string_view m_unsent;
    bool m_sending = false;
};

} // namespace dandelionstall
