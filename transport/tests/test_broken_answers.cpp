// Tests of transport/worker_client.h: answers that a worker breaks off, or that are no answers in the protocol, are never taken for whole.
#include "answer_head.h"
#include "raw_worker.h"

#include <dandelionstall/protocol/caller_http.h>
#include <dandelionstall/transport/worker_client.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace dandelionstall;
using namespace dandelionstall::transport;
using namespace dandelionstall::transport::testing;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t UploadBytes = 8'388'608; // more than the buffers of a connection to a raw_worker hold
constexpr milliseconds CallTime{3000};

class recording_sink : public worker_answer_sink
{
public:
    void onSignals(const protocol::worker_signals &, bool) override
    {
        ++signals;
    }

    void onHead(std::uint32_t answerStatus, protocol::http_headers answerHeaders) override
    {
        ++heads;
        status = answerStatus;
        headers = std::move(answerHeaders);
    }

    asio::awaitable<void> onBody(std::string_view bytes) override
    {
        body += bytes;
        co_return;
    }

    int signals = 0;
    int heads = 0;
    std::uint32_t status = 0;
    protocol::http_headers headers;
    std::string body;
};

struct call_result {
    worker_result result;
    recording_sink sink;
};

state::header_names sealedNames()
{
    state::header_names names;
    names.requestId = "Request-Id";
    names.seal = "Seal";
    names.notRun = "Not-Run";
    names.expectedWorker = "Expected";
    return names;
}

worker_request makeRequest(const std::string &method, std::size_t bodyBytes)
{
    worker_request request;
    request.method = method;
    request.target = "/path";
    request.headers = {{"Host", "service.example"}, {"Request-Id", "one"}};
    request.body = std::string(bodyBytes, 'u');
    request.deadline = state::clock::now() + CallTime;
    return request;
}

asio::awaitable<void> runCall(asio::io_context &io, worker_client &client, worker_request request, call_result &out)
{
    out.result = co_await client.run(std::move(request), out.sink, std::make_shared<worker_call>());
    io.stop();
}

void callWorker(scripted_answer answer, worker_request request, call_result &out)
{
    asio::io_context io(1);
    raw_worker worker(io, std::move(answer));
    worker_client client(worker.address(), sealedNames());
    asio::co_spawn(io, runCall(io, client, std::move(request), out), asio::detached);
    io.run_for(CallTime + CallTime);
}

std::string describe(const call_result &call)
{
    const std::string end = std::string(outcomeName(call.result.outcome)) + " " + std::string(faultName(call.result.fault));
    return end + ", status " + std::to_string(call.result.status) + ", body '" + call.sink.body.substr(0, 40) + "'";
}

std::string sealedHead(const std::string &statusLine)
{
    return statusLine + "\r\nRequest-Id: one\r\nSeal: x\r\n";
}

void expectCutWithoutHead(const std::string &bytes)
{
    call_result call;
    callWorker({.bytes = bytes, .end = connection_end::close, .pause = milliseconds(10)}, makeRequest("GET", 0), call);
    cr_assert(call.result.outcome == worker_call_outcome::cut, "%s: %s", bytes.c_str(), describe(call).c_str());
    cr_assert(call.sink.heads == 0 && call.sink.signals == 0, "an answer that is none reached the sink: %s", bytes.c_str());
    cr_assert(call.result.status == 0 && call.result.fault != answer_fault::none, "%s: %s", bytes.c_str(), describe(call).c_str());
}

} // namespace

// Guards against a reset that the write of the request is told of, while the read sees a plain end of the stream: an answer without a
// length would be taken for whole.
Test(broken_answers, without_a_length_are_not_whole_when_the_upload_is_reset)
{
    for (const char *statusLine : {"HTTP/1.1 200 OK", "HTTP/1.0 201 Created", "HTTP/1.1 404 Not Found", "HTTP/1.1 500 Error"}) {
        for (const std::size_t requestBytes : {std::size_t(0), std::size_t(300'000)}) {
            for (const connection_end end : {connection_end::reset, connection_end::close, connection_end::finish_then_close}) {
                for (const int pause : {0, 1, 5, 20, 60}) {
                    call_result call;
                    callWorker({.bytes = sealedHead(statusLine) + "\r\nhalf", .end = end, .pause = milliseconds(pause), .requestBytes = requestBytes},
                               makeRequest("POST", UploadBytes),
                               call);
                    cr_assert(call.result.outcome == worker_call_outcome::cut,
                              "%s, end %d after %d ms: %s",
                              statusLine,
                              static_cast<int>(end),
                              pause,
                              describe(call).c_str());
                }
            }
        }
    }
}

// An early answer without a length is whole when its worker ends its own side cleanly, whether it reads the upload at once, later or not.
Test(broken_answers, an_early_answer_without_a_length_is_whole_after_a_clean_end)
{
    for (const connection_end end : {connection_end::finish_and_read, connection_end::finish_and_stay}) {
        for (const int pause : {0, 5, 60, 500}) {
            call_result call;
            callWorker(
                {.bytes = sealedHead("HTTP/1.1 200 OK") + "\r\nwhole", .end = end, .pause = milliseconds(pause)}, makeRequest("POST", UploadBytes), call);
            cr_assert(call.result.outcome == worker_call_outcome::answered, "end %d after %d ms: %s", static_cast<int>(end), pause, describe(call).c_str());
            cr_assert(call.sink.body == "whole", "%s", describe(call).c_str());
        }
    }
}

Test(broken_answers, an_answer_without_a_length_after_the_whole_upload_is_whole)
{
    for (const std::size_t bytes : {std::size_t(0), std::size_t(1000), UploadBytes}) {
        call_result call;
        callWorker(
            {.bytes = sealedHead("HTTP/1.0 200 OK") + "\r\nwhole", .end = connection_end::close, .requestBytes = bytes}, makeRequest("POST", bytes), call);
        cr_assert(call.result.outcome == worker_call_outcome::answered && call.sink.body == "whole", "%zu bytes: %s", bytes, describe(call).c_str());
    }
}

// An early answer that states its length, or is chunked, is proven by that, whatever becomes of the upload.
Test(broken_answers, an_early_answer_with_a_length_is_judged_by_its_length)
{
    struct framed_answer {
        const char *rest; // of the head, and the body
        worker_call_outcome outcome;
    };
    const std::vector<framed_answer> framings{
        {"Content-Length: 5\r\n\r\nwhole", worker_call_outcome::answered},
        {"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", worker_call_outcome::answered},
        {"Content-Length: 6\r\n\r\nwhole", worker_call_outcome::cut},
        {"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n", worker_call_outcome::cut},
        {"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n", worker_call_outcome::cut},
    };
    for (const char *statusLine : {"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 404 Not Found", "HTTP/1.1 500 Error"}) {
        for (const framed_answer &framing : framings) {
            for (const connection_end end : {connection_end::reset, connection_end::finish_then_close}) {
                for (const int pause : {1, 5, 20, 60}) {
                    call_result call;
                    callWorker(
                        {.bytes = sealedHead(statusLine) + framing.rest, .end = end, .pause = milliseconds(pause)}, makeRequest("POST", UploadBytes), call);
                    cr_assert(call.result.outcome == framing.outcome,
                              "%s, %s, end %d after %d ms: %s",
                              statusLine,
                              framing.rest,
                              static_cast<int>(end),
                              pause,
                              describe(call).c_str());
                }
            }
        }
    }
}

// RFC 9110, 15: a status is of 100 to 599. What follows a status that is none may look like an answer, but is no worker's word.
Test(broken_answers, a_status_outside_of_the_protocol_is_no_answer)
{
    const std::string inner = sealedHead("HTTP/1.1 200 OK") + "Content-Length: 5\r\n\r\ninner";
    const std::string own = "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner;
    for (const char *status : {"000", "001", "042", "099", "600", "700", "999"}) {
        const std::string head = sealedHead(std::string("HTTP/1.1 ") + status + " Odd");
        expectCutWithoutHead(head + own);
        expectCutWithoutHead(head + "\r\n" + inner);
        expectCutWithoutHead("HTTP/1.1 102 Processing\r\n\r\n" + head + own);
    }
}

// The client never asks for another protocol; after a 101 the bytes on the connection are those of one.
Test(broken_answers, a_change_of_the_protocol_that_was_not_asked_for_is_no_answer)
{
    const std::string inner = sealedHead("HTTP/1.1 200 OK") + "Content-Length: 5\r\n\r\ninner";
    expectCutWithoutHead("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n" + inner);
    expectCutWithoutHead("HTTP/1.1 101 Switching Protocols\r\n\r\n" + inner);
}

Test(broken_answers, every_final_status_of_the_protocol_is_passed_on)
{
    for (const int status : {200, 206, 299, 302, 400, 404, 418, 451, 499, 500, 503, 511, 599}) {
        for (const char *interim : {"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 199 Odd\r\n\r\n"}) {
            call_result call;
            callWorker(
                {.bytes = interim + sealedHead("HTTP/1.1 " + std::to_string(status) + " X") + "Content-Length: 4\r\n\r\nbody"}, makeRequest("GET", 0), call);
            cr_assert(call.result.outcome == worker_call_outcome::answered && call.sink.status == static_cast<std::uint32_t>(status),
                      "%s%d: %s",
                      interim,
                      status,
                      describe(call).c_str());
        }
    }
}

// A line of the head that is no field: with a blank or a control byte in the name, or without a name.
const std::vector<std::string> &brokenLines()
{
    using namespace std::string_literals;
    static const std::vector<std::string> lines{
        "X Name: a",
        "X\tName: a",
        "X-Name : a",
        "X-Name\t: a",
        "X-\x01Name: a",
        "X-\x1fName: a",
        "X-\0Name: a"s,
        "X-\x7fName: a",
        "X-\rName: a",
        "X-\x80Name: a",
        "X-\xc3\xa4: a",
        ": a",
        "X-Name",
        "X(Name): a",
        "X-Name\x0b: a",
        "X-\x08: a",
        "X-\nName: a",
        "Content-Length : 2",
        "Content-Length\t: 2",
        "Content Length: 2",
        "Content-Length\x01: 2",
        "Transfer-Encoding : chunked",
        "Transfer-Encoding\t: chunked",
        "Transfer Encoding: chunked",
        "Transfer-Encoding\x01: chunked",
        "\x0bTransfer-Encoding: chunked",
    };
    return lines;
}

// Line by line, at the start, in the middle and at the end of a head.
Test(broken_answers, a_name_of_a_field_with_a_blank_or_a_control_byte_makes_no_answer)
{
    for (const std::string &line : brokenLines()) {
        for (const char *statusLine : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Error\r\n"}) {
            const std::string broken = line + "\r\n";
            const std::string body = "\r\nbody";
            expectCutWithoutHead(statusLine + broken + "Request-Id: one\r\nSeal: x\r\nContent-Length: 4\r\n" + body);
            expectCutWithoutHead(statusLine + ("Request-Id: one\r\n" + broken) + "Seal: x\r\nContent-Length: 4\r\n" + body);
            expectCutWithoutHead(statusLine + ("Request-Id: one\r\nSeal: x\r\nContent-Length: 4\r\n" + broken) + body);
        }
    }
}

// RFC 9112, 5.2: a line that begins with a blank goes on with the value of the line before, which would change that value.
Test(broken_answers, a_line_that_begins_with_a_blank_makes_no_answer)
{
    for (const char *folded :
         {" folded\r\n", "\tfolded\r\n", " X-Name: a\r\n", "\tSeal: y\r\n", " \r\n", "  4\r\n", " Content-Length: 2\r\n", "\tTransfer-Encoding: chunked\r\n"}) {
        for (const char *before : {"Seal: x\r\n", "X-Name: a\r\n", "Content-Length: 4\r\n", ""}) {
            const std::string lines = before + std::string(folded);
            expectCutWithoutHead("HTTP/1.1 200 OK\r\n" + lines + "Request-Id: one\r\nSeal: x\r\nContent-Length: 4\r\n\r\nbody");
            expectCutWithoutHead("HTTP/1.1 500 Error\r\nRequest-Id: one\r\nSeal: x\r\nContent-Length: 4\r\n" + lines + "\r\nbody");
        }
    }
}

// However the bytes of the head arrive.
Test(broken_answers, a_line_that_begins_with_a_blank_is_found_in_any_parts)
{
    for (const bool folded : {false, true}) {
        const std::string head = std::string("HTTP/1.1 200 OK\r\nSeal: x\r\n") + (folded ? "\tfolded\r\n" : "X-Name:  a \r\n") + "\r\n";
        for (std::size_t split = 0; split <= head.size(); ++split) {
            detail::folded_line_scan scan;
            const bool inFirst = scan.feed(std::string_view(head).substr(0, split));
            const bool inSecond = scan.feed(std::string_view(head).substr(split));
            cr_assert((inFirst || inSecond) == folded, "split at %zu", split);
        }
    }
}

Test(broken_answers, a_body_may_have_lines_that_begin_with_a_blank)
{
    const std::string body = "one\r\n two\r\n\tthree\r\n\r\n four";
    call_result call;
    callWorker({.bytes = sealedHead("HTTP/1.1 200 OK") + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body}, makeRequest("GET", 0), call);
    cr_assert(call.result.outcome == worker_call_outcome::answered && call.sink.body == body, "%s", describe(call).c_str());
}

Test(broken_answers, a_control_byte_in_a_value_or_a_reason_makes_no_answer)
{
    using namespace std::string_literals;
    for (const std::string &byte : {"\0"s, "\x01"s, "\x08"s, "\x0b"s, "\x1f"s, "\x7f"s, "\r"s, "\n"s}) {
        const std::string rest = "Request-Id: one\r\nSeal: x\r\nContent-Length: 4\r\n\r\nbody";
        expectCutWithoutHead("HTTP/1.1 200 OK\r\nX-Name: a" + byte + "b\r\n" + rest);
        expectCutWithoutHead("HTTP/1.1 200 O" + byte + "K\r\n" + rest);
    }
}

Test(broken_answers, a_value_may_have_tabs_and_bytes_over_0x7f)
{
    call_result call;
    callWorker({.bytes = sealedHead("HTTP/1.1 200 Oh\xe9") + "X-Name: a\tb \xc3\xa4 \xe9\r\nContent-Length: 4\r\n\r\nbody"}, makeRequest("GET", 0), call);
    cr_assert(call.result.outcome == worker_call_outcome::answered, "%s", describe(call).c_str());
    cr_assert(protocol::findHeader(call.sink.headers, "X-Name") == "a\tb \xc3\xa4 \xe9");
}

// RFC 9112, 6: the end of the body is told by one Content-Length, or by chunks as the only coding. Other codings would reach callers as
// the worker's bytes, since their names are not passed on.
Test(broken_answers, a_body_of_which_the_end_or_the_coding_is_unclear_makes_no_answer)
{
    const std::string head = sealedHead("HTTP/1.1 200 OK");
    const std::string chunks = "\r\n4\r\nbody\r\n0\r\n\r\n";
    for (const char *codings : {"Transfer-Encoding: gzip, chunked\r\n",
                                "Transfer-Encoding: chunked, gzip\r\n",
                                "Transfer-Encoding: chunked, chunked\r\n",
                                "Transfer-Encoding: gzip\r\n",
                                "Transfer-Encoding: \r\n",
                                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
                                "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
                                "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
                                "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"}) {
        expectCutWithoutHead(head + codings + chunks);
    }
    for (const char *length : {"Content-Length: 4\r\nContent-Length: 3\r\n",

                               "Content-Length: +4\r\n",
                               "Content-Length: -1\r\n",
                               "Content-Length: 0x4\r\n",
                               "Content-Length: \r\n",
                               "Content-Length: 99999999999999999999\r\n"}) {
        expectCutWithoutHead(head + length + "\r\nbody");
    }
}

// A length that is stated several times, always the same, is passed on once (RFC 9110, 8.6).
Test(broken_answers, a_length_that_is_repeated_is_passed_on_once)
{
    for (const char *length : {"Content-Length: 4\r\nContent-Length: 4\r\n", "Content-Length: 4, 4\r\n", "Content-Length: 4\r\n"}) {
        call_result call;
        callWorker({.bytes = sealedHead("HTTP/1.1 200 OK") + length + "\r\nbody"}, makeRequest("GET", 0), call);
        cr_assert(call.result.outcome == worker_call_outcome::answered && call.sink.body == "body", "%s: %s", length, describe(call).c_str());
        const auto isLength = [](const protocol::http_header &header) {
            return header.name == "Content-Length";
        };
        cr_assert_eq(std::count_if(call.sink.headers.begin(), call.sink.headers.end(), isLength), 1, "%s", length);
        cr_assert(protocol::findHeader(call.sink.headers, "Content-Length") == "4", "%s", length);
    }
}

// Trailers are not passed on, and a broken one shows that the rest of the answer can't be told from other bytes.
Test(broken_answers, a_trailer_that_is_no_field_cuts_the_answer)
{
    for (const std::string &line : brokenLines()) {
        call_result call;
        callWorker(
            {.bytes = sealedHead("HTTP/1.1 200 OK") + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n" + line + "\r\n\r\n"}, makeRequest("GET", 0), call);
        cr_assert(call.result.outcome == worker_call_outcome::cut, "%s: %s", line.c_str(), describe(call).c_str());
    }
}

// For the log line and the counter by which an operator learns what is wrong.
Test(broken_answers, the_result_names_what_was_wrong)
{
    struct faulty_answer {
        answer_fault fault;
        scripted_answer answer;
    };
    const std::string head = sealedHead("HTTP/1.1 200 OK");
    const std::vector<faulty_answer> faulty{
        {answer_fault::none, {.bytes = head + "Content-Length: 4\r\n\r\nbody"}},
        {answer_fault::broken_off, {.bytes = "", .end = connection_end::close}},
        {answer_fault::broken_off, {.bytes = head, .end = connection_end::close}},
        {answer_fault::broken_off, {.bytes = head, .end = connection_end::reset, .pause = milliseconds(5)}},
        {answer_fault::broken_off, {.bytes = head + "Content-Length: 4\r\n\r\nbo", .end = connection_end::close}},
        {answer_fault::malformed, {.bytes = "no answer\r\n\r\n"}},
        {answer_fault::malformed, {.bytes = head + "X Name: a\r\n\r\n"}},
        {answer_fault::malformed, {.bytes = head + " folded\r\n\r\n"}},
        {answer_fault::malformed, {.bytes = head + "Transfer-Encoding: chunked\r\n\r\nz\r\n"}},
        {answer_fault::bad_status, {.bytes = sealedHead("HTTP/1.1 000 Odd") + "\r\n"}},
        {answer_fault::bad_status, {.bytes = sealedHead("HTTP/1.1 600 Odd") + "\r\n"}},
        {answer_fault::bad_coding, {.bytes = head + "Transfer-Encoding: gzip\r\n\r\n"}},
        {answer_fault::too_long, {.bytes = "HTTP/1.1 200 OK\r\nX: ", .repeated = std::string(4096, 'a')}},
        {answer_fault::too_long, {.bytes = head + "Transfer-Encoding: chunked\r\n\r\n1;", .repeated = std::string(4096, 'a')}},
        {answer_fault::too_long, {.bytes = sealedHead("HTTP/1.1 500 Error") + "\r\n", .repeated = std::string(4096, 'a')}},
        {answer_fault::misplaced, {.bytes = "", .repeated = "HTTP/1.1 102 Processing\r\n\r\n"}},
        {answer_fault::unproven, {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"}},
    };
    for (const faulty_answer &each : faulty) {
        call_result call;
        callWorker(each.answer, makeRequest("GET", 0), call);
        cr_assert(
            call.result.fault == each.fault, "%s: %s, not %s", each.answer.bytes.c_str(), describe(call).c_str(), std::string(faultName(each.fault)).c_str());
    }
}
