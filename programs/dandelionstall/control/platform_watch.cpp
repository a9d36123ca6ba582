#include "platform_watch.h"

#include <dandelionstall/protocol/consul_api.h>
#include <dandelionstall/state/text.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>
#include <fmt/format.h>

namespace dandelionstall {

namespace asio = boost::asio;
using transport::event;

namespace {

constexpr std::chrono::seconds AnswerGrace{4};           // added to the wait to form the deadline of a call
constexpr std::chrono::milliseconds InitialBackoff{200}; // base of the exponential backoff
constexpr std::chrono::milliseconds MaxBackoff{5'000};
constexpr std::uint32_t MaxDoublings = 6;

} // namespace

platform_watch::platform_watch(
    asio::io_context &io, const transport::platform_client &client, transport::metrics &metrics, watch_options options, std::uint64_t seed)
    : m_client(client)
    , m_metrics(metrics)
    , m_options(std::move(options))
    , m_timer(io)
    , m_random(seed)
{ }

void platform_watch::start(answer_handler handler)
{
    asio::co_spawn(m_timer.get_executor(), run(std::move(handler)), asio::detached);
}

void platform_watch::setActive(bool active)
{
    if (active && !m_active) {
        m_index = 0; // read the current value without waiting: it may have changed while the watch was inactive
        m_timer.cancel();
    }
    m_active = active;
}

void platform_watch::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

asio::awaitable<void> platform_watch::run(answer_handler handler)
{
    while (!m_stopped) {
        if (!m_active) {
            co_await pauseUntil(state::time_point::max());
            continue;
        }
        const state::time_point earliestNext = state::clock::now() + m_options.minInterval;
        const bool answered = co_await callOnce(handler);
        co_await pauseUntil(answered ? earliestNext : state::clock::now() + nextBackoff());
    }
}

asio::awaitable<bool> platform_watch::callOnce(const answer_handler &handler)
{
    const std::uint64_t index = m_index;
    const state::time_point deadline = state::clock::now() + (index == 0 ? std::chrono::seconds(0) : QueryWait) + AnswerGrace;
    m_metrics.incrementCounter("platform_calls");
    absl::StatusOr<transport::platform_answer> answer = co_await m_client.get(m_options.target(index, QueryWait), deadline);
    recordOutcome(answer.status());
    if (!answer.ok()) {
        m_index = 0;
        co_return false;
    }
    m_index = protocol::nextIndex(index, answer->index);
    if (index != 0 && m_index == index) {
        answer->body.clear();
    }
    const bool accepted = co_await handler(*std::move(answer));
    m_unusableAnswers = accepted ? 0 : m_unusableAnswers + 1;
    m_index = accepted ? m_index : 0;
    co_return accepted;
}

asio::awaitable<void> platform_watch::pauseUntil(state::time_point until)
{
    if (m_stopped || until <= state::clock::now()) {
        co_return;
    }
    m_timer.expires_at(until);
    co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

void platform_watch::recordOutcome(const absl::Status &status)
{
    if (status.ok()) {
        if (m_failures > 0) {
            transport::logEvent(event::watch_recovered, {{"watch", m_options.name}, {"failures", fmt::to_string(m_failures)}});
        }
        m_failures = 0;
        return;
    }
    m_metrics.incrementCounter("platform_calls_failed");
    if (m_failures++ == 0) {
        transport::logEvent(event::watch_failed, {{"watch", m_options.name}, {"reason", std::string(state::messageOf(status))}});
    }
}

std::chrono::milliseconds platform_watch::nextBackoff()
{
    const auto backoffLimit = std::min(MaxBackoff, InitialBackoff * (1U << std::min(std::max(m_failures, m_unusableAnswers), MaxDoublings)));
    const auto half = static_cast<std::uint32_t>(backoffLimit.count() / 2);
    return std::chrono::milliseconds(half + m_random(half + 1));
}

} // namespace dandelionstall
