// Blocking HTTP requests that tests use to send commands and to read status.
#pragma once

#include <chrono>
#include <string>

namespace dandelionstall::testing {

struct http_call {
    std::string address; // ip:port
    std::string target = "/";
    std::string method = "GET";
    std::string body;
    std::string host = {}; // Host header; the address when empty
};

struct http_outcome {
    unsigned status = 0; // 0 when no answer was received
    std::string body;
};

http_outcome callHttp(const http_call &call, std::chrono::milliseconds timeout = std::chrono::seconds(2));
http_outcome getHttp(const std::string &address, const std::string &target);
void command(const std::string &address, const std::string &target, const std::string &body); // sends a PUT; throws unless the status is 200

} // namespace dandelionstall::testing
