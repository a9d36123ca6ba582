// Tests of coordination/limits/rate_gate.h and coordination/limits/worker_limit.h.
#include <dandelionstall/coordination/limits/worker_limit.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using std::chrono::milliseconds;

namespace {

const state::time_point Start{std::chrono::hours(1)};

limit_answer states(double rate, state::time_point requestedAt = Start)
{
    return {rate, true, requestedAt};
}

limit_answer statesNothing(state::time_point requestedAt)
{
    return {std::nullopt, true, requestedAt};
}

// Most of the times that lie within any span of that length.
std::size_t countFullest(const std::vector<state::time_point> &times, state::duration span)
{
    std::size_t fullest = 0;
    for (std::size_t first = 0; first < times.size(); ++first) {
        const auto end = std::lower_bound(times.begin(), times.end(), times[first] + span);
        fullest = std::max(fullest, static_cast<std::size_t>(end - times.begin()) - first);
    }
    return fullest;
}

} // namespace

// A gate stands for one sidecar. Requests come as fast as they are let through, and the sidecar starts again at any moment.
Test(rate_gate, holds_its_bound_over_any_number_of_gates_used_one_after_the_other)
{
    const bool held = rc::check([] {
        const double rate = *rc::gen::inRange(1, 4000) / 100.0;
        state::time_point now = Start;
        std::vector<state::time_point> starts;
        rate_gate gate(rate, now);
        for (int step = 0; step < 400; ++step) {
            now += milliseconds(*rc::gen::inRange(0, 120));
            if (*rc::gen::inRange(0, 20) == 0) {
                gate = rate_gate(rate, now);
            }
            while (gate.room(now) > 0) {
                gate.count(now);
                starts.push_back(now);
            }
        }
        const double allowed = std::max(rate, 1.0 / 60) * 4.5 + 1.0;
        RC_ASSERT(static_cast<double>(countFullest(starts, std::chrono::seconds(4))) <= allowed + 1e-6);
    });
    cr_assert(held);
}

Test(rate_gate, lets_the_whole_rate_through)
{
    rate_gate gate(2.0, Start);
    std::size_t count = 0;
    for (state::time_point now = Start; now < Start + std::chrono::seconds(100); now += milliseconds(10)) {
        for (; gate.room(now) > 0; ++count) {
            gate.count(now);
        }
    }
    cr_assert(count >= 199 && count <= 202, "%zu", count);
}

Test(rate_gate, a_rate_of_zero_lets_one_request_a_minute_through)
{
    rate_gate gate(0.0, Start);
    cr_assert(gate.roomAt(Start) == Start + MaxRequestInterval);
    cr_assert(gate.room(Start + MaxRequestInterval) == 1);
    gate.count(Start + MaxRequestInterval);
    cr_assert(gate.room(Start + MaxRequestInterval + std::chrono::seconds(50)) == 0);
}

Test(rate_gate, promises_each_refused_request_room_of_its_own)
{
    rate_gate gate(2.0, Start);
    const state::time_point first = gate.promiseRoom(Start);
    cr_assert(first == gate.roomAt(Start));
    cr_assert(gate.promiseRoom(Start) == first + milliseconds(500));
    cr_assert(gate.promiseRoom(Start) == first + milliseconds(1000));
    for (int i = 0; i < 100; ++i) {
        cr_assert(gate.promiseRoom(Start) <= Start + std::chrono::seconds(10));
    }
    const state::time_point later = Start + std::chrono::seconds(60);
    cr_assert(gate.promiseRoom(later) == later);
}

Test(worker_limit, begins_with_the_first_statement_and_ends_with_the_first_answer_without_it)
{
    worker_limit limit;
    cr_assert(limit.knowledge() == limit_knowledge::unknown && limit.gate() == nullptr);
    cr_assert(limit.recordAnswer(states(2.0), Start) == limit_change::learned);
    cr_assert(limit.recordAnswer(states(2.0), Start) == limit_change::none);
    cr_assert(limit.knowledge() == limit_knowledge::limited && limit.room(Start) == 0);
    cr_assert(limit.recordAnswer(states(1.0), Start) == limit_change::changed);
    cr_assert(limit.recordAnswer(statesNothing(Start + milliseconds(1)), Start + milliseconds(9)) == limit_change::lifted);
    cr_assert(limit.knowledge() == limit_knowledge::none && limit.room(Start) > 1000);
}

Test(worker_limit, does_not_end_by_time_nor_with_answers_that_tell_nothing)
{
    worker_limit limit;
    limit.recordAnswer(states(0.5), Start);
    const state::time_point later = Start + std::chrono::hours(5);
    cr_assert(limit.recordAnswer({std::nullopt, false, later}, later) == limit_change::none);                             // a refusal or a probe
    cr_assert(limit.recordAnswer(statesNothing(Start - milliseconds(1)), Start + milliseconds(1)) == limit_change::none); // overtaken
    cr_assert(limit.knowledge() == limit_knowledge::limited);
}

Test(worker_limit, a_fresh_sidecar_adopts_what_nodes_were_told_until_it_hears_the_worker)
{
    worker_limit limit;
    cr_assert(limit.adopt(2.0, Start) == limit_change::learned);
    cr_assert(limit.room(Start) == 0);
    cr_assert(limit.adopt(3.0, Start) == limit_change::none);
    cr_assert(limit.adopt(1.0, Start) == limit_change::changed);
    cr_assert(limit.recordAnswer(statesNothing(Start - milliseconds(5)), Start) == limit_change::lifted); // newer than any statement before the start
    cr_assert(limit.adopt(1.0, Start) == limit_change::none);
    cr_assert(limit.knowledge() == limit_knowledge::none);
}

Test(worker_limit, ends_with_the_lifetime_of_the_worker)
{
    worker_limit limit;
    limit.recordAnswer(states(1.0), Start);
    cr_assert(limit.forget() == limit_change::lifted);
    cr_assert(limit.knowledge() == limit_knowledge::unknown);
}
