// Promise: a request that a stopping node takes late is either finished or refused at once, truly as not run; none is cut at the end of the
// stop while a worker is at work on it.
//
// Mechanism: once a bounded stop has gone on for LeaveGrace, the ingress passes a request on only if its own time ends before the stop does.
#include "store_fleet.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <csignal>
#include <thread>

using namespace dandelionstall::testing;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds LongWork{2600}; // longer than what is left of the stop
constexpr milliseconds ShortWork{100};
constexpr milliseconds Budget{8000};    // of the callers; longer than the stop takes
constexpr milliseconds StopGrace{6000}; // as in the settings of store_fleet
constexpr milliseconds SettleTime{2000};
constexpr milliseconds AtOnce{700}; // within which a late request is refused

// One request and when its parts are sent, in time after SIGTERM.
struct late_call {
    std::string name;
    std::string method;
    milliseconds connectAt{0};
    milliseconds headAt{0};
    milliseconds bodyAt{0}; // the last byte of the body
    std::string id = {};
    std::string answer = {};      // whole text up to the end of the connection
    milliseconds answeredAt = {}; // after SIGTERM
};

std::vector<late_call> lateCalls()
{
    std::vector<late_call> calls;
    for (const char *method : {"POST", "GET"}) {
        for (const milliseconds head : {3200ms, 3500ms, 3800ms}) {
            calls.push_back({fmt::format("{} on an open connection at {} ms", method, head.count()), method, 2800ms, head, head});
        }
        for (const milliseconds connect : {3500ms, 5000ms, 5500ms, 5900ms}) {
            calls.push_back({fmt::format("{} on a new connection at {} ms", method, connect.count()), method, connect, connect, connect});
        }
        for (const milliseconds body : {3600ms, 4600ms}) {
            calls.push_back({fmt::format("{} with a body that ends at {} ms", method, body.count()), method, 2500ms, 2500ms, body});
        }
        calls.push_back({fmt::format("{} with a body that does not end", method), method, 2500ms, 2500ms, 20s});
    }
    for (std::size_t i = 0; i < calls.size(); ++i) {
        calls[i].id = fmt::format("late-{}", i);
    }
    return calls;
}

tcp::endpoint endpointOf(const std::string &address)
{
    const std::size_t colon = address.find(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoul(address.substr(colon + 1)))};
}

void play(const std::string &address, std::chrono::steady_clock::time_point stoppedAt, milliseconds work, late_call &call)
{
    boost::asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code error;
    std::this_thread::sleep_until(stoppedAt + call.connectAt);
    socket.connect(endpointOf(address), error);
    std::this_thread::sleep_until(stoppedAt + call.headAt);
    const std::string head = fmt::format("{} /{}/{} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {}\r\nX-Request-Id: {}\r\nDeadline-Remaining: {}\r\n"
                                         "X-Test-Cost-Ms: {}\r\nContent-Length: 2\r\n\r\na",
                                         call.method,
                                         call.method == "POST" ? "book" : "read",
                                         call.id,
                                         call.id,
                                         call.id,
                                         Budget.count(),
                                         work.count());
    boost::asio::write(socket, boost::asio::buffer(head), error);
    if (call.bodyAt < StopGrace) {
        std::this_thread::sleep_until(stoppedAt + call.bodyAt);
        boost::asio::write(socket, boost::asio::buffer("b", 1), error);
    }
    boost::asio::read(socket, boost::asio::dynamic_buffer(call.answer), error);
    call.answeredAt = std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - stoppedAt);
}

bool hasRun(const store_fleet &fleet, const std::string &id)
{
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        if (fleet.workerLog(node).find("start " + id + " ") != std::string::npos) {
            return true;
        }
    }
    return false;
}

// timeout: of the routes, within which callers get their answers.
std::vector<late_call> stopAndPlay(store_fleet &fleet, milliseconds timeout, milliseconds work)
{
    fleet.start();
    fleet.configure(5, "read", timeout);
    std::this_thread::sleep_for(SettleTime);
    std::vector<late_call> calls = lateCalls();
    fleet.node(0).signal(SIGTERM);
    const auto stoppedAt = std::chrono::steady_clock::now();
    std::vector<std::thread> threads;
    threads.reserve(calls.size());
    for (late_call &call : calls) {
        threads.emplace_back([&fleet, &call, stoppedAt, work] { play(fleet.callers(0), stoppedAt, work, call); });
    }
    for (std::thread &each : threads) {
        each.join();
    }
    cr_assert(fleet.node(0).awaitExit(StopGrace));
    std::this_thread::sleep_for(work); // what was refused must not run later either
    return calls;
}

} // namespace

Test(late_requests_of_a_stop, none_is_cut_while_a_worker_is_at_work_on_it)
{
    store_fleet fleet;
    const std::vector<late_call> calls = stopAndPlay(fleet, Budget, LongWork);
    std::string cut;
    for (const late_call &call : calls) {
        const bool isServed = call.answer.starts_with("HTTP/1.1 200");
        if (hasRun(fleet, call.id) && !isServed) {
            cut += fmt::format("\n{}: run, and ended at {} ms with \"{}\"", call.name, call.answeredAt.count(), call.answer.substr(0, 24));
        }
    }
    cr_assert(cut.empty(), "%s", cut.c_str());
}

Test(late_requests_of_a_stop, those_that_were_read_whole_are_refused_at_once_with_the_time_to_come_back)
{
    store_fleet fleet;
    const std::vector<late_call> calls = stopAndPlay(fleet, Budget, LongWork);
    std::size_t refused = 0;
    for (const late_call &call : calls) {
        if (call.answer.empty()) {
            cr_assert(not(hasRun(fleet, call.id)), "%s got no answer and has run", call.name.c_str());
            continue; // there was nobody to take the connection, or the node closed it without having read a whole request
        }
        cr_assert(call.answer.starts_with("HTTP/1.1 503"), "%s: %s", call.name.c_str(), call.answer.c_str());
        cr_assert(call.answer.find("\r\nRetry-After: ") != std::string::npos, "%s: %s", call.name.c_str(), call.answer.c_str());
        cr_assert(call.answeredAt < std::min(call.bodyAt, StopGrace) + AtOnce,
                  "%s: answered at %ld ms",
                  call.name.c_str(),
                  static_cast<long>(call.answeredAt.count()));
        ++refused;
    }
    cr_assert(refused >= 6, "only %zu of %zu calls were answered", refused, calls.size());
}

// A request whose caller waits no longer than the stop lasts is still taken.
Test(late_requests_of_a_stop, those_whose_time_ends_before_the_stop_are_served)
{
    constexpr milliseconds ShortTimeout{2400}; // from the head at 2.5 s
    store_fleet fleet;
    const std::vector<late_call> calls = stopAndPlay(fleet, ShortTimeout, ShortWork);
    std::size_t served = 0;
    for (const late_call &call : calls) {
        served += call.answer.starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    cr_assert(served >= 4, "only %zu of %zu calls were served", served, calls.size());
}
