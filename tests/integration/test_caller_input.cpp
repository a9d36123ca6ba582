// Invalid input from callers over real sockets: the node refuses it with a reason or closes the connection, and keeps
// serving other requests.
//
// Mechanisms: the parser's size limits, the check for ambiguous body lengths, and the header timeout.
#include "expect.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace dandelionstall::testing;
using boost::asio::ip::tcp;

namespace {

constexpr std::size_t HeaderOverLimit = 70'000; // bytes; the node's limit is 16 KB

// Sends the bytes on a new connection and returns everything that the node sends until it closes the connection.
std::string sendBytes(const std::string &ip, const std::string &bytes, bool closeAfter = false)
{
    boost::asio::io_context io;
    tcp::socket socket(io);
    socket.connect(tcp::endpoint(boost::asio::ip::make_address(ip), CallerPort));
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
    if (closeAfter) {
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ignored);
    return answer;
}

void expectStatus(const std::string &answer, const std::string &status, const std::string &reason)
{
    cr_assert(answer.starts_with("HTTP/1.1 " + status), "expected %s, got: %s", status.c_str(), answer.c_str());
    cr_assert(answer.find("X-Dandelionstall-Reason: " + reason) != std::string::npos, "expected %s in: %s", reason.c_str(), answer.c_str());
    cr_assert(answer.find("X-Dandelionstall-Run: not_run") != std::string::npos, "the answer does not say that the request was not run: %s", answer.c_str());
}

} // namespace

Test(caller_input, is_refused_with_a_reason_and_the_node_keeps_serving)
{
    fleet_plan plan = threeDataCentres();
    plan.faultProxy = false;
    plan.nodeSettings = "[limits]\nheader_timeout = 1s\n";
    fleet fleet(plan);
    fleet.start();
    const std::string ip = fleet.node(0).ip;
    const std::string post = "POST /book HTTP/1.1\r\nHost: x\r\n";

    expectStatus(sendBytes(ip, post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"), "400", "bad_request");
    expectStatus(sendBytes(ip, post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n"), "400", "bad_request");
    expectStatus(sendBytes(ip, post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"), "400", "bad_request");
    // Unknown transfer coding: the bytes of the body must not be parsed as the next request.
    expectStatus(sendBytes(ip, post + "Transfer-Encoding: xchunked\r\n\r\nGET /lookup HTTP/1.1\r\nHost: x\r\n\r\n"), "400", "bad_request");
    expectStatus(sendBytes(ip, post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n"), "400", "bad_request");
    for (const char *value : {"-5", "soon", "1.5", "5 ms"}) {
        const std::string deadlineRequest = "GET /lookup HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Deadline-Ms: " + std::string(value) + "\r\n\r\n";
        expectStatus(sendBytes(ip, deadlineRequest), "400", "bad_request");
    }
    expectStatus(sendBytes(ip, "GET /lookup HTTP/1.1\r\n\r\n"), "400", "bad_request");
    expectStatus(sendBytes(ip, "GET /lookup HTTP/1.1\r\nHost: x\r\nA: " + std::string(HeaderOverLimit, 'a') + "\r\n\r\n"), "400", "bad_request");
    expectStatus(sendBytes(ip, post + "Content-Length: 99999999\r\n\r\n"), "413", "body_too_large");
    expectStatus(sendBytes(ip, "\x16\x03\x01 no HTTP\r\n\r\n"), "400", "bad_request");
    cr_assert(sendBytes(ip, "GET /lookup HTTP/1.1\r\nHo").empty(), "an incomplete header was answered");
    cr_assert(sendBytes(ip, post + "Content-Length: 10\r\n\r\nabc", true).empty(), "a truncated body was answered");

    const std::string good = sendBytes(ip, "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\nX-Test-Bytes: 4\r\nConnection: close\r\n\r\n");
    cr_assert(good.starts_with("HTTP/1.1 200"), "the node stopped serving: %s", good.c_str());
}

Test(caller_input, a_chunk_header_without_end_costs_little_memory)
{
    constexpr std::size_t ManyBytes = 64 * 1024 * 1024;
    constexpr std::size_t MemoryGrowth = 16 * 1024 * 1024;
    fleet_plan plan = threeDataCentres();
    plan.faultProxy = false;
    fleet fleet(plan);
    fleet.start();
    const std::size_t before = fleet.node(0).process.usage().residentBytes;
    const std::string head = "POST /book HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n1;";
    std::atomic<bool> sent{false};
    std::thread caller([&] {
        sendBytes(fleet.node(0).ip, head + std::string(ManyBytes, 'a'));
        sent = true;
    });
    std::size_t most = before;
    while (!sent) {
        most = std::max(most, fleet.node(0).process.usage().residentBytes);
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    caller.join();
    cr_assert_leq(most, before + MemoryGrowth, "memory grew from %zu to %zu bytes", before, most);
}

// Guards against a request with a byte over 0x7F in a header, which was answered 504 or 503 and reached no worker.
Test(caller_input, headers_with_bytes_that_are_not_utf8_reach_the_worker)
{
    fleet_plan plan = threeDataCentres();
    plan.faultProxy = false;
    fleet fleet(plan);
    fleet.start();
    for (const char *request : {"GET /lookup", "POST /book"}) {
        const std::string text = std::string(request) + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\nX-Name: J\xE9r\xF4me\r\nConnection: close\r\n\r\n";
        const std::string answer = sendBytes(fleet.node(0).ip, text);
        cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
    }
}

// Guards against an upload that takes longer than header_timeout, which was cut although it went on all the time.
Test(caller_input, a_slow_body_is_read_until_it_stops_or_its_time_is_up)
{
    constexpr auto Pause = std::chrono::milliseconds(500);
    fleet_plan plan = threeDataCentres();
    plan.faultProxy = false;
    for (route_plan &route : plan.routes) {
        route.settings["timeout"] = "10s";
    }
    plan.nodeSettings = "[limits]\nheader_timeout = 1s\nidle_timeout = 2s\n";
    fleet fleet(plan);
    fleet.start();
    const auto sendSlowly = [&](const std::string &timeLeft, int parts) {
        boost::asio::io_context io;
        tcp::socket socket(io);
        socket.connect(tcp::endpoint(boost::asio::ip::make_address(fleet.node(0).ip), CallerPort));
        boost::system::error_code error;
        std::string bytes
            = "POST /book HTTP/1.1\r\nHost: x\r\nX-Request-Id: slow\r\nConnection: close\r\nContent-Length: 60\r\nX-Deadline-Ms: " + timeLeft + "\r\n\r\n";
        for (int i = 0; i < parts && !error; ++i) {
            boost::asio::write(socket, boost::asio::buffer(bytes), error);
            bytes = "0123456789";
            std::this_thread::sleep_for(Pause);
        }
        boost::asio::write(socket, boost::asio::buffer(bytes), error);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        return answer;
    };
    const std::string whole = sendSlowly("8000", 6); // 3 s
    cr_assert(whole.starts_with("HTTP/1.1 200"), "a body that took three times header_timeout: %s", whole.c_str());
    const auto before = std::chrono::steady_clock::now();
    cr_assert(sendSlowly("8000", 2).empty(), "a body that stopped was answered");
    cr_assert(sendSlowly("1500", 6).empty(), "a body that ended after the time of its request was answered");
    cr_assert(std::chrono::steady_clock::now() - before < std::chrono::seconds(9));
}
