// Keeps one blocking query open at the platform's service and passes each answer to a handler. The body is empty if the value
// has not changed.
//
// A failed call is retried with exponential backoff and random jitter. A call that exceeds its deadline counts as failed, so
// an unresponsive connection is replaced. An inactive watch makes no calls.
#pragma once

#include <dandelionstall/transport/metrics.h>
#include <dandelionstall/transport/platform_client.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <pcg_random.hpp>
#include <string>

namespace dandelionstall {

inline constexpr std::chrono::seconds QueryWait{2}; // maximum time that the service blocks a query

struct watch_options {
    std::string name;                                                                  // name of the watch in log lines
    std::function<std::string(std::uint64_t index, std::chrono::seconds wait)> target; // returns the next request target; index 0: no waiting
    std::chrono::milliseconds minInterval{0};                                          // minimum time between call starts, even if values change faster
};

class platform_watch
{
public:
    // Completes before the next call starts; false means that the answer was unusable and is fetched again after a backoff.
    using answer_handler = std::function<boost::asio::awaitable<bool>(transport::platform_answer)>;

    platform_watch(
        boost::asio::io_context &io, const transport::platform_client &client, transport::metrics &metrics, watch_options options, std::uint64_t seed);

    void start(answer_handler handler); // call once
    void setActive(bool active);        // initially active; reactivation reads the value at once
    void stop();                        // starts no further calls; a running call completes

private:
    boost::asio::awaitable<void> run(answer_handler handler);
    boost::asio::awaitable<bool> callOnce(const answer_handler &handler); // false if the call failed or its answer was unusable
    boost::asio::awaitable<void> pauseUntil(state::time_point until);
    void recordOutcome(const absl::Status &status);
    std::chrono::milliseconds nextBackoff();

    const transport::platform_client &m_client;
    transport::metrics &m_metrics;
    watch_options m_options;
    boost::asio::steady_timer m_timer;
    pcg32 m_random;
    std::uint64_t m_index = 0;           // index of the last value; 0 reads the value without waiting
    std::uint32_t m_failures = 0;        // consecutive calls without an answer
    std::uint32_t m_unusableAnswers = 0; // consecutive answers that the handler could not use
    bool m_active = true;
    bool m_stopped = false;
};

} // namespace dandelionstall
