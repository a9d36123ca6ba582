// Pool of keep-alive connections from the callers to each node, and single HTTP exchanges over them.
#pragma once

#include "http_server.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandelionstall::standins {

struct exchange_result {
    http_response answer; // received answer; only valid when error is empty
    std::string error;    // reason for a missing answer: connect, timeout, closed or cut; empty on success
    bool sent = false;    // true when bytes of the request may have been sent
};

class caller_connections
{
public:
    caller_connections(asio::io_context &io, std::string sourceIp); // an empty source IP lets the kernel choose

    asio::awaitable<exchange_result> exchange(std::string node, http_request request, std::chrono::milliseconds timeout);

private:
    struct connection {
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
    };
    using connection_ptr = std::unique_ptr<connection>;

    asio::awaitable<connection_ptr> reuseOrConnect(std::string node); // returns null when the connection fails
    asio::awaitable<void> attempt(std::string node, const http_request &request, exchange_result &result);

    asio::io_context &m_io;
    std::string m_sourceIp;
    std::map<std::string, std::vector<connection_ptr>> m_idle; // idle connections by node address
};

} // namespace dandelionstall::standins
