#include "worker_service.h"

#include "answer_body.h"

#include <dandelionstall/state/types.h>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <fmt/format.h>

#include <cstdio>

namespace dandelionstall::standins {

using namespace asio::experimental::awaitable_operators;

namespace {

constexpr std::chrono::hours NoDeadline{24};

std::int64_t steadyMicros()
{
    const auto sinceStart = state::clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceStart).count();
}

void logLine(std::string_view kind, std::string_view requestId, std::string_view detail)
{
    fmt::print("{} {} {} {}\n", kind, requestId, detail, steadyMicros());
    std::fflush(stdout);
}

std::string requestIdOf(const http_request &request)
{
    std::string id = headerOf(request, "X-Request-Id");
    return id.empty() ? "-" : id;
}

} // namespace

worker_service::worker_service(asio::io_context &io, const worker_options &options)
    : m_options(options)
    , m_slots(io, options.slots)
{ }

asio::awaitable<http_reply> worker_service::answer(const http_request &request, tcp::socket &peer)
{
    http_reply reply;
    if (request.target() == "/healthz") {
        reply = describeHealth();
    } else if (request.target() == "/load") {
        reply = describeLoad();
    } else {
        reply = co_await work(request, peer);
    }
    reply.message.set("X-Worker", m_options.name);
    co_return reply;
}

asio::awaitable<http_reply> worker_service::work(const http_request &request, tcp::socket &peer)
{
    const std::string id = requestIdOf(request);
    auto entered = co_await (m_slots.enter() || awaitPeerClosed(peer));
    if (entered.index() == 1 || !std::get<0>(entered).held()) {
        co_return http_reply{{}, delivery::dropped};
    }
    const std::string idempotent = headerOf(request, "X-Test-Idempotent");
    logLine("start", id, idempotent.empty() ? "yes" : idempotent);
    const std::chrono::milliseconds cost(headerNumber(request, "X-Test-Cost-Ms", 0));
    const std::chrono::milliseconds allowed(headerNumber(request, "X-Deadline-Ms", std::chrono::milliseconds(NoDeadline).count()));
    if (cost.count() > 0) {
        const auto ended = co_await (pauseFor(std::min(cost, allowed)) || awaitPeerClosed(peer));
        if (ended.index() == 1) {
            logLine("end", id, "cancelled");
            co_return http_reply{{}, delivery::dropped};
        }
    }
    if (cost > allowed) {
        logLine("end", id, "deadline");
        co_return makeReply(http::status::gateway_timeout, "deadline passed\n");
    }
    logLine("end", id, "answered");
    const std::size_t bytes = headerNumber(request, "X-Test-Bytes", m_options.defaultBytes);
    co_return makeReply(http::status::ok, makeAnswerBody(id, bytes));
}

http_reply worker_service::describeHealth() const
{
    return makeReply(http::status::ok, R"({"status":"ok"})", "application/json");
}

http_reply worker_service::describeLoad() const
{
    const std::string body = fmt::format(R"({{"slots":{},"busy":{},"queued":{}}})", m_options.slots, m_slots.busy(), m_slots.waiting());
    return makeReply(http::status::ok, body, "application/json");
}

} // namespace dandelionstall::standins
