// The admin API of a node: a small read-only HTTP server (GET and HEAD) on the control thread's io_context.
//
// Usage:
//   admin_server server(controlIo, makeAdminHandlers(providers));
//   absl::Status status = server.listen(settings.adminAddress);
//   ...
//   server.stop();   // answers in progress are still completed
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
    std::string path;                                           // percent-decoded path without the query
    std::string pathSuffix;                                     // part of the path after the handler's path, e.g. "catalogue" in "/v1/pools/catalogue"
    std::map<std::string, std::string, std::less<>> parameters; // percent-decoded parameters of the query
};

struct admin_answer {
    std::uint32_t status = 200;                   // HTTP status of the answer
    std::string contentType = "application/json"; // media type of the body
    std::string body;                             // whole body
};

struct admin_handler {
    std::string path; // exact path, or a prefix if it ends with "/"
    std::function<admin_answer(const admin_request &)> handle;
};

std::optional<admin_request> parseAdminTarget(std::string_view target);                                      // empty when the target is malformed
admin_answer dispatchAdminRequest(const std::vector<admin_handler> &handlers, const admin_request &request); // answers 404 when no handler matches the path
admin_answer jsonAnswer(const boost::json::object &body, std::uint32_t status = 200);
admin_answer adminError(std::uint32_t status, std::string_view reason); // answer with the body {"error": "<reason>"}

// [SECTION] Providers

// Functions that supply the data of the answers. Each is called once per request; paths whose provider is empty answer 404.
struct admin_providers {
    std::function<protocol::node_identity()> identity;
    std::function<state::time_point()> now;
    std::function<coordination::fleet_snapshot_ptr()> snapshot; // null before the first snapshot is published
    std::function<const state::settings &()> settings;
    std::function<protocol::fleet_status()> fleet;
    std::function<std::string()> metrics; // metrics in the Prometheus text format
};

std::vector<admin_handler> makeAdminHandlers(admin_providers providers); // handlers of all paths of the admin API

// [SECTION] Server

struct admin_limits {
    std::size_t maxConnections = 32;                // further connections are closed at once
    std::uint32_t maxHeaderBytes = 8192;            // limit for the header of one request
    std::chrono::milliseconds requestTimeout{5000}; // limit for a client to send a request and read its answer
    std::chrono::milliseconds idleTimeout{30000};   // time without a request before a connection is closed
};

class admin_server
{
public:
    admin_server(boost::asio::io_context &io, std::vector<admin_handler> handlers, const admin_limits &limits = {});
    ~admin_server();
    admin_server(const admin_server &) = delete;
    admin_server &operator=(const admin_server &) = delete;

    absl::Status listen(const state::node_address &address); // port 0 selects a free port
    state::node_address address() const;                     // address in use, with the selected port
    void stop();                                             // accepts no further requests; answers in progress are still completed

private:
    class listener;
    std::shared_ptr<listener> m_listener;
};

} // namespace dandelionstall::transport
