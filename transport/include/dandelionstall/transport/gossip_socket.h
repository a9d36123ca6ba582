// Sends and receives gossip datagrams (UDP) on the node's listen address.
//
// Usage:
//   gossip_socket socket(io, settings.listenAddress);
//   if (absl::Status opened = socket.open(); !opened.ok()) ...
//   socket.receive([](std::string_view datagram) { ... });
//   socket.send(peer, datagram);
#pragma once

#include <dandelionstall/state/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace dandelionstall::transport {

class gossip_socket
{
public:
    using datagram_handler = std::function<void(std::string_view datagram)>;

    gossip_socket(boost::asio::io_context &io, state::node_address listen);

    absl::Status open();                                                 // binds the socket; datagrams are sent from the listen address
    void receive(datagram_handler handler);                              // call once, after open(); the handler is called for each datagram until close()
    bool send(const state::node_address &to, std::string_view datagram); // false when it could not be sent; a sent datagram may still be lost
    void close();

private:
    void receiveNext();

    boost::asio::ip::udp::socket m_socket;
    state::node_address m_listen;
    datagram_handler m_handler;
    std::vector<char> m_buffer;
    boost::asio::ip::udp::endpoint m_sender;
};

} // namespace dandelionstall::transport
