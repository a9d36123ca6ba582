// Reads the platform's service over HTTP. Each call has its own connection and deadline, so that an unresponsive
// connection delays one call only.
//
// Usage:
//   platform_client client(service, listenIp);
//   absl::StatusOr<platform_answer> answer = co_await client.get(target, clock::now() + 5s);
#pragma once

#include <dandelionstall/protocol/messages.h>
#include <dandelionstall/state/types.h>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace dandelionstall::transport {

struct platform_answer {
    std::uint32_t status = 0; // HTTP status of the answer
    std::uint64_t index = 0;  // value of X-Consul-Index; 0 when absent
    protocol::http_headers headers;
    std::string body;
    bool endsWithConnection = false; // nothing but the end of the connection has ended the body: a part of it would look whole
};

class platform_client
{
public:
    platform_client(state::node_address service, std::string localIp); // connections are bound to this local IP address

    // For texts in which a missing end can't be seen: any status but 200, and a body without a length, is an error.
    boost::asio::awaitable<absl::StatusOr<platform_answer>> get(std::string target, state::time_point deadline) const;

    // Any status is returned, and a body without a length, too; one that is cut must not decode.
    boost::asio::awaitable<absl::StatusOr<platform_answer>> getAnyStatus(std::string target, state::time_point deadline) const;

private:
    state::node_address m_service;
    std::string m_localIp;
};

} // namespace dandelionstall::transport
