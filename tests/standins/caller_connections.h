// Keep-alive connections of the callers, by node, and one HTTP exchange on one of them.
#pragma once

#include "http_server.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dandelionstall::standins {

struct exchange_result {
    http_response answer; // status 0 when there is none
    std::string error;    // why there is none: connect, timeout, closed, ...
    bool sent = false;    // bytes of the request may have left
};

class caller_connections
{
public:
    caller_connections(asio::io_context &io, std::string sourceIp); // empty source: any

    asio::awaitable<exchange_result> exchange(std::string node, http_request request, std::chrono::milliseconds timeout);

private:
    struct connection {
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
    };
    using connection_ptr = std::unique_ptr<connection>;

    asio::awaitable<connection_ptr> takeOrConnect(std::string node); // null when refused
    asio::awaitable<void> attempt(std::string node, const http_request &request, exchange_result &result);

    asio::io_context &m_io;
    std::string m_sourceIp;
    std::map<std::string, std::vector<connection_ptr>> m_idle; // by node
};

} // namespace dandelionstall::standins
