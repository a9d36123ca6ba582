#include "closed_load.h"

#include "answer_body.h"
#include "caller_connections.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>

namespace dandelionstall::standins {

namespace {

constexpr std::chrono::seconds AnswerTimeout{5};

asio::awaitable<void> callUntil(caller_connections &connections, const closed_load &load, std::uint32_t caller, state::time_point end, closed_result &result)
{
    for (std::uint64_t i = 0; state::clock::now() < end; ++i) {
        const std::string id = fmt::format("c{}-{}", caller, i);
        http_request request(http::verb::get, load.path, 11);
        request.set(http::field::host, "service.example");
        request.set("X-Request-Id", id);
        request.set("X-Test-Bytes", fmt::to_string(load.bytes));
        const state::time_point sent = state::clock::now();
        const exchange_result answer = co_await connections.exchange(load.node, std::move(request), AnswerTimeout);
        const bool correct = answer.error.empty() && verifyAnswerBody(id, load.bytes, answer.answer.body()) == body_verdict::own;
        if (correct) {
            result.latencies.push_back(std::chrono::duration_cast<std::chrono::microseconds>(state::clock::now() - sent));
        } else {
            ++result.failures;
        }
    }
}

} // namespace

closed_result runClosedLoad(const closed_load &load)
{
    asio::io_context io(1);
    caller_connections connections(io, "");
    closed_result result;
    const state::time_point start = state::clock::now();
    for (std::uint32_t caller = 0; caller < load.callers; ++caller) {
        asio::co_spawn(io, callUntil(connections, load, caller, start + load.length, result), asio::detached);
    }
    io.run();
    const std::chrono::duration<double> elapsed = state::clock::now() - start;
    result.perSecond = static_cast<double>(result.latencies.size()) / elapsed.count();
    return result;
}

} // namespace dandelionstall::standins
