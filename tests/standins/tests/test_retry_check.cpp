// The checker of repeated work must find each limit that is broken, and nothing in traffic that keeps them.
#include "retry_check.h"

#include <criterion/criterion.h>

#include <fmt/format.h>

using namespace dandelionstall::standins;
using namespace std::chrono_literals;

namespace {

constexpr repeat_limit Limit{0.2, 4.0, 10s};

retry_traffic twoWorkersOfAPool()
{
    retry_traffic traffic;
    traffic.pool = {{"a1", "a"}, {"a2", "a"}, {"b1", "b"}};
    return traffic;
}

void send(retry_traffic &traffic, const std::string &id, std::chrono::microseconds at, std::chrono::milliseconds left = 1000ms)
{
    traffic.requests.push_back({id, "a", 2, false, "", "", at, left});
}

void arrive(retry_traffic &traffic, const std::string &id, const std::string &worker, std::chrono::microseconds at, std::chrono::milliseconds left = 900ms)
{
    traffic.workers.arrivals.push_back({id, "/x", worker, at, left});
    traffic.workers.runs.push_back({id, worker, at});
}

bool breaks(const retry_traffic &traffic, const std::string &rule)
{
    const auto found = violationsOf(judgeRetries(traffic, Limit));
    return std::any_of(found.begin(), found.end(), [&](const violation &each) { return each.rule == rule; });
}

// Requests that are sent to both workers, a hundred milliseconds apart, beginning at the given time.
void repeatMany(retry_traffic &traffic, int count, std::chrono::microseconds from, std::chrono::microseconds gap)
{
    for (int i = 0; i < count; ++i) {
        const std::string id = fmt::format("r{}-{}", from.count(), i);
        send(traffic, id, from + i * gap);
        arrive(traffic, id, "a1", from + i * gap);
        arrive(traffic, id, "a2", from + i * gap + 100ms);
    }
}

} // namespace

Test(retry_check, repeats_beyond_the_allowance_of_a_window_are_found)
{
    retry_traffic kept = twoWorkersOfAPool();
    repeatMany(kept, 5, 20s, 10ms); // 5 repeats, 0.2 * 5 + 4 allowed
    cr_assert(violationsOf(judgeRetries(kept, Limit)).empty());
    retry_traffic broken = twoWorkersOfAPool();
    repeatMany(broken, 6, 20s, 10ms);
    cr_assert(breaks(broken, "retry_allowance"));
    retry_traffic apart = twoWorkersOfAPool();
    repeatMany(apart, 5, 20s, 10ms);
    repeatMany(apart, 5, 41s, 10ms);
    cr_assert(violationsOf(judgeRetries(apart, Limit)).empty(), "two windows that do not touch");
}

Test(retry_check, an_arrival_that_the_worker_rejects_is_a_repeat)
{
    retry_traffic traffic = twoWorkersOfAPool();
    repeatMany(traffic, 6, 20s, 10ms);
    traffic.workers.runs.clear();
    cr_assert(breaks(traffic, "retry_allowance"));
}

Test(retry_check, requests_of_the_window_before_count)
{
    retry_traffic traffic = twoWorkersOfAPool();
    repeatMany(traffic, 6, 20s, 10ms);
    for (int i = 0; i < 10; ++i) {
        send(traffic, fmt::format("earlier-{}", i), 12s);
    }
    cr_assert(violationsOf(judgeRetries(traffic, Limit)).empty());
}

Test(retry_check, calls_of_repeated_runs_are_repeats_at_the_called_pool)
{
    retry_traffic traffic = twoWorkersOfAPool();
    send(traffic, "parent", 20s);
    arrive(traffic, "parent", "a1", 20s);
    arrive(traffic, "parent", "a2", 20s + 100ms);
    for (int i = 0; i < 6; ++i) {
        const std::string id = fmt::format("call-{}", i);
        traffic.requests.push_back({id, "b", 2, false, "parent", "a1", 20s + 10ms, 500ms});
        arrive(traffic, id, "b1", 20s + 20ms);
    }
    cr_assert_not(breaks(traffic, "retry_allowance"), "calls of the first run");
    for (sent_request &request : traffic.requests) {
        request.madeBy = request.parent.empty() ? "" : "a2";
        request.sent = request.parent.empty() ? request.sent : 20s + 110ms;
    }
    cr_assert(breaks(traffic, "retry_allowance"));
    cr_assert_eq(judgeRetries(traffic, Limit).repeats.at("b").calls, 6U);
}

Test(retry_check, more_workers_than_the_route_allows_are_found)
{
    retry_traffic traffic = twoWorkersOfAPool();
    for (int i = 0; i < 4; ++i) {
        const std::string id = fmt::format("r{}", i);
        send(traffic, id, 20s + i * 20s);
        for (const char *worker : {"a1", "a2", "b1"}) {
            arrive(traffic, id, worker, 20s + i * 20s);
        }
    }
    cr_assert(breaks(traffic, "retry_workers"));
    traffic.excusedWorkers = {"b1"};
    cr_assert_not(breaks(traffic, "retry_workers"), "a worker that has ended is not counted");
    traffic.excusedWorkers.clear();
    traffic.requests.pop_back();
    cr_assert_not(breaks(traffic, "retry_workers"), "three are tolerated");
}

Test(retry_check, more_time_than_is_left_is_found)
{
    const auto generous = [](int count, std::chrono::milliseconds handed, std::chrono::milliseconds after) {
        retry_traffic traffic = twoWorkersOfAPool();
        for (int i = 0; i < count; ++i) {
            const std::string id = fmt::format("r{}", i);
            send(traffic, id, 20s + i * 20s);
            arrive(traffic, id, "a1", 20s + i * 20s);
            arrive(traffic, id, "a2", 20s + i * 20s + after, handed);
        }
        return traffic;
    };
    cr_assert(breaks(generous(21, 1501ms, 100ms), "retry_time_left"), "half a second more than the client stated");
    cr_assert_not(breaks(generous(20, 1501ms, 100ms), "retry_time_left"), "twenty are tolerated");
    cr_assert_not(breaks(generous(21, 1500ms, 100ms), "retry_time_left"));
    cr_assert(breaks(generous(21, 901ms, 600ms), "retry_time_left"), "sent once more 600 ms later, with an end half a second after that of the client");
    cr_assert_not(breaks(generous(21, 900ms, 600ms), "retry_time_left"));
    retry_traffic unstated = generous(21, 900ms, 100ms);
    for (arrival &each : unstated.workers.arrivals) {
        each.handed.reset();
    }
    cr_assert(breaks(unstated, "retry_time_left"), "no time at all");
}
