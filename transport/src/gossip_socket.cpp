#include <dandelionstall/transport/gossip_socket.h>

#include <dandelionstall/transport/errors.h>

#include <boost/asio.hpp>

namespace dandelionstall::transport {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

constexpr std::size_t ReceiveBufferBytes = 65'536; // larger than any UDP datagram
constexpr int KernelBufferBytes = 1'048'576;       // buffers bursts of datagrams while the thread is busy

} // namespace

gossip_socket::gossip_socket(asio::io_context &io, state::node_address listen)
    : m_socket(io)
    , m_listen(std::move(listen))
    , m_buffer(ReceiveBufferBytes)
{ }

absl::Status gossip_socket::open()
{
    boost::system::error_code error;
    const udp::endpoint local(asio::ip::make_address(m_listen.ip, error), m_listen.port);
    if (error || m_socket.open(local.protocol(), error) || m_socket.bind(local, error) || m_socket.non_blocking(true, error)) {
        return makeSocketError(transport_error::connect, error);
    }
    return makeSocketError(transport_error::connect, m_socket.set_option(asio::socket_base::receive_buffer_size(KernelBufferBytes), error));
}

void gossip_socket::receive(datagram_handler handler)
{
    m_handler = std::move(handler);
    receiveNext();
}

void gossip_socket::receiveNext()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code &error, std::size_t size) {
        if (error == asio::error::operation_aborted || !m_socket.is_open()) {
            return;
        }
        if (!error) { // an error may be the ICMP answer to an earlier datagram that was sent to a closed port
            m_handler(std::string_view(m_buffer.data(), size));
        }
        receiveNext();
    });
}

bool gossip_socket::send(const state::node_address &to, std::string_view datagram)
{
    boost::system::error_code error;
    const udp::endpoint remote(asio::ip::make_address(to.ip, error), to.port);
    if (error || !m_socket.is_open()) {
        return false;
    }
    m_socket.send_to(asio::buffer(datagram.data(), datagram.size()), remote, 0, error);
    return !error;
}

void gossip_socket::close()
{
    if (boost::system::error_code ignored; m_socket.close(ignored)) {
        return; // the socket is closed also when close() reports an error
    }
}

} // namespace dandelionstall::transport
