// Promise: an answer that its worker breaks off, or that is none in the protocol, never reaches a caller as an answer. Work that may be
// repeated is served by another worker; other work is run once, and its caller is not told that it was not run.
//
// Mechanisms: transport/worker_client.h, which takes such an answer for cut. Each test goes from the worker's bytes, through the node
// beside the worker and the node that took the request, to the bytes that the caller got.
#include "raw_worker_thread.h"
#include "store_fleet.h"

#include <boost/beast/http.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <optional>
#include <thread>

using namespace dandelionstall::testing;
using dandelionstall::transport::testing::answer_script;
using dandelionstall::transport::testing::connection_end;
using dandelionstall::transport::testing::scripted_answer;
using std::chrono::milliseconds;

namespace http = boost::beast::http;

namespace {

constexpr std::size_t Nodes = 2;
constexpr std::size_t FirstNode = 0; // takes the requests when the worker beside the other node is the only one
constexpr std::size_t RawNode = 1;   // its worker sends the scripted bytes; takes the requests when there is another worker: it prefers its own
constexpr std::size_t UploadBytes = 8'388'608;
constexpr std::size_t LongPartBytes = 4'194'304; // of an answer; more than a node holds back before it sends the head
constexpr milliseconds Spread{1000};             // both nodes know the configuration and the workers after this
constexpr milliseconds AllowanceTime{15'000};    // sidecars that have started admit no extra repeats for a window and some time

enum class workers { raw_only, raw_and_healthy };

// Two nodes; the worker beside the second one runs the script.
class broken_fleet
{
public:
    broken_fleet(workers which, answer_script script)
        : m_fleet(Nodes, 1)
    {
        m_fleet.start();
        m_fleet.writeConfiguration(R"({"version":5,"services":[{"name":"orders"}],"limits":{"maxBodyBytes":16777216},"virtualHosts":[)"
                                   R"({"host":"shop.example","paths":[{"name":"read","prefix":"/read/","kind":"idempotent","timeoutMs":2000,)"
                                   R"("service":"orders","maxAttempts":2},{"name":"book","prefix":"/book/","kind":"non_idempotent",)"
                                   R"("timeoutMs":2000,"service":"orders","maxAttempts":2}]}]})");
        m_fleet.stopWorker(RawNode);
        if (which == workers::raw_only) {
            m_fleet.removeEntry("w0");
            cr_assert(waitUntil([&] { return m_fleet.linesWith("name=worker_gone").find("w0") != std::string::npos; }));
        }
        m_raw.emplace(m_fleet.workerAddress(RawNode), std::move(script));
        cr_assert(waitUntil([&] { return m_fleet.linesWith("name=config_accepted").find("revision=5") != std::string::npos; }));
        std::this_thread::sleep_for(Spread);
        if (which == workers::raw_and_healthy) {
            cr_assert(waitUntil([&] { return admitsRepeats(); }, AllowanceTime));
        }
    }

    std::string send(std::size_t node, const std::string &method, const std::string &path, std::size_t bodyBytes = 0, const std::string &version = "1.1") const
    {
        return m_fleet.request(node, method, path, "broken", version, std::string(bodyBytes, 'u'));
    }

    std::size_t runsAtRawWorker() const
    {
        return m_raw->requests();
    }

    // The node beside the worker has a line and a count for each answer with the fault.
    void expectNamed(const std::string &fault, std::size_t count) const
    {
        cr_assert(
            waitUntil([&] { return countOf("name=attempt_broken", "fault=" + fault) == count; }, Spread), "%s", m_fleet.linesWith("attempt_broken").c_str());
        const std::string metrics = getHttp(m_fleet.nodeIp(RawNode) + ":7490", "/metrics").body;
        cr_assert(metrics.find(fmt::format("dandelionstall_broken_answers_{}_total {}", fault, count)) != std::string::npos, "%s", metrics.c_str());
    }

private:
    std::size_t countOf(const std::string &event, const std::string &field) const
    {
        const std::string lines = m_fleet.linesWith(event);
        std::size_t count = 0;
        for (std::size_t at = lines.find(field); at != std::string::npos; at = lines.find(field, at + 1)) {
            ++count;
        }
        return count;
    }

    bool admitsRepeats() const
    {
        const std::string lines = m_fleet.linesWith("name=repeat_part_changed");
        return lines.find("worker=w0 workers=2 part=28") != std::string::npos && lines.find("worker=w1 workers=2 part=28") != std::string::npos;
    }

    store_fleet m_fleet;
    std::optional<raw_worker_thread> m_raw;
};

struct caller_view {
    bool isWhole = false; // the answer is complete in the protocol
    unsigned status = 0;
    std::string body;
};

// What a client of HTTP/1.1 makes of the bytes that came until the end of the connection.
caller_view readAsCaller(const std::string &bytes)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.eager(true);
    boost::system::error_code error;
    if (!bytes.empty()) {
        parser.put(boost::asio::buffer(bytes), error);
    }
    caller_view view;
    if (parser.is_header_done()) {
        view.status = parser.get().result_int();
        view.body = parser.get().body();
    }
    view.isWhole = parser.is_done() && !error;
    return view;
}

// A caller that gets no answer of the worker gets a broken connection, or an answer of the node that does not claim that nothing ran.
void expectNoAnswerOfTheWorker(const std::string &bytes, const std::string &what)
{
    const caller_view view = readAsCaller(bytes);
    const std::string seen = fmt::format("{}: {}", what, bytes.substr(0, 300));
    cr_assert(!view.isWhole || view.status == 502 || view.status == 504, "%s", seen.c_str());
    cr_assert(bytes.find("X-Dandelionstall-Run: not_run") == std::string::npos, "%s", seen.c_str());
    cr_assert(!view.isWhole || bytes.find("Server-Stamp") == std::string::npos, "%s", seen.c_str());
}

std::string sealedHead(const std::string &statusLine)
{
    return statusLine + "\r\nServer-Stamp: raw\r\n";
}

// Where the worker that sends the answers is the only one: to requests that may be repeated, and to others.
void expectNoneIsPassedOn(const std::vector<std::string> &answers, const std::string &fault)
{
    std::string bytes;
    const broken_fleet fleet(workers::raw_only, [&bytes](std::string_view) { return scripted_answer{.bytes = bytes}; });
    for (const std::string &answer : answers) {
        bytes = answer;
        for (const char *path : {"/read/1", "/book/1"}) {
            expectNoAnswerOfTheWorker(fleet.send(FirstNode, "GET", path), path + (" " + answer));
        }
    }
    cr_assert_eq(fleet.runsAtRawWorker(), 2 * answers.size(), "each request runs once at the only worker");
    fleet.expectNamed(fault, 2 * answers.size());
}

// Where another worker can serve what may be repeated.
void expectOthersServe(const std::vector<std::string> &answers)
{
    std::string bytes;
    const broken_fleet fleet(workers::raw_and_healthy, [&bytes](std::string_view) { return scripted_answer{.bytes = bytes}; });
    for (const std::string &answer : answers) {
        bytes = answer;
        const caller_view view = readAsCaller(fleet.send(RawNode, "GET", "/read/1"));
        cr_assert(view.isWhole && view.status == 200, "%s: %u", answer.c_str(), view.status);
    }
    cr_assert_gt(fleet.runsAtRawWorker(), 0, "no request met a broken answer");
}

} // namespace

Test(broken_answers, an_upload_that_is_reset_behind_an_early_answer_is_not_answered)
{
    scripted_answer answer;
    const broken_fleet alone(workers::raw_only, [&answer](std::string_view) { return answer; });
    std::size_t sent = 0;
    for (const char *statusLine : {"HTTP/1.1 200 OK", "HTTP/1.0 201 Created", "HTTP/1.1 500 Error"}) {
        for (const connection_end end : {connection_end::reset, connection_end::close}) {
            for (const std::string &part : {std::string("half"), std::string(LongPartBytes, 'h')}) {
                answer = {.bytes = sealedHead(statusLine) + "\r\n" + part, .end = end, .pause = milliseconds(10)};
                const std::string bytes = alone.send(FirstNode, "POST", "/book/1", UploadBytes);
                expectNoAnswerOfTheWorker(bytes, fmt::format("{}, end {}, {} bytes", statusLine, static_cast<int>(end), part.size()));
                ++sent;
            }
        }
    }
    cr_assert_eq(alone.runsAtRawWorker(), sent, "%zu runs of %zu requests that must not run twice", alone.runsAtRawWorker(), sent);
}

Test(broken_answers, an_upload_that_is_reset_behind_an_early_answer_is_repeated_where_that_is_allowed)
{
    const scripted_answer answer{.bytes = sealedHead("HTTP/1.1 200 OK") + "\r\nhalf", .end = connection_end::reset, .pause = milliseconds(10)};
    const broken_fleet both(workers::raw_and_healthy, [&answer](std::string_view) { return answer; });
    for (int i = 0; i < 6; ++i) {
        const caller_view view = readAsCaller(both.send(RawNode, "POST", "/read/1", UploadBytes));
        cr_assert(view.isWhole && view.status == 200 && view.body != "half", "%u %s", view.status, view.body.c_str());
    }
}

Test(broken_answers, an_early_answer_without_a_length_and_with_a_clean_end_is_delivered)
{
    const scripted_answer answer{.bytes = sealedHead("HTTP/1.1 200 OK") + "\r\nwhole", .end = connection_end::finish_and_read, .pause = milliseconds(10)};
    const broken_fleet alone(workers::raw_only, [&answer](std::string_view) { return answer; });
    for (int i = 0; i < 4; ++i) {
        const caller_view view = readAsCaller(alone.send(FirstNode, "POST", "/book/1", UploadBytes));
        cr_assert(view.isWhole && view.status == 200 && view.body == "whole", "%u %s", view.status, view.body.c_str());
    }
}

Test(broken_answers, a_status_outside_of_the_protocol_is_not_passed_on)
{
    const std::string inner = sealedHead("HTTP/1.1 200 OK") + "Content-Length: 5\r\n\r\ninner";
    std::vector<std::string> answers;
    for (const char *status : {"000", "099", "600", "999"}) {
        answers.push_back(sealedHead(fmt::format("HTTP/1.1 {} Odd", status)) + fmt::format("Content-Length: {}\r\n\r\n{}", inner.size(), inner));
    }
    answers.push_back("HTTP/1.1 101 Switching Protocols\r\n\r\n" + inner);
    expectNoneIsPassedOn(answers, "bad_status");
    expectOthersServe(answers);
}

Test(broken_answers, a_name_of_a_field_with_a_blank_or_a_control_byte_is_not_passed_on)
{
    std::vector<std::string> answers;
    for (const char *line : {"X Name: a", "X-Name : a", "X-\x01Name: a", "X-\x7fName: a", " X-Name: a", "\tfolded"}) {
        const std::string broken = std::string(line) + "\r\n";
        answers.push_back(sealedHead("HTTP/1.1 200 OK") + broken + "Content-Length: 4\r\n\r\nbody");
        answers.push_back(sealedHead("HTTP/1.1 500 Error") + "Content-Length: 4\r\n" + broken + "\r\nbody");
    }
    expectNoneIsPassedOn(answers, "malformed");
    expectOthersServe(answers);
}

Test(broken_answers, a_body_in_another_coding_than_chunks_is_not_passed_on)
{
    const std::string chunks = "4\r\nbody\r\n0\r\n\r\n";
    std::vector<std::string> answers;
    for (const char *coding : {"gzip, chunked", "chunked, chunked"}) {
        answers.push_back(sealedHead("HTTP/1.1 200 OK") + fmt::format("Transfer-Encoding: {}\r\n\r\n{}", coding, chunks));
    }
    expectNoneIsPassedOn(answers, "bad_coding");
    expectOthersServe(answers);
}

// A short part is held back, so that the caller gets an answer of the node; of a long one, the connection breaks before its stated end.
Test(broken_answers, an_answer_that_breaks_off_is_never_completed_for_its_caller)
{
    scripted_answer answer;
    const broken_fleet alone(workers::raw_only, [&answer](std::string_view) { return answer; });
    for (const std::size_t bytes : {std::size_t(4), LongPartBytes}) {
        const std::string part(bytes, 'h');
        const std::vector<std::string> rests{
            fmt::format("Content-Length: {}\r\n\r\n{}", bytes + 1, part),
            fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n", bytes, part),
            "\r\n" + part,
        };
        for (const std::string &rest : rests) {
            for (const char *version : {"1.1", "1.0"}) {
                for (const char *path : {"/read/1", "/book/1"}) {
                    answer = {.bytes = sealedHead("HTTP/1.1 200 OK") + rest, .end = connection_end::reset, .pause = milliseconds(10)};
                    const std::string seen = alone.send(FirstNode, "POST", path, UploadBytes, version);
                    expectNoAnswerOfTheWorker(seen, fmt::format("HTTP/{} {} {} bytes, {}", version, path, bytes, rest.substr(0, 40)));
                }
            }
        }
    }
}
