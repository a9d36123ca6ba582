#include "worker_calls.h"

#include "run_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/deferred.hpp>
#include <boost/asio/experimental/parallel_group.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>

namespace dandelionstall::standins {

worker_calls::worker_calls(asio::io_context &io, worker_call_plan plan, std::string worker)
    : m_io(io)
    , m_plan(std::move(plan))
    , m_worker(std::move(worker))
    , m_connections(io, "")
    , m_idStart(fmt::format("{}-{:x}", m_worker, steadyNow().count()))
{ }

std::string worker_calls::nextId(const std::string &parent)
{
    const std::string own = fmt::format("{}-{}", m_idStart, ++m_sequence);
    return m_plan.namesParents ? parent + "." + own : own;
}

asio::awaitable<bool> worker_calls::makeCall(std::string parent, state::time_point deadline)
{
    const std::string id = nextId(parent);
    auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - state::clock::now());
    timeout = m_plan.longest.count() > 0 ? std::min(timeout, m_plan.longest) : timeout;
    http_request request(http::verb::get, m_plan.path, 11);
    request.set(http::field::host, m_plan.host);
    request.set(m_plan.idHeader, id);
    request.set(m_plan.timeLeftHeader, fmt::to_string(timeout.count()));
    request.set("X-Test-Cost-Ms", fmt::to_string(m_plan.cost.count()));
    fmt::print("call {} {} {} {}\n", id, parent, steadyNow().count(), timeout.count());
    std::fflush(stdout);
    const exchange_result result = co_await m_connections.exchange(m_plan.node, std::move(request), timeout);
    co_return result.error.empty() && result.answer.result() == http::status::ok;
}

asio::awaitable<bool> worker_calls::makeCalls(std::string parent, std::uint32_t count, std::chrono::milliseconds timeout)
{
    const state::time_point deadline = state::clock::now() + timeout;
    std::uint32_t answered = 0;
    if (!m_plan.together) {
        for (std::uint32_t i = 0; i < count; ++i) {
            answered += co_await makeCall(parent, deadline) ? 1 : 0;
        }
        co_return answered == count;
    }
    using call_operation = decltype(asio::co_spawn(m_io, makeCall(parent, deadline), asio::deferred));
    std::vector<call_operation> operations;
    for (std::uint32_t i = 0; i < count; ++i) {
        operations.push_back(asio::co_spawn(m_io, makeCall(parent, deadline), asio::deferred));
    }
    if (!operations.empty()) {
        const auto [order, errors, results]
            = co_await asio::experimental::make_parallel_group(std::move(operations)).async_wait(asio::experimental::wait_for_all(), asio::use_awaitable);
        answered = static_cast<std::uint32_t>(std::count(results.begin(), results.end(), true));
    }
    co_return answered == count;
}

} // namespace dandelionstall::standins
