// Keeps one blocking query open at the platform's service and hands out each answer, with an empty body when the value has
// not changed.
//
// A failed call is repeated after a pause that doubles up to a limit and is spread by chance. A call that outlives its
// deadline counts as failed, so a connection that went silent is replaced. While inactive a watch makes no calls.
#pragma once

#include <dandelionstall/transport/metrics.h>
#include <dandelionstall/transport/platform_client.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <pcg_random.hpp>
#include <string>

namespace dandelionstall {

struct watch_options {
    std::string name;                                                                  // for logs and counters
    std::function<std::string(std::uint64_t index, std::chrono::seconds wait)> target; // request target of the next call
    std::chrono::milliseconds minInterval{0};                                          // between two calls, also when values change faster
};

class platform_watch
{
public:
    using answer_handler = std::function<boost::asio::awaitable<bool>(transport::platform_answer)>; // runs before the next call; false asks again soon

    platform_watch(
        boost::asio::io_context &io, const transport::platform_client &client, transport::metrics &metrics, watch_options options, std::uint64_t seed);

    void start(answer_handler handler); // once
    void setActive(bool active);        // active from the start
    void stop();                        // no calls after the one under way

private:
    boost::asio::awaitable<void> run(answer_handler handler);
    boost::asio::awaitable<bool> callOnce(const answer_handler &handler); // false when it failed
    boost::asio::awaitable<void> pauseUntil(state::time_point until);
    void recordOutcome(const absl::Status &status);
    std::chrono::milliseconds nextBackoff();

    const transport::platform_client &m_client;
    transport::metrics &m_metrics;
    watch_options m_options;
    boost::asio::steady_timer m_timer;
    pcg32 m_random;
    std::uint64_t m_index = 0;
    std::uint32_t m_failures = 0;        // calls without an answer in a row
    std::uint32_t m_unusableAnswers = 0; // answers in a row that the handler could not use
    bool m_active = true;
    bool m_stopped = false;
};

} // namespace dandelionstall
