// Fault proxy: forwards TCP connections and UDP datagrams from its listening addresses to the real ones and applies fault
// rules that can change at run time.
//
// Each link maps one proxy address (TCP and UDP) to one real address. The proxy identifies a sender by its source IP
// address, so each node binds its outgoing sockets to its IP address. While the real address refuses connections, the proxy
// address refuses them as well.
//
// Commands:
//   PUT /rules     JSON array of rules, see fault_rules.h; replaces all earlier rules
//   POST /silence  {"from": "*", "to": "127.2.0.1"}: all connections currently open between the two stop
//                  forwarding permanently in both directions; new connections are not affected
#pragma once

#include "fault_rules.h"
#include "http_server.h"

#include <boost/asio/ip/udp.hpp>

#include <cstdint>
#include <list>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace dandelionstall::standins {

using asio::ip::udp;

struct fault_link {
    std::string listen; // proxy address, ip:port
    std::string target; // real address, ip:port
};

std::vector<fault_link> parseFaultLinks(const std::string &json); // parses [{"listen": ..., "target": ...}]; throws std::invalid_argument

class fault_network : public http_service
{
public:
    fault_network(asio::io_context &io, std::uint64_t seed);

    void setRules(std::vector<fault_rule> rules); // replaces all rules in force
    void open(const fault_link &link);            // throws when the address cannot be bound
    asio::awaitable<http_reply> answer(const http_request &request, tcp::socket &peer) override;

private:
    // A proxied connection; exists until both directions have ended.
    struct connection {
        std::string callerIp;
        std::string targetIp;
        bool silent = false; // forwards no more bytes and stays open
        tcp::socket caller;
        tcp::socket target;
    };
    // Bytes of one direction that wait to be forwarded.
    struct segment {
        std::string bytes; // empty marks the end of the stream
        state::time_point due;
    };
    struct pipe {
        std::shared_ptr<connection> owner;
        tcp::socket &source;
        tcp::socket &sink;
        std::string from;
        std::string to;
        std::list<segment> segments;
        std::size_t queuedBytes = 0;
        bool ended = false; // true when no more bytes are read or written
        state::time_point lastDue;
        asio::steady_timer changed; // never expires; cancelled when a segment is added or removed
    };

    struct listener {
        tcp::acceptor acceptor;
        tcp::endpoint address;
        tcp::endpoint target;
    };

    asio::awaitable<void> acceptConnections(std::shared_ptr<listener> accepting);
    asio::awaitable<void> awaitListening(tcp::endpoint target); // polls until the target accepts connections
    asio::awaitable<void> forwardConnection(tcp::socket caller, std::shared_ptr<listener> accepting);
    asio::awaitable<void> readPipe(std::shared_ptr<pipe> direction);
    asio::awaitable<void> writePipe(std::shared_ptr<pipe> direction);
    asio::awaitable<bool> awaitPassable(std::shared_ptr<pipe> direction); // waits while a rule blocks the path; returns false when the connection is silent
    asio::awaitable<void> receiveDatagrams(std::shared_ptr<udp::socket> socket, udp::endpoint target);
    asio::awaitable<void> sendLater(std::shared_ptr<udp::socket> socket, udp::endpoint target, std::string bytes, std::chrono::microseconds delay);
    static void endPipe(pipe &direction);
    static void abortUnlessSilent(const connection &owner, tcp::socket &socket);
    void queueSegment(pipe &direction, std::string bytes);
    path_conditions conditions(const std::string &from, const std::string &to) const;
    std::size_t silence(const std::string &from, const std::string &to);

    asio::io_context &m_io;
    std::mt19937_64 m_random;
    std::vector<fault_rule> m_rules;
    std::list<std::weak_ptr<connection>> m_connections;
};

} // namespace dandelionstall::standins
