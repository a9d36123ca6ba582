// Tests of protocol/messages.h, frame.h and clock_estimate.h.
#include <dandelionstall/protocol/clock_estimate.h>
#include <dandelionstall/protocol/frame.h>
#include <dandelionstall/protocol/messages.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

using namespace dandelionstall;
using namespace dandelionstall::protocol;

namespace {

std::chrono::microseconds anyDuration(std::int64_t max)
{
    return std::chrono::microseconds(*rc::gen::inRange<std::int64_t>(0, max));
}

std::string anyText()
{
    return *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
}

} // namespace

Test(messages, an_attempt_round_trips_through_encoding)
{
    cr_assert(rc::check("attempt round trip", [] {
        attempt_head head;
        head.id = {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
        head.worker = anyText();
        head.route = anyText();
        head.sidecarIncarnation = *rc::gen::arbitrary<std::uint64_t>();
        head.deadline = state::time_point(anyDuration(1'000'000'000));
        head.worth = *rc::gen::inRange(1, 100);
        head.idempotent = *rc::gen::arbitrary<bool>();
        head.costHint = anyDuration(1'000'000);
        head.headers = {{anyText(), anyText()}, {anyText(), anyText()}};
        head.ticket = anyText();
        head.bodyBytes = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
        head.repeat = *rc::gen::element(coordination::repeat_kind::none, coordination::repeat_kind::rerun, coordination::repeat_kind::call);
        head.firstSent = *rc::gen::arbitrary<bool>();
        if (*rc::gen::arbitrary<bool>()) {
            head.statedRate = *rc::gen::inRange(0, 1000) / 10.0;
        }
        head.lifetime = *rc::gen::arbitrary<std::uint64_t>();
        const auto parsed = decodeAttemptHead(encode(head));
        RC_ASSERT(parsed.ok());
        RC_ASSERT(parsed->id == head.id);
        RC_ASSERT(parsed->worker == head.worker);
        RC_ASSERT(parsed->deadline == head.deadline);
        RC_ASSERT(parsed->idempotent == head.idempotent);
        RC_ASSERT(parsed->headers == head.headers);
        RC_ASSERT(parsed->ticket == head.ticket);
        RC_ASSERT(parsed->bodyBytes == head.bodyBytes);
        RC_ASSERT(parsed->repeat == head.repeat);
        RC_ASSERT(parsed->firstSent == head.firstSent);
        RC_ASSERT(parsed->statedRate == head.statedRate);
        RC_ASSERT(parsed->lifetime == head.lifetime);
    }));
}

// Guards against requests and answers that fail between nodes because a header, or the target, has bytes that are not UTF-8.
Test(messages, texts_of_callers_and_workers_keep_bytes_that_are_not_utf8)
{
    cr_assert(rc::check("any bytes", [](const std::string &name, const std::string &value) {
        attempt_head attempt;
        attempt.method = name;
        attempt.target = value;
        attempt.headers = {{name, value}, {"X-Name", "J\xE9r\xF4me"}};
        attempt.ticket = value;
        attempt.organisation = value;
        const auto parsedAttempt = decodeAttemptHead(encode(attempt));
        RC_ASSERT(parsedAttempt.ok());
        RC_ASSERT(parsedAttempt->headers == attempt.headers);
        RC_ASSERT(parsedAttempt->method == name && parsedAttempt->target == value);
        RC_ASSERT(parsedAttempt->ticket == value && parsedAttempt->organisation == value);
        answer_head answer;
        answer.status = 200;
        answer.headers = attempt.headers;
        const auto parsedAnswer = decodeAnswerHead(encode(answer));
        RC_ASSERT(parsedAnswer.ok());
        RC_ASSERT(parsedAnswer->headers == answer.headers);
        const auto parsedHeaders = decodeHeaders(encodeHeaders(answer.headers));
        RC_ASSERT(parsedHeaders.ok() && *parsedHeaders == answer.headers);
    }));
}

// 0 says that there is no answer of a worker.
Test(messages, a_status_that_no_answer_may_have_is_malformed)
{
    for (const std::uint32_t status : {0U, 200U, 204U, 404U, 599U}) {
        answer_head head;
        head.status = status;
        const auto parsed = decodeAnswerHead(encode(head));
        cr_assert(parsed.ok() && parsed->status == status, "%u", status);
    }
    for (const std::uint32_t status : {1U, 99U, 100U, 101U, 199U, 600U, 999U, 1000U, 4'000'000'000U}) {
        answer_head head;
        head.status = status;
        cr_assert(not(decodeAnswerHead(encode(head)).ok()), "%u", status);
    }
}

Test(messages, an_answer_keeps_its_reason_and_reports)
{
    answer_head head;
    head.id = {1, 2};
    head.run = coordination::run_state::not_run;
    head.refusal = coordination::refusal_reason::queue_full;
    head.retryAfter = std::chrono::milliseconds(640);
    coordination::worker_report report;
    report.worker = "w1";
    report.node = {"10.0.0.1", 7400};
    report.version = 9;
    report.slowness = 2.5;
    report.limit = coordination::limit_knowledge::limited;
    report.rateLimit = 1.3;
    report.roomAfter = std::chrono::milliseconds(70);
    report.workerLeaving = true;
    report.lifetime = 1780483690000U;
    head.reports.push_back(report);
    const auto parsed = decodeAnswerHead(encode(head));
    cr_assert(parsed.ok());
    cr_assert(parsed->run == coordination::run_state::not_run);
    cr_assert(parsed->refusal == coordination::refusal_reason::queue_full);
    cr_assert(parsed->retryAfter == std::chrono::milliseconds(640));
    cr_assert(eq(sz, parsed->reports.size(), 1));
    cr_assert(parsed->reports.front().node == report.node);
    cr_assert(parsed->reports.front().slowness == 2.5);
    cr_assert(parsed->reports.front().limit == report.limit && parsed->reports.front().rateLimit == 1.3);
    cr_assert(parsed->reports.front().roomAfter == report.roomAfter && parsed->reports.front().workerLeaving);
    cr_assert(parsed->reports.front().lifetime == report.lifetime);
}

Test(messages, an_unknown_run_state_is_never_decoded_as_not_run)
{
    cr_assert(decodeAnswerHead("").ok());
    cr_assert(decodeAnswerHead("")->run == coordination::run_state::unknown);
    cr_assert(not(decodeAnswerHead("\xff\xff\xff").ok()));
}

Test(frames, are_decoded_from_pieces_of_any_size)
{
    cr_assert(rc::check("frames in pieces", [] {
        const auto payloads = *rc::gen::container<std::vector<std::string>>(rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
        std::string bytes;
        for (const std::string &payload : payloads) {
            appendFrame(bytes, frame_type::body, payload);
        }
        frame_decoder decoder;
        std::vector<std::string> decoded;
        std::size_t at = 0;
        while (at < bytes.size()) {
            const std::size_t part = *rc::gen::inRange<std::size_t>(1, 9);
            decoder.feed(std::string_view(bytes).substr(at, part));
            at += part;
            for (auto next = decoder.next(); next.ok() && next->has_value(); next = decoder.next()) {
                decoded.push_back((*next)->payload);
            }
        }
        RC_ASSERT(decoded == payloads);
        RC_ASSERT(decoder.atBoundary());
    }));
}

Test(frames, unknown_types_and_oversized_lengths_are_refused)
{
    frame_decoder unknown;
    unknown.feed(std::string_view("\x63\0\0\0\0", 5));
    cr_assert(not(unknown.next().ok()));
    frame_decoder oversized;
    oversized.feed(std::string_view("\x02\x7f\0\0\0", 5));
    cr_assert(not(oversized.next().ok()));
}

Test(clock_estimate, a_converted_deadline_is_never_later_than_the_exact_one)
{
    cr_assert(rc::check("deadline on the peer's clock", [] {
        const state::time_point start{};
        const auto offset = std::chrono::microseconds(*rc::gen::inRange<std::int64_t>(-1'000'000'000, 1'000'000'000));
        clock_estimate estimate;
        state::time_point now = start + std::chrono::seconds(100);
        const int exchanges = *rc::gen::inRange(1, 6);
        for (int i = 0; i < exchanges; ++i) {
            const state::time_point sentAt = now;
            const auto out = anyDuration(200'000);
            const auto back = anyDuration(200'000);
            estimate.recordExchange(sentAt, sentAt + out + offset, sentAt + out + back);
            now = sentAt + out + back + anyDuration(5'000'000);
        }
        RC_ASSERT(estimate.hasEstimate());
        const state::time_point deadline = now + anyDuration(10'000'000);
        const state::time_point exact = deadline + offset;
        RC_ASSERT(estimate.toPeerClock(deadline, now) <= exact + std::chrono::microseconds(1));
        RC_ASSERT(exact - estimate.toPeerClock(deadline, now) <= 2 * estimate.uncertainty(now) + std::chrono::microseconds(2));
    }));
}
