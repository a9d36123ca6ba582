#include "stream_reader.h"

#include <boost/asio.hpp>

#include <algorithm>

namespace dandelionstall {

namespace asio = boost::asio;

namespace {

constexpr std::size_t FramePrefixBytes = 5; // type and length before each payload; credited with it to the flow control window

} // namespace

stream_reader::stream_reader(const asio::any_io_executor &executor)
    : m_signal(executor)
{ }

void stream_reader::attach(std::weak_ptr<transport::node_session> session, transport::stream_id stream)
{
    m_session = std::move(session);
    m_stream = stream;
}

asio::awaitable<read_event> stream_reader::next(state::time_point deadline)
{
    while (true) {
        if (std::optional<read_event> event = consumeEvent()) {
            co_return *std::move(event);
        }
        const state::time_point until = std::min(deadline, m_latestDeadline);
        if (state::clock::now() >= until) {
            co_return read_event{read_kind::timed_out, {}, {}};
        }
        m_signal.expires_at(until);
        co_await m_signal.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::optional<read_event> stream_reader::consumeEvent()
{
    if (m_cancelled) {
        return read_event{read_kind::cancelled, {}, {}};
    }
    if (!m_frames.empty()) {
        read_event event{read_kind::frame, std::move(m_frames.front()), {}};
        m_frames.pop_front();
        if (const auto session = m_session.lock()) {
            session->consume(m_stream, event.frame.payload.size() + FramePrefixBytes);
        }
        return event;
    }
    if (m_malformed) {
        return read_event{read_kind::malformed, {}, {}};
    }
    if (m_closeReason) {
        return read_event{read_kind::closed, {}, *m_closeReason};
    }
    return std::nullopt;
}

void stream_reader::limitDeadline(state::time_point latest)
{
    m_latestDeadline = std::min(m_latestDeadline, latest);
    m_signal.cancel();
}

body_sender &stream_reader::body()
{
    return m_body;
}

void stream_reader::cancel()
{
    m_cancelled = true;
    m_signal.cancel();
}

void stream_reader::onData(std::string_view bytes)
{
    m_decoder.feed(bytes);
    while (!m_malformed) {
        auto frame = m_decoder.next();
        if (!frame.ok()) {
            m_malformed = true;
            break;
        }
        if (!frame->has_value()) {
            break;
        }
        m_frames.push_back(**std::move(frame));
    }
    m_signal.cancel();
}

void stream_reader::onPeerEnd()
{ }

void stream_reader::onWritable()
{
    m_body.sendMore();
}

void stream_reader::onClosed(transport::stream_close_reason reason)
{
    m_closeReason = reason;
    m_signal.cancel();
}

} // namespace dandelionstall
