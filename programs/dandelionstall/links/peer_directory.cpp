#include "peer_directory.h"

#include <dandelionstall/protocol/messages.h>
#include <dandelionstall/transport/errors.h>

#include <boost/asio.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <algorithm>

namespace dandelionstall {

namespace asio = boost::asio;
using asio::ip::tcp;
using transport::transport_error;

namespace {

constexpr auto DialTimeout = std::chrono::milliseconds(300); // maximum time for the TCP connection and the first clock exchange
constexpr auto ClockPeriod = std::chrono::seconds(5);        // interval between clock exchanges on a link in use
constexpr auto IdleLinkTimeout = std::chrono::seconds(60);   // a link without open streams is closed after this time

using link_result = absl::StatusOr<std::shared_ptr<peer_link>>;

} // namespace

peer_directory::peer_directory(asio::io_context &io, const state::settings &settings)
    : m_io(io)
    , m_settings(settings)
{ }

asio::awaitable<link_result> peer_directory::connect(state::node_address node, state::time_point deadline)
{
    while (true) {
        const auto found = m_links.find(node);
        if (found != m_links.end() && found->second->session->isOpen()) {
            const std::shared_ptr<peer_link> link = found->second;
            if (state::clock::now() >= link->nextClockExchangeAt) {
                link->nextClockExchangeAt = state::clock::now() + ClockPeriod;
                asio::co_spawn(m_io, exchangeClock(link, link->nextClockExchangeAt), asio::detached);
            }
            co_return link;
        }
        const auto dialing = m_dialing.find(node);
        if (dialing == m_dialing.end()) {
            break;
        }
        if (state::clock::now() >= deadline) {
            co_return transport::makeError(transport_error::connect, "deadline passed while connecting");
        }
        const std::shared_ptr<asio::steady_timer> dialFinished = dialing->second;
        co_await dialFinished->async_wait(asio::as_tuple(asio::use_awaitable));
        if (!m_links.contains(node) && !m_dialing.contains(node)) {
            co_return transport::makeError(transport_error::connect, "could not connect to the node");
        }
    }
    const auto dialFinished = std::make_shared<asio::steady_timer>(m_io, asio::steady_timer::time_point::max());
    m_dialing[node] = dialFinished;
    link_result link = co_await dial(node, std::min(deadline, state::clock::now() + DialTimeout));
    m_dialing.erase(node);
    if (link.ok()) {
        m_links[node] = *link;
    }
    dialFinished->cancel();
    co_return link;
}

asio::awaitable<link_result> peer_directory::dial(state::node_address node, state::time_point deadline)
{
    boost::beast::tcp_stream stream(m_io);
    stream.expires_at(deadline);
    const tcp::endpoint target(asio::ip::make_address(node.ip), node.port);
    boost::system::error_code error;
    stream.socket().open(target.protocol(), error);
    stream.socket().bind(tcp::endpoint(asio::ip::make_address(m_settings.listenAddress.ip), 0), error);
    if (error) {
        co_return transport::makeSocketError(transport_error::connect, error);
    }
    const auto [connectError] = co_await stream.async_connect(target, asio::as_tuple(asio::use_awaitable));
    if (connectError) {
        co_return transport::makeSocketError(transport_error::connect, connectError);
    }
    const auto link = std::make_shared<peer_link>();
    link->node = node;
    link->session = transport::node_session::create(stream.release_socket(), transport::session_role::client);
    link->session->start();
    const absl::Status status = co_await exchangeClock(link, deadline);
    if (!status.ok()) {
        link->session->close(transport::stream_close_reason::unresponsive);
        co_return transport::makeError(transport_error::connect, "the node accepted the connection but did not answer the clock exchange");
    }
    link->nextClockExchangeAt = state::clock::now() + ClockPeriod;
    co_return link;
}

asio::awaitable<absl::Status> peer_directory::exchangeClock(std::shared_ptr<peer_link> link, state::time_point deadline)
{
    const auto reader = std::make_shared<stream_reader>(m_io.get_executor());
    const transport::stream_id stream = link->session->open("/control", reader);
    if (stream < 0) {
        co_return transport::makeError(transport_error::refused, "could not open a stream for the clock exchange");
    }
    reader->attach(link->session, stream);
    const state::time_point sentAt = state::clock::now();
    const std::string request = protocol::encode(protocol::clock_request{sentAt.time_since_epoch().count()});
    link->session->write(stream, protocol::makeFrame(protocol::frame_type::clock_request, request), true);
    const read_event event = co_await reader->next(deadline);
    if (event.kind != read_kind::frame || event.frame.type != protocol::frame_type::clock_reply) {
        co_return transport::makeError(transport_error::silent, "no reply to the clock exchange");
    }
    const auto reply = protocol::decodeClockReply(event.frame.payload);
    if (!reply.ok()) {
        co_return transport::wrapProtocolError(reply.status());
    }
    link->clock.recordExchange(sentAt, reply->clock, state::clock::now());
    link->incarnation = reply->incarnation;
    co_return absl::OkStatus();
}

state::time_point peer_directory::lastContactAt(const state::node_address &node) const
{
    const auto found = m_links.find(node);
    return found == m_links.end() ? state::time_point{} : found->second->session->lastReceivedAt();
}

void peer_directory::removeLink(const state::node_address &node, const std::shared_ptr<peer_link> &link)
{
    const auto found = m_links.find(node);
    if (found != m_links.end() && found->second == link) {
        m_links.erase(found);
    }
}

void peer_directory::closeIdle(state::time_point now)
{
    for (auto entry = m_links.begin(); entry != m_links.end();) {
        transport::node_session &session = *entry->second->session;
        const bool idle = session.openStreamCount() == 0 && now - session.idleSince() > IdleLinkTimeout;
        if (idle) {
            session.close(transport::stream_close_reason::finished);
        }
        entry = session.isOpen() ? std::next(entry) : m_links.erase(entry);
    }
}

std::size_t peer_directory::size() const
{
    return m_links.size();
}

} // namespace dandelionstall
