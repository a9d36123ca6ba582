#include "http_call.h"

#include "caller_connections.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <stdexcept>

namespace dandelionstall::testing {

namespace {

constexpr std::chrono::seconds CommandTimeout{20}; // stand-ins of a large fleet on a busy machine answer late

boost::asio::awaitable<void> runCall(standins::caller_connections &connections, http_call call, std::chrono::milliseconds timeout, http_outcome &outcome)
{
    namespace http = boost::beast::http;
    standins::http_request request(http::string_to_verb(call.method), call.target, 11);
    request.set(http::field::host, call.host.empty() ? call.address : call.host);
    request.body() = call.body;
    const standins::exchange_result result = co_await connections.exchange(call.address, std::move(request), timeout);
    if (result.error.empty()) {
        outcome.status = result.answer.result_int();
        outcome.body = result.answer.body();
    }
}

} // namespace

http_outcome callHttp(const http_call &call, std::chrono::milliseconds timeout)
{
    boost::asio::io_context io(1);
    standins::caller_connections connections(io, "");
    http_outcome outcome;
    boost::asio::co_spawn(io, runCall(connections, call, timeout, outcome), boost::asio::detached);
    io.run();
    return outcome;
}

http_outcome getHttp(const std::string &address, const std::string &target)
{
    return callHttp({address, target, "GET", ""});
}

void command(const std::string &address, const std::string &target, const std::string &body)
{
    const http_outcome outcome = callHttp({address, target, "PUT", body}, CommandTimeout);
    if (outcome.status != 200) {
        throw std::runtime_error("command " + target + " failed: " + outcome.body);
    }
}

} // namespace dandelionstall::testing
