// Reads the platform's service over HTTP. Each call has a connection of its own and a deadline, so that a connection that
// goes silent holds up one call only.
//
// Usage:
//   platform_client client(service, listenIp);
//   absl::StatusOr<platform_answer> answer = co_await client.get(target, clock::now() + 5s);
#pragma once

#include <dandelionstall/state/types.h>

#include <boost/asio/awaitable.hpp>

#include <string>

namespace dandelionstall::transport {

struct platform_answer {
    std::uint32_t status = 0; // HTTP status
    std::uint64_t index = 0;  // X-Consul-Index; 0 when absent
    std::string body;
};

class platform_client
{
public:
    platform_client(state::node_address service, std::string localIp); // calls leave from the local IP number

    boost::asio::awaitable<absl::StatusOr<platform_answer>> get(std::string target, state::time_point deadline) const; // other answers than 200 are errors
    boost::asio::awaitable<absl::StatusOr<platform_answer>> getAnyStatus(std::string target, state::time_point deadline) const; // any whole answer

private:
    state::node_address m_service;
    std::string m_localIp;
};

} // namespace dandelionstall::transport
