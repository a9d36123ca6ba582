// Tests of coordination/admission.h.
#include <dandelionstall/coordination/admission.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point Start{1h};
constexpr std::uint64_t Seed = 20'261'203;

std::unique_ptr<admission_policy> makePolicy(std::string_view name, const admission_limits &limits)
{
    return *makeAdmissionPolicy(name, limits, Seed);
}

work_item makeItem(std::uint64_t sequence, std::string route, double worth, state::time_point deadline, std::chrono::microseconds costHint)
{
    return {.id = {1, sequence}, .route = std::move(route), .worth = worth, .deadline = deadline, .costHint = costHint};
}

bool isRefused(const admission_actions &todo, std::uint64_t sequence, refusal_reason reason)
{
    return std::any_of(
        todo.refuse.begin(), todo.refuse.end(), [&](const auto &refusal) { return refusal.id.sequence == sequence && refusal.reason == reason; });
}

bool isStarted(const admission_actions &todo, std::uint64_t sequence)
{
    return std::any_of(todo.start.begin(), todo.start.end(), [&](const auto &id) { return id.sequence == sequence; });
}

// Follows every item from its offer to its fate and checks what holds for any order of events.
class fate_ledger
{
public:
    explicit fate_ledger(std::uint32_t slots)
        : m_slots(slots)
    { }

    void take(const admission_actions &todo, state::time_point now)
    {
        for (const auto &id : todo.start) {
            RC_ASSERT(m_waiting.erase(id) == 1U);
            RC_ASSERT(m_deadlines.at(id) > now);
            RC_ASSERT(!m_draining);
            m_running.insert(id);
            RC_ASSERT(m_running.size() <= m_slots);
        }
        for (const auto &refusal : todo.refuse) {
            RC_ASSERT(m_waiting.erase(refusal.id) == 1U);
            RC_ASSERT(refusal.reason != refusal_reason::none);
            RC_ASSERT(refusal.retryAt > now);
        }
    }

    std::uint32_t m_slots;
    bool m_draining = false;
    std::set<state::attempt_id> m_waiting;
    std::set<state::attempt_id> m_running;
    std::map<state::attempt_id, state::time_point> m_deadlines;
};

state::attempt_id anyOf(const std::set<state::attempt_id> &ids)
{
    return *std::next(ids.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(ids.size())));
}

void offerAny(admission_policy &policy, fate_ledger &ledger, state::time_point now, std::uint64_t sequence)
{
    const auto worth = static_cast<double>(*rc::gen::inRange(1, 100));
    const auto hint = std::chrono::milliseconds(*rc::gen::inRange(0, 200));
    const auto deadline = now + std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
    const auto item = makeItem(sequence, "route" + std::to_string(sequence % 4), worth, deadline, hint);
    ledger.m_waiting.insert(item.id);
    ledger.m_deadlines[item.id] = deadline;
    ledger.take(policy.offer(item, now), now);
}

void endAny(admission_policy &policy, fate_ledger &ledger, state::time_point now)
{
    if (!ledger.m_running.empty()) {
        const auto id = anyOf(ledger.m_running);
        ledger.m_running.erase(id);
        ledger.take(policy.finish(id, *rc::gen::element(work_result::answered, work_result::failed, work_result::abandoned), now), now);
    }
}

void stepAny(admission_policy &policy, fate_ledger &ledger, state::time_point now, std::uint64_t sequence)
{
    const int event = *rc::gen::inRange(0, 20);
    if (event < 10) {
        offerAny(policy, ledger, now, sequence);
    } else if (event < 15) {
        endAny(policy, ledger, now);
    } else if (event < 17 && !ledger.m_waiting.empty()) {
        const auto id = anyOf(ledger.m_waiting);
        ledger.take(policy.cancel(id, now), now);
        RC_ASSERT(!ledger.m_waiting.contains(id));
    } else if (event < 18) {
        ledger.m_slots = *rc::gen::inRange<std::uint32_t>(0, 6);
        ledger.take(policy.setSlots(ledger.m_slots, now), now);
    } else {
        ledger.take(policy.advance(now), now);
        RC_ASSERT(policy.nextAdvanceAt() > now);
    }
}

void checkAnyOrder(std::string_view name)
{
    const admission_limits limits{*rc::gen::inRange<std::uint32_t>(1, 6), *rc::gen::inRange<std::uint32_t>(0, 12)};
    const auto policy = makePolicy(name, limits);
    fate_ledger ledger(limits.slots);
    state::time_point now = Start;
    const auto steps = *rc::gen::inRange<std::uint64_t>(1, 80);
    for (std::uint64_t step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
        stepAny(*policy, ledger, now, step);
        RC_ASSERT(policy->load(now).queued == ledger.m_waiting.size());
        RC_ASSERT(policy->load(now).busy == ledger.m_running.size());
        RC_ASSERT(ledger.m_waiting.size() <= limits.maxQueued);
    }
    ledger.take(policy->drain(now), now);
    ledger.m_draining = true;
    RC_ASSERT(ledger.m_waiting.empty());
    offerAny(*policy, ledger, now, steps);
    endAny(*policy, ledger, now);
    RC_ASSERT(ledger.m_waiting.empty());
}

} // namespace

Test(admission, unknown_names_are_refused)
{
    cr_assert(not(makeAdmissionPolicy("lifo", {}, Seed).ok()));
}

Test(admission, gives_every_item_one_fate_in_any_order_of_events)
{
    for (const std::string_view name : {"fifo", "worth_density"}) {
        cr_assert(rc::check(std::string(name), [name] { checkAnyOrder(name); }));
    }
}

Test(admission, starts_the_work_of_highest_density_first)
{
    const auto policy = makePolicy("worth_density", {1, 8});
    policy->offer(makeItem(1, "a", 1, Start + 10s, 100ms), Start);
    policy->offer(makeItem(2, "long", 3, Start + 10s, 600ms), Start);
    policy->offer(makeItem(3, "short", 2, Start + 10s, 100ms), Start);
    cr_assert(isStarted(policy->finish({1, 1}, work_result::answered, Start + 100ms), 3));
}

Test(admission, refuses_displaced_work_at_once)
{
    const auto policy = makePolicy("worth_density", {1, 1});
    policy->offer(makeItem(1, "a", 1, Start + 10s, 100ms), Start);
    policy->offer(makeItem(2, "a", 1, Start + 10s, 100ms), Start);
    cr_assert(isRefused(policy->offer(makeItem(3, "a", 9, Start + 10s, 100ms), Start), 2, refusal_reason::low_worth));
    cr_assert(isRefused(policy->offer(makeItem(4, "a", 1, Start + 10s, 100ms), Start), 4, refusal_reason::queue_full));
}

Test(admission, refuses_hopeless_work_at_once)
{
    const auto policy = makePolicy("worth_density", {1, 8});
    policy->offer(makeItem(1, "a", 1, Start + 1s, 500ms), Start);
    cr_assert(isRefused(policy->offer(makeItem(2, "a", 9, Start + 600ms, 500ms), Start), 2, refusal_reason::deadline_unreachable));
}

Test(admission, refuses_waiting_work_when_its_deadline_comes_near)
{
    const auto policy = makePolicy("worth_density", {1, 8});
    policy->offer(makeItem(1, "a", 1, Start + 1s, 100ms), Start);
    policy->offer(makeItem(2, "a", 1, Start + 400ms, 100ms), Start);
    const auto wake = policy->nextAdvanceAt();
    cr_assert(wake <= Start + 400ms);
    cr_assert(isRefused(policy->advance(wake), 2, refusal_reason::deadline_unreachable));
}

Test(admission, spreads_the_retry_times_of_refused_callers)
{
    const auto policy = makePolicy("worth_density", {1, 0});
    policy->offer(makeItem(0, "a", 1, Start + 10s, 100ms), Start);
    std::set<state::time_point> times;
    for (std::uint64_t sequence = 1; sequence <= 50; ++sequence) {
        times.insert(policy->offer(makeItem(sequence, "a", 1, Start + 10s, 100ms), Start).refuse.at(0).retryAt);
    }
    cr_assert(times.size() > 45U);
}

Test(admission, wakes_a_bounded_number_of_times_while_long_work_waits_beside_a_free_slot)
{
    const auto policy = makePolicy("worth_density", {2, 8});
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
        const state::time_point now = Start + sequence * 40ms;
        policy->offer(makeItem(sequence, "short", 1, now + 1s, 20ms), now);
        policy->finish({1, sequence}, work_result::answered, now + 20ms);
    }
    state::time_point now = Start + 830ms;
    policy->offer(makeItem(21, "long", 1, now + 20s, 2s), now);
    admission_actions todo = policy->offer(makeItem(22, "long", 1, now + 20s, 2s), now);
    int wakes = 0;
    while (!isStarted(todo, 22) && ++wakes < 100) {
        now = policy->nextAdvanceAt();
        todo = policy->advance(now);
    }
    cr_assert(isStarted(todo, 22));
    cr_assert(now < Start + 3s);
}

// Work that was noted as dense under a wrong hint must not count against the same work once its cost is known.
Test(admission, keeps_waiting_work_when_its_cost_turns_out_higher)
{
    const auto policy = makePolicy("worth_density", {1, 64});
    for (std::uint64_t sequence = 1; sequence <= 40; ++sequence) {
        const state::time_point now = Start + sequence * 1ms;
        policy->offer(makeItem(sequence, "a", 1, now + 1min, 50ms), now);
    }
    cr_assert(policy->finish({1, 1}, work_result::answered, Start + 501ms).refuse.empty());
    cr_assert(policy->load(Start + 501ms).queued == 38U);
}
