// Promise: what a worker states in its answers binds for as long as it says so and for its lifetime, a value that cannot be used does no
// harm, and a request for which no worker has room is refused at once with the time at which one has.
//
// Mechanisms: worker_signals, told_signals and the sidecar's worker_limit, on a platform whose workers announce themselves.
#include "expect.h"
#include "store_fleet.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <cstdlib>
#include <thread>

using namespace dandelionstall::testing;

namespace {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t Nodes = store_fleet::Nodes;
constexpr std::chrono::seconds InForceTime{2};
constexpr milliseconds RefusalTime{200}; // a request that cannot be served waits no longer for its refusal

double retryAfterOf(const std::string &answer)
{
    const std::string name = "Retry-After: ";
    const std::size_t at = answer.find(name);
    return at == std::string::npos ? 0.0 : std::strtod(answer.c_str() + at + name.size(), nullptr);
}

// Sends requests through all nodes until the worker at the place has run one.
bool reachesWorker(const store_fleet &fleet, std::size_t place)
{
    const std::size_t before = fleet.runsAt(place);
    return waitUntil([&] {
        for (std::size_t i = 0; i < Nodes; ++i) {
            fleet.statusOf(i, "/read/1");
        }
        return fleet.runsAt(place) > before;
    });
}

} // namespace

Test(worker_signals, a_new_lifetime_under_the_same_id_ends_leaving_and_limit)
{
    store_fleet fleet;
    fleet.start();
    fleet.setWorkerFault(1, "leaving=1\nrate_limit=0.1");
    cr_assert(reachesWorker(fleet, 1));
    cr_assert(waitUntil([&] { return not fleet.linesWith("name=told_leaving worker=w1").empty(); }));
    const std::size_t runs = fleet.runsAt(1);
    for (int i = 0; i < 40; ++i) {
        cr_assert(fleet.statusOf(static_cast<std::size_t>(i) % Nodes, "/read/1") == "HTTP/1.1 200");
    }
    cr_assert(fleet.runsAt(1) == runs, "%zu runs at a leaving worker", fleet.runsAt(1) - runs);
    fleet.startWorker(1, "w1"); // another process, which holds and states nothing of before
    fleet.announce(1, "w1", "ready", 2);
    cr_assert(reachesWorker(fleet, 1));
    cr_assert(waitUntil([&] { return not fleet.linesWith("name=limit_lifted worker=w1 source=lifetime").empty(); }));
}

Test(worker_signals, a_limit_ends_when_the_worker_states_none)
{
    store_fleet fleet;
    fleet.start();
    fleet.setWorkerFault(1, "rate_limit=2");
    cr_assert(reachesWorker(fleet, 1));
    cr_assert(waitUntil([&] { return not fleet.linesWith("name=limit_learned worker=w1 rate=2").empty(); }));
    fleet.setWorkerFault(1, "");
    cr_assert(reachesWorker(fleet, 1));
    cr_assert(waitUntil([&] { return not fleet.linesWith("name=limit_lifted worker=w1 source=answer").empty(); }));
    cr_assert(waitUntil([&] { return not fleet.linesWith("name=told_limit_ended worker=w1").empty(); }));
}

Test(worker_signals, values_that_cannot_be_used_get_a_line_and_do_no_harm)
{
    store_fleet fleet;
    fleet.start();
    for (const char *value : {"-1", "many", "1e400", "99999999999", "2|2"}) {
        for (std::size_t place = 0; place < Nodes; ++place) {
            fleet.setWorkerFault(place, fmt::format("rate_limit={}\nleaving=perhaps", value));
        }
        for (int i = 0; i < 40; ++i) {
            cr_assert(fleet.statusOf(static_cast<std::size_t>(i) % Nodes, "/read/1") == "HTTP/1.1 200", "%s", value);
        }
    }
    cr_assert(waitUntil([&] { return not fleet.linesWith("value=\"Server-Limit: 2, Server-Limit: 2, Server-Leaving: perhaps\"").empty(); }));
    cr_assert(fleet.linesWith("name=limit_learned").empty());
    cr_assert(fleet.linesWith("name=worker_states_leaving").empty());
    // An unusable value does not end the limit in force either.
    fleet.setWorkerFault(1, "rate_limit=1");
    cr_assert(reachesWorker(fleet, 1));
    cr_assert(waitUntil([&] { return not fleet.linesWith("name=limit_learned worker=w1").empty(); }));
    fleet.setWorkerFault(1, "rate_limit=-1");
    cr_assert(reachesWorker(fleet, 1));
    std::this_thread::sleep_for(InForceTime);
    cr_assert(fleet.linesWith("name=limit_lifted").empty());
}

Test(worker_signals, without_room_at_any_worker_a_request_is_refused_at_once_with_a_true_time)
{
    store_fleet fleet;
    fleet.start();
    for (std::size_t place = 0; place < Nodes; ++place) {
        fleet.setWorkerFault(place, "rate_limit=0.5");
    }
    const auto hasLearned = [&] {
        fleet.statusOf(0, "/read/1");
        bool all = true;
        for (std::size_t place = 0; place < Nodes; ++place) {
            all = all && not fleet.linesWith(fmt::format("name=limit_learned worker=w{}", place)).empty();
        }
        return all;
    };
    cr_assert(waitUntil(hasLearned));
    std::size_t refused = 0;
    for (int i = 0; i < 12 || refused == 0; ++i) {
        const auto sentAt = clock_type::now();
        const std::string answer = fleet.request(0, "POST", "/book/1", fmt::format("limited-{}", i));
        const auto waited = std::chrono::duration_cast<milliseconds>(clock_type::now() - sentAt);
        if (answer.starts_with("HTTP/1.1 503")) {
            ++refused;
            cr_assert(answer.find("X-Dandelionstall-Reason: worker_limited") != std::string::npos, "%s", answer.c_str());
            cr_assert(answer.find("X-Dandelionstall-Run: not_run") != std::string::npos, "%s", answer.c_str());
            cr_assert(waited < RefusalTime, "refused after %lld ms", static_cast<long long>(waited.count()));
            cr_assert(retryAfterOf(answer) > 0.0 && retryAfterOf(answer) <= 10.0, "%s", answer.c_str());
        }
        cr_assert_lt(i, 100, "nothing was refused");
    }
    // Whoever returns at the stated time, and is alone, is served.
    const std::string last = fleet.request(0, "POST", "/book/1", "limited-last");
    const double retryAfter = retryAfterOf(last);
    cr_assert(retryAfter > 0.0, "%s", last.c_str());
    std::this_thread::sleep_for(std::chrono::duration<double>(retryAfter + 0.05));
    const std::string answer = fleet.request(0, "POST", "/book/1", "limited-again");
    cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
}
