#include "worker_calls.h"

#include "run_log.h"

#include <fmt/format.h>

#include <cstdio>

namespace dandelionstall::standins {

worker_calls::worker_calls(asio::io_context &io, worker_call_plan plan, std::string worker)
    : m_plan(std::move(plan))
    , m_worker(std::move(worker))
    , m_connections(io, "")
{ }

std::string worker_calls::nextId(const std::string &parent)
{
    const std::string own = fmt::format("{}-{}", m_worker, ++m_sequence);
    return m_plan.namesParents ? parent + "." + own : own;
}

asio::awaitable<bool> worker_calls::makeCalls(std::string parent, std::chrono::milliseconds timeout)
{
    bool allAnswered = true;
    for (std::uint32_t i = 0; i < m_plan.count; ++i) {
        const std::string id = nextId(parent);
        http_request request(http::verb::get, m_plan.path, 11);
        request.set(http::field::host, "service.example");
        request.set("X-Request-Id", id);
        request.set("X-Deadline-Ms", fmt::to_string(timeout.count()));
        fmt::print("call {} {} {}\n", id, parent, steadyNow().count());
        std::fflush(stdout);
        const exchange_result result = co_await m_connections.exchange(m_plan.node, std::move(request), timeout);
        allAnswered = allAnswered && result.error.empty() && result.answer.result() == http::status::ok;
    }
    co_return allAnswered;
}

} // namespace dandelionstall::standins
