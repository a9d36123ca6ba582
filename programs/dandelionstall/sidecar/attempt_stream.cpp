#include "attempt_stream.h"

#include "sidecar.h"

#include <boost/asio.hpp>
#include <xxhash.h>

#include <algorithm>

namespace dandelionstall {

namespace asio = boost::asio;
using protocol::frame_type;

namespace {

constexpr std::size_t MaxPendingBytes = 262'144; // unsent bytes of one stream above which sendBody() waits

} // namespace

// [SECTION] Answers

answer_writer::answer_writer(std::weak_ptr<transport::node_session> session, transport::stream_id stream)
    : m_session(std::move(session))
    , m_stream(stream)
{ }

void answer_writer::sendHead(const protocol::answer_head &head)
{
    if (const auto session = m_session.lock(); session && m_open) {
        session->write(m_stream, protocol::makeFrame(frame_type::answer_head, protocol::encode(head)), false);
    }
}

asio::awaitable<void> answer_writer::sendBody(std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto session = m_session.lock();
        if (!session || !m_open) {
            co_return;
        }
        const std::string_view part = bytes.substr(0, protocol::BodyFrameBytes);
        session->write(m_stream, protocol::makeFrame(frame_type::body, part), false);
        bytes.remove_prefix(part.size());
        while (m_open && session->isOpen() && session->pendingBytes(m_stream) > MaxPendingBytes) {
            m_waiter = std::make_shared<asio::steady_timer>(co_await asio::this_coro::executor, asio::steady_timer::time_point::max());
            const std::shared_ptr<asio::steady_timer> waiter = m_waiter;
            co_await waiter->async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
}

void answer_writer::sendAnswer(const protocol::answer_head &head, std::string_view body)
{
    const auto session = m_session.lock();
    if (!session || !m_open) {
        return;
    }
    std::string out = protocol::makeFrame(frame_type::answer_head, protocol::encode(head));
    const protocol::answer_end end{head.id, body.size(), XXH3_64bits(body.data(), body.size()), std::chrono::microseconds(0)};
    while (!body.empty()) {
        const std::string_view part = body.substr(0, protocol::BodyFrameBytes);
        protocol::appendFrame(out, frame_type::body, part);
        body.remove_prefix(part.size());
    }
    protocol::appendFrame(out, frame_type::answer_end, protocol::encode(end));
    session->write(m_stream, out, true);
}

void answer_writer::sendEnd(const protocol::answer_end &end)
{
    if (const auto session = m_session.lock(); session && m_open) {
        session->write(m_stream, protocol::makeFrame(frame_type::answer_end, protocol::encode(end)), true);
    }
}

void answer_writer::abort()
{
    if (const auto session = m_session.lock(); session && m_open) {
        session->reset(m_stream);
    }
}

void answer_writer::handleWritable()
{
    if (m_waiter) {
        m_waiter->cancel();
    }
}

void answer_writer::handleClosed()
{
    m_open = false;
    handleWritable();
}

bool answer_writer::isOpen() const
{
    return m_open;
}

// [SECTION] Streams

attempt_stream::attempt_stream(
    sidecar &owner, std::weak_ptr<transport::node_session> session, transport::stream_id stream, std::size_t maxBodyBytes, coordination::memory_budget &memory)
    : m_sidecar(owner)
    , m_session(session)
    , m_stream(stream)
    , m_maxBodyBytes(maxBodyBytes)
    , m_memory(memory)
    , m_writer(std::move(session), stream)
{ }

void attempt_stream::onData(std::string_view bytes)
{
    if (m_complete) {
        return; // the rest of a refused attempt: without credit, the peer sends no more of it
    }
    m_decoder.feed(bytes);
    if (const auto session = m_session.lock()) {
        session->consume(m_stream, bytes.size());
    }
    while (!m_complete) {
        const auto frame = m_decoder.next();
        if (!frame.ok()) {
            abort();
            return;
        }
        if (!frame->has_value()) {
            return;
        }
        if (!handleFrame(**frame)) {
            abort();
            return;
        }
    }
}

bool attempt_stream::handleFrame(const protocol::frame &frame)
{
    if (frame.type == frame_type::attempt_head && !m_head) {
        return handleHead(frame);
    }
    if (frame.type == frame_type::body && m_head) {
        m_body.append(frame.payload);
        return m_body.size() <= m_head->bodyBytes;
    }
    if (frame.type == frame_type::attempt_end && m_head && m_body.size() == m_head->bodyBytes) {
        m_complete = true;
        m_sidecar.handleAttempt(shared_from_this());
        return true;
    }
    return false;
}

bool attempt_stream::handleHead(const protocol::frame &frame)
{
    auto head = protocol::decodeAttemptHead(frame.payload);
    if (!head.ok() || head->bodyBytes > m_maxBodyBytes) {
        return false;
    }
    m_head = *std::move(head);
    if (!m_memory.resize(m_head->bodyBytes)) {
        m_complete = true;
        m_sidecar.refuseUnread(*this);
        return true;
    }
    m_body.reserve(m_head->bodyBytes);
    return true;
}

void attempt_stream::abort()
{
    m_complete = true;
    m_writer.abort();
}

void attempt_stream::onPeerEnd()
{
    if (!m_complete) {
        abort(); // a truncated attempt is not run
    }
}

void attempt_stream::onWritable()
{
    m_writer.handleWritable();
}

void attempt_stream::onClosed(transport::stream_close_reason closeReason)
{
    m_writer.handleClosed();
    if (m_complete && m_head && closeReason != transport::stream_close_reason::finished) {
        m_sidecar.handleStreamLost(m_head->id, closeReason);
    }
}

const protocol::attempt_head &attempt_stream::head() const
{
    return *m_head;
}

std::string attempt_stream::consumeBody()
{
    return std::move(m_body);
}

answer_writer &attempt_stream::writer()
{
    return m_writer;
}

control_stream::control_stream(sidecar &owner, std::weak_ptr<transport::node_session> session, transport::stream_id stream)
    : m_sidecar(owner)
    , m_session(session)
    , m_stream(stream)
    , m_writer(std::move(session), stream)
{ }

void control_stream::onData(std::string_view bytes)
{
    m_decoder.feed(bytes);
    if (const auto session = m_session.lock()) {
        session->consume(m_stream, bytes.size());
    }
    const auto frame = m_decoder.next();
    if (!frame.ok() || (frame->has_value() && !handleFrame(**frame))) {
        m_writer.abort();
    }
}

bool control_stream::handleFrame(const protocol::frame &frame)
{
    if (frame.type == frame_type::query) {
        const auto query = protocol::decodeAttemptQuery(frame.payload);
        if (query.ok()) {
            m_sidecar.handleQuery(*query, shared_from_this());
        }
        return query.ok();
    }
    if (frame.type == frame_type::acknowledge) {
        const auto acknowledge = protocol::decodeAttemptAcknowledge(frame.payload);
        if (acknowledge.ok()) {
            m_sidecar.handleAcknowledgement(*acknowledge);
            sendReply(frame_type::acknowledge, frame.payload);
        }
        return acknowledge.ok();
    }
    if (frame.type == frame_type::withdraw) {
        const auto withdrawal = protocol::decodeAttemptWithdrawal(frame.payload);
        if (withdrawal.ok()) {
            m_sidecar.handleWithdrawal(*withdrawal);
            sendReply(frame_type::withdraw, frame.payload);
        }
        return withdrawal.ok();
    }
    if (frame.type == frame_type::clock_request) {
        const auto request = protocol::decodeClockRequest(frame.payload);
        if (request.ok()) {
            const protocol::clock_reply reply{request->sentAt, state::clock::now(), m_sidecar.incarnation()};
            sendReply(frame_type::clock_reply, protocol::encode(reply));
        }
        return request.ok();
    }
    return false;
}

void control_stream::sendReply(frame_type type, std::string_view payload)
{
    if (const auto session = m_session.lock()) {
        session->write(m_stream, protocol::makeFrame(type, payload), true);
    }
}

void control_stream::sendFrame(const protocol::frame &frame, bool last)
{
    if (const auto session = m_session.lock()) {
        session->write(m_stream, protocol::makeFrame(frame.type, frame.payload), last);
    }
}

void control_stream::onPeerEnd()
{ }

void control_stream::onWritable()
{
    m_writer.handleWritable();
}

void control_stream::onClosed(transport::stream_close_reason)
{
    m_writer.handleClosed();
}

answer_writer &control_stream::writer()
{
    return m_writer;
}

} // namespace dandelionstall
