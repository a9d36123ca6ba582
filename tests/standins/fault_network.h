// The fault proxy: passes TCP connections and UDP datagrams on from its own addresses to the real ones, under rules that
// change at run time.
//
// Each link takes one proxy address (TCP and UDP) for one real address. The sender is known by its source IP number, so
// nodes bind their outgoing sockets to their own. While the real address refuses connections, so does the proxy's.
//
// Commands:
//   PUT /rules     JSON array of rules, see fault_rules.h; replaces all
//   POST /silence  {"from": "*", "to": "127.2.0.1"}: the connections open now between the two go silent for good, both
//                  ways; new ones work
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

std::vector<fault_link> parseFaultLinks(const std::string &json); // [{"listen": ..., "target": ...}]; throws std::invalid_argument

class fault_network : public http_service
{
public:
    fault_network(asio::io_context &io, std::uint64_t seed);

    void setRules(std::vector<fault_rule> rules); // replaces all
    void open(const fault_link &link);            // throws when the address cannot be bound
    asio::awaitable<http_reply> answer(const http_request &request, tcp::socket &peer) override;

private:
    // One open connection; lives until both directions have ended.
    struct connection {
        std::string callerIp;
        std::string targetIp;
        bool silent = false;
        tcp::socket caller;
        tcp::socket target;
    };
    // Bytes of one direction on their way.
    struct segment {
        std::string bytes; // empty: the end of the direction
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
        bool ended = false; // nothing more is read or written
        state::time_point lastDue;
        asio::steady_timer changed; // cancelled when a segment was added or taken
    };

    struct listener {
        tcp::acceptor acceptor;
        tcp::endpoint address;
        tcp::endpoint target;
    };

    asio::awaitable<void> acceptConnections(std::shared_ptr<listener> accepting);
    asio::awaitable<void> awaitListening(tcp::endpoint target); // until it takes connections
    asio::awaitable<void> carry(tcp::socket caller, std::shared_ptr<listener> accepting);
    asio::awaitable<void> readPipe(std::shared_ptr<pipe> direction);
    asio::awaitable<void> writePipe(std::shared_ptr<pipe> direction);
    asio::awaitable<bool> awaitPassable(std::shared_ptr<pipe> direction); // until no cut holds it; false when it is silent
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
