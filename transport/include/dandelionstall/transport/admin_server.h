// The admin API of a node: a small HTTP server, read only (GET and HEAD), on the control thread's io_context.
//
// Usage:
//   admin_server server(controlIo, makeAdminHandlers(providers));
//   absl::Status status = server.listen(settings.adminAddress);
//   ...
//   server.stop();   // finishes the answers being written
//
// Handlers are called on the thread of the io_context. docs/operators/admin-api.md describes every path.
//
// Index:
//   [SECTION] Handlers
//   [SECTION] Providers
//   [SECTION] Server
#pragma once

#include <dandelionstall/protocol/admin_json.h>
#include <dandelionstall/transport/metrics.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstall::transport {

// [SECTION] Handlers

struct admin_request {
    std::string path;                                           // decoded, without query
    std::string pathSuffix;                                     // what follows the handler's path; "catalogue" of "/v1/pools/catalogue"
    std::map<std::string, std::string, std::less<>> parameters; // decoded query
};

struct admin_answer {
    std::uint32_t status = 200;                   // HTTP status
    std::string contentType = "application/json"; // of the body
    std::string body;                             // whole
};

struct admin_handler {
    std::string path; // exact, or a prefix when it ends with "/"
    std::function<admin_answer(const admin_request &)> handle;
};

std::optional<admin_request> parseAdminTarget(std::string_view target);                                      // nothing when malformed
admin_answer dispatchAdminRequest(const std::vector<admin_handler> &handlers, const admin_request &request); // 404 when no handler takes it
admin_answer jsonAnswer(const boost::json::object &body, std::uint32_t status = 200);
admin_answer adminError(std::uint32_t status, std::string_view reason); // {"error": "..."}

// [SECTION] Providers

// Where the answers come from. Each is called once per request; those left empty make their paths answer 404.
struct admin_providers {
    std::function<protocol::node_identity()> identity;
    std::function<state::time_point()> now;
    std::function<coordination::fleet_snapshot_ptr()> snapshot; // null before the first publication
    std::function<const state::settings &()> settings;
    std::function<protocol::fleet_status()> fleet;
    std::function<std::string()> metrics; // Prometheus text
};

std::vector<admin_handler> makeAdminHandlers(admin_providers providers); // all paths of the admin API

// [SECTION] Server

struct admin_limits {
    std::size_t maxConnections = 32;                // more are closed at once
    std::uint32_t maxHeaderBytes = 8192;            // of one request
    std::chrono::milliseconds requestTimeout{5000}; // to send a request and to take the answer
    std::chrono::milliseconds idleTimeout{30000};   // between requests
};

class admin_server
{
public:
    admin_server(boost::asio::io_context &io, std::vector<admin_handler> handlers, const admin_limits &limits = {});
    ~admin_server();
    admin_server(const admin_server &) = delete;
    admin_server &operator=(const admin_server &) = delete;

    absl::Status listen(const state::node_address &address); // port 0 takes a free one
    state::node_address address() const;                     // bound address
    void stop();                                             // no further requests; answers being written are finished

private:
    class listener;
    std::shared_ptr<listener> m_listener;
};

} // namespace dandelionstall::transport
