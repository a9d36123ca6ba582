// Tests of state/attempts.h: in any order of events, a request starts at most once and a reported "not run" stays true.
#include <dandelionstall/state/attempts.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <fmt/format.h>
#include <rapidcheck.h>

#include <map>
#include <set>

using namespace dandelionstall::state;

namespace {

constexpr time_point Start{};

time_point at(int seconds)
{
    return Start + std::chrono::seconds(seconds);
}

attempt_id makeId(std::uint64_t sequence)
{
    return {7, sequence};
}

} // namespace

Test(attempts, a_fenced_attempt_never_starts)
{
    attempt_registry registry{{}};
    cr_assert(registry.findOrFence(makeId(1), at(10)).phase == attempt_phase::not_run);
    cr_assert(registry.begin(makeId(1), "", at(10)) == begin_verdict::duplicate);
    cr_assert(not(registry.start(makeId(1))));
}

Test(attempts, an_answer_is_kept_until_it_is_acknowledged)
{
    attempt_registry registry{{}};
    registry.begin(makeId(1), "", at(10));
    cr_assert(registry.start(makeId(1)));
    registry.recordAnswer(makeId(1), {200, "h", "body", false});
    cr_assert(eq(sz, registry.keptBytes(), 5));
    cr_assert(registry.findOrFence(makeId(1), at(10)).answer.body == "body");
    registry.acknowledge(makeId(1));
    cr_assert(eq(sz, registry.keptBytes(), 0));
    cr_assert(registry.findOrFence(makeId(1), at(10)).phase == attempt_phase::answered);
}

Test(attempts, a_ticket_runs_once_and_its_answer_stays_after_acknowledgement)
{
    attempt_registry registry{{}};
    cr_assert(registry.begin(makeId(1), "t", at(10)) == begin_verdict::accepted);
    cr_assert(registry.begin(makeId(2), "t", at(10)) == begin_verdict::duplicate);
    registry.start(makeId(1));
    registry.recordAnswer(makeId(1), {200, "", "done", false});
    registry.acknowledge(makeId(1));
    cr_assert(registry.findByTicket("t")->answer.body == "done");
}

Test(attempts, a_ticket_of_a_refused_attempt_can_be_reused)
{
    attempt_registry registry{{}};
    registry.begin(makeId(1), "t", at(10));
    registry.refuse(makeId(1), "queue_full");
    cr_assert(registry.begin(makeId(2), "t", at(10)) == begin_verdict::accepted);
    cr_assert(not(registry.start(makeId(1))));
    cr_assert(registry.start(makeId(2)));
}

Test(attempts, kept_answers_stay_within_the_byte_limit)
{
    attempt_registry registry{{100, 10}};
    for (std::uint64_t i = 1; i <= 3; ++i) {
        registry.begin(makeId(i), "", at(10));
        registry.start(makeId(i));
        registry.recordAnswer(makeId(i), {200, "", "123456", false});
    }
    cr_assert(le(sz, registry.keptBytes(), 10));
    cr_assert(registry.find(makeId(2))->answer.truncated);
    cr_assert(eq(int, static_cast<int>(registry.find(makeId(2))->phase), static_cast<int>(attempt_phase::answered)));
}

Test(attempts, running_attempts_do_not_expire)
{
    attempt_registry registry{{}};
    registry.begin(makeId(1), "", at(1));
    registry.start(makeId(1));
    registry.findOrFence(makeId(2), at(1));
    cr_assert(eq(sz, registry.expire(at(5)), 1));
    cr_assert(registry.find(makeId(1)) != nullptr);
}

Test(attempts, any_order_of_events_starts_a_request_at_most_once)
{
    cr_assert(rc::check("at most once", [] {
        attempt_registry registry{{8, 64}};
        std::map<std::string, int> startsOfTicket;
        std::map<std::uint64_t, int> starts;
        std::set<std::uint64_t> reportedNotRun;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange(1, 7)));
        for (const auto &[action, number] : steps) {
            const auto sequence = static_cast<std::uint64_t>(number);
            const attempt_id id = makeId(sequence);
            const std::string ticket = number > 3 ? fmt::format("t{}", number % 2) : std::string();
            switch (action) {
            case 0:
            case 1:
                registry.begin(id, ticket, at(100));
                break;
            case 2:
                if (registry.start(id)) {
                    ++starts[sequence];
                    startsOfTicket[ticket] += ticket.empty() ? 0 : 1;
                    RC_ASSERT(!reportedNotRun.contains(sequence));
                }
                break;
            case 3:
                registry.recordAnswer(id, {200, "", std::string(static_cast<std::size_t>(number) * 8, 'x'), false});
                break;
            case 4:
                registry.recordFailure(id);
                break;
            case 5:
                registry.refuse(id, "queue_full");
                break;
            case 6:
                if (registry.findOrFence(id, at(100)).phase == attempt_phase::not_run) {
                    reportedNotRun.insert(sequence);
                    RC_ASSERT(starts[sequence] == 0);
                }
                break;
            default:
                registry.acknowledge(id);
                break;
            }
            RC_ASSERT(starts[sequence] <= 1);
            RC_ASSERT(startsOfTicket["t0"] <= 1);
            RC_ASSERT(startsOfTicket["t1"] <= 1);
            RC_ASSERT(registry.keptBytes() <= 64U);
        }
    }));
}

Test(attempts, tickets_round_trip_through_their_text_form)
{
    cr_assert(rc::check("ticket round trip", [] {
        ticket value;
        value.worker = fmt::format("do-{}", *rc::gen::inRange(1, 30000));
        value.sidecarIncarnation = *rc::gen::arbitrary<std::uint64_t>();
        value.id = {*rc::gen::arbitrary<std::uint64_t>(), *rc::gen::arbitrary<std::uint64_t>()};
        value.expiresAtMs = *rc::gen::inRange<std::int64_t>(0, 1'000'000'000'000);
        const auto parsed = parseTicket(formatTicket(value));
        RC_ASSERT(parsed.ok());
        RC_ASSERT(parsed->worker == value.worker);
        RC_ASSERT(parsed->sidecarIncarnation == value.sidecarIncarnation);
        RC_ASSERT(parsed->id == value.id);
        RC_ASSERT(parsed->expiresAtMs == value.expiresAtMs);
    }));
    cr_assert(not(parseTicket("dst1.w.1.2.3").ok()));
    cr_assert(not(parseTicket("dst1.w/../x.1.2.3.4").ok()));
    cr_assert(not(parseTicket("dst1.w.1.2.3.zz").ok()));
}
