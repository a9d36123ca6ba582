// Guards against a stopping node that drops the connections of callers whose requests wait for a worker in another node's queue.
//
// Promise: each request that a stopping node has read whole gets a whole answer before the node ends. A refusal is true: no worker has
// run the request or runs it later.
//
// Mechanism: shortly before the end of a bounded stop, the ingress withdraws attempts that no worker has begun (attempt_withdrawal), and
// answers what is left then by the end.
#include "store_fleet.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <csignal>
#include <map>
#include <thread>

using namespace dandelionstall::testing;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t Nodes = 2;
constexpr std::size_t Requests = 40;                 // more than both workers can do until the end of the stop
constexpr std::chrono::milliseconds WorkTime{900};   // of one request; each worker does three at a time
constexpr std::chrono::milliseconds Budget{9000};    // of the callers; longer than the stop takes
constexpr std::chrono::milliseconds StopGrace{6000}; // as in the settings of store_fleet
constexpr std::chrono::milliseconds SettleTime{2000};

struct call {
    std::string id;
    std::string answer; // whole text up to the end of the connection
    std::chrono::steady_clock::time_point sentAt;
    std::chrono::steady_clock::time_point endedAt;
};

void send(const store_fleet &fleet, std::size_t node, const std::string &method, const std::string &path, call &out)
{
    boost::asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code error;
    const std::string at = fleet.callers(node);
    const std::size_t colon = at.find(':');
    socket.connect(tcp::endpoint(boost::asio::ip::make_address(at.substr(0, colon)), static_cast<unsigned short>(std::stoul(at.substr(colon + 1)))), error);
    const std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {}\r\nX-Request-Id: {}\r\nDeadline-Remaining: {}\r\n"
                                         "X-Test-Cost-Ms: {}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                                         method,
                                         path,
                                         out.id,
                                         out.id,
                                         Budget.count(),
                                         WorkTime.count());
    out.sentAt = std::chrono::steady_clock::now();
    boost::asio::write(socket, boost::asio::buffer(text), error);
    boost::asio::read(socket, boost::asio::dynamic_buffer(out.answer), error);
    out.endedAt = std::chrono::steady_clock::now();
}

// Sends the requests at once, each on a connection of its own, in the background.
class burst
{
public:
    burst(const store_fleet &fleet, std::size_t node, const std::string &method, const std::string &path)
        : m_calls(Requests)
    {
        for (std::size_t i = 0; i < Requests; ++i) {
            m_calls[i].id = fmt::format("wait-{}", i);
            m_threads.emplace_back([&fleet, node, method, path, &out = m_calls[i]] { send(fleet, node, method, path + out.id, out); });
        }
    }

    const std::vector<call> &finish()
    {
        for (std::thread &each : m_threads) {
            each.join();
        }
        m_threads.clear();
        return m_calls;
    }

    ~burst()
    {
        finish();
    }

private:
    std::vector<call> m_calls;
    std::vector<std::thread> m_threads;
};

std::size_t startsOf(const store_fleet &fleet, const std::string &id)
{
    std::size_t count = 0;
    for (std::size_t node = 0; node < fleet.size(); ++node) {
        const std::string log = fleet.workerLog(node);
        for (std::size_t at = log.find("start "); at != std::string::npos; at = log.find("start ", at + 1)) {
            const std::string line = log.substr(at, log.find('\n', at) - at);
            count += (line + " ").find(" " + id + " ") != std::string::npos ? 1 : 0;
        }
    }
    return count;
}

bool isWhole(const call &each)
{
    const std::size_t head = each.answer.find("\r\n\r\n");
    const std::size_t length = each.answer.find("Content-Length: ");
    return head != std::string::npos && length < head && each.answer.size() == head + 4 + std::stoul(each.answer.substr(length + 16));
}

std::map<std::string, std::size_t> statuses(const std::vector<call> &calls)
{
    std::map<std::string, std::size_t> counts;
    for (const call &each : calls) {
        ++counts[each.answer.empty() ? "none" : each.answer.substr(9, 3)];
    }
    return counts;
}

std::string describe(const std::vector<call> &calls)
{
    std::string text;
    for (const auto &[status, count] : statuses(calls)) {
        text += fmt::format(" {} x {}", count, status);
    }
    return text;
}

void prepare(store_fleet &fleet)
{
    fleet.start();
    fleet.configure(5, "read", 10s);
    std::this_thread::sleep_for(SettleTime);
}

void expectAnsweredTruly(const store_fleet &fleet, const std::vector<call> &calls)
{
    std::this_thread::sleep_for(2 * WorkTime); // what was refused must not run later either
    for (const call &each : calls) {
        cr_assert(isWhole(each), "%s got no whole answer;%s", each.id.c_str(), describe(calls).c_str());
        const bool refused = each.answer.starts_with("HTTP/1.1 503") || each.answer.starts_with("HTTP/1.1 429");
        const std::size_t starts = startsOf(fleet, each.id);
        cr_assert(starts <= 1, "%s ran %zu times", each.id.c_str(), starts);
        cr_assert(not(refused && starts > 0), "%s was refused as not run, and ran", each.id.c_str());
    }
}

} // namespace

Test(stop_answers_waiting, requests_in_the_queue_of_another_node_are_answered)
{
    store_fleet fleet(Nodes, 1);
    prepare(fleet);
    burst load(fleet, 0, "POST", "/book/");
    std::this_thread::sleep_for(300ms);
    fleet.node(0).signal(SIGTERM);
    const std::vector<call> &calls = load.finish();
    cr_assert(fleet.node(0).awaitExit(StopGrace));
    expectAnsweredTruly(fleet, calls);
    cr_assert(statuses(calls)["200"] >= 12, "work that has begun is finished;%s", describe(calls).c_str());
    cr_assert(statuses(calls)["503"] > 0, "%s", describe(calls).c_str());
}

Test(stop_answers_waiting, idempotent_requests_in_the_queue_of_another_node_are_answered)
{
    store_fleet fleet(Nodes, 1);
    prepare(fleet);
    burst load(fleet, 0, "GET", "/read/");
    std::this_thread::sleep_for(300ms);
    fleet.node(0).signal(SIGTERM);
    const std::vector<call> &calls = load.finish();
    for (const call &each : calls) {
        cr_assert(isWhole(each), "%s got no whole answer;%s", each.id.c_str(), describe(calls).c_str());
    }
}

Test(stop_answers_waiting, further_signals_change_nothing)
{
    store_fleet fleet(Nodes, 1);
    prepare(fleet);
    burst load(fleet, 0, "POST", "/book/");
    std::this_thread::sleep_for(300ms);
    fleet.node(0).signal(SIGHUP);
    fleet.node(0).signal(SIGTERM);
    std::this_thread::sleep_for(2s);
    fleet.node(0).signal(SIGTERM);
    fleet.node(0).signal(SIGHUP);
    const std::vector<call> &calls = load.finish();
    cr_assert(fleet.node(0).awaitExit(StopGrace));
    expectAnsweredTruly(fleet, calls);
}

Test(stop_answers_waiting, requests_in_the_queue_of_the_stopping_node_are_answered)
{
    store_fleet fleet(Nodes, 1);
    prepare(fleet);
    burst load(fleet, 1, "POST", "/book/");
    std::this_thread::sleep_for(300ms);
    fleet.node(0).signal(SIGTERM);
    const std::vector<call> &calls = load.finish();
    cr_assert(fleet.node(0).awaitExit(StopGrace));
    expectAnsweredTruly(fleet, calls);
}

// The other node neither confirms a withdrawal nor answers a query: the outcome of what waits there is unknown.
Test(stop_answers_waiting, requests_at_a_node_that_does_not_answer_are_answered)
{
    store_fleet fleet(Nodes, 1);
    prepare(fleet);
    burst load(fleet, 0, "POST", "/book/");
    std::this_thread::sleep_for(300ms);
    fleet.node(1).signal(SIGSTOP);
    fleet.node(0).signal(SIGTERM);
    const std::vector<call> &calls = load.finish();
    fleet.node(1).signal(SIGCONT);
    cr_assert(fleet.node(0).awaitExit(StopGrace));
    expectAnsweredTruly(fleet, calls);
    cr_assert(statuses(calls)["504"] > 0, "%s", describe(calls).c_str());
}
