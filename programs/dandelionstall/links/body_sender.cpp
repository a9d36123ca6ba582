#include "body_sender.h"

#include <dandelionstall/protocol/frame.h>

#include <algorithm>
#include <utility>

namespace dandelionstall {

using protocol::frame_type;

namespace {

constexpr std::size_t MaxPendingBytes = 262'144; // unsent bytes of the stream above which no further frame is queued

} // namespace

void body_sender::start(std::weak_ptr<transport::node_session> session, transport::stream_id stream, std::string head, std::string_view body)
{
    m_session = std::move(session);
    m_stream = stream;
    m_head = std::move(head);
    m_unsent = body;
    m_sending = true;
    sendMore();
}

void body_sender::sendMore()
{
    const auto session = m_session.lock();
    while (session && m_sending && session->pendingBytes(m_stream) <= MaxPendingBytes) {
        sendFrame(*session);
    }
}

// Sends the next body frame, and the end of the attempt with the last one.
void body_sender::sendFrame(transport::node_session &session)
{
    const std::string_view part = m_unsent.substr(0, protocol::BodyFrameBytes);
    m_unsent.remove_prefix(part.size());
    m_sending = !m_unsent.empty();
    std::string out = std::exchange(m_head, {});
    if (!part.empty()) {
        protocol::appendFrame(out, frame_type::body, part);
    }
    if (!m_sending) {
        protocol::appendFrame(out, frame_type::attempt_end, {});
    }
    session.write(m_stream, out, !m_sending);
}

void body_sender::stop()
{
    m_unsent = {};
    m_sending = false;
}

bool body_sender::isSending() const
{
    return m_sending;
}

} // namespace dandelionstall
