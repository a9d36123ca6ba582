// Tests of coordination/admission/admission.h.
#include <dandelionstall/coordination/admission/admission.h>

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

bool isRefused(const admission_actions &actions, std::uint64_t sequence, refusal_reason reason)
{
    return std::any_of(
        actions.refuse.begin(), actions.refuse.end(), [&](const auto &refusal) { return refusal.id.sequence == sequence && refusal.reason == reason; });
}

bool isStarted(const admission_actions &actions, std::uint64_t sequence)
{
    return std::any_of(actions.start.begin(), actions.start.end(), [&](const auto &id) { return id.sequence == sequence; });
}

// Tracks every item from its offer until it is started or refused, and checks the invariants that hold for any order of events.
class item_tracker
{
public:
    explicit item_tracker(std::uint32_t slots)
        : m_slots(slots)
    { }

    void handleActions(const admission_actions &actions, state::time_point now)
    {
        for (const auto &id : actions.start) {
            RC_ASSERT(m_waiting.erase(id) == 1U);
            RC_ASSERT(m_deadlines.at(id) > now);
            RC_ASSERT(!m_draining);
            m_running.insert(id);
            RC_ASSERT(m_running.size() <= m_slots);
        }
        for (const auto &refusal : actions.refuse) {
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

state::attempt_id randomElement(const std::set<state::attempt_id> &ids)
{
    return *std::next(ids.begin(), *rc::gen::inRange<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(ids.size())));
}

void offerRandomItem(admission_policy &policy, item_tracker &tracker, state::time_point now, std::uint64_t sequence)
{
    const auto worth = static_cast<double>(*rc::gen::inRange(1, 100));
    const auto hint = std::chrono::milliseconds(*rc::gen::inRange(0, 200));
    const auto deadline = now + std::chrono::milliseconds(*rc::gen::inRange(0, 1000));
    const auto item = makeItem(sequence, "route" + std::to_string(sequence % 4), worth, deadline, hint);
    tracker.m_waiting.insert(item.id);
    tracker.m_deadlines[item.id] = deadline;
    tracker.handleActions(policy.offer(item, now), now);
}

void finishRandomItem(admission_policy &policy, item_tracker &tracker, state::time_point now)
{
    if (!tracker.m_running.empty()) {
        const auto id = randomElement(tracker.m_running);
        tracker.m_running.erase(id);
        tracker.handleActions(policy.finish(id, *rc::gen::element(work_result::answered, work_result::failed, work_result::abandoned), now), now);
    }
}

void runRandomEvent(admission_policy &policy, item_tracker &tracker, state::time_point now, std::uint64_t sequence)
{
    const int event = *rc::gen::inRange(0, 20);
    if (event < 10) {
        offerRandomItem(policy, tracker, now, sequence);
    } else if (event < 15) {
        finishRandomItem(policy, tracker, now);
    } else if (event < 17 && !tracker.m_waiting.empty()) {
        const auto id = randomElement(tracker.m_waiting);
        tracker.handleActions(policy.cancel(id, now), now);
        RC_ASSERT(!tracker.m_waiting.contains(id));
    } else if (event < 18) {
        tracker.m_slots = *rc::gen::inRange<std::uint32_t>(0, 6);
        tracker.handleActions(policy.setSlots(tracker.m_slots, now), now);
    } else {
        tracker.handleActions(policy.advance(now), now);
        RC_ASSERT(policy.nextAdvanceAt() > now);
    }
}

void checkRandomEvents(std::string_view name)
{
    const admission_limits limits{*rc::gen::inRange<std::uint32_t>(1, 6), *rc::gen::inRange<std::uint32_t>(0, 12)};
    const auto policy = makePolicy(name, limits);
    item_tracker tracker(limits.slots);
    state::time_point now = Start;
    const auto steps = *rc::gen::inRange<std::uint64_t>(1, 80);
    for (std::uint64_t step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 60));
        runRandomEvent(*policy, tracker, now, step);
        RC_ASSERT(policy->load(now).queued == tracker.m_waiting.size());
        RC_ASSERT(policy->load(now).busy == tracker.m_running.size());
        RC_ASSERT(tracker.m_waiting.size() <= limits.maxQueued);
    }
    tracker.handleActions(policy->drain(now), now);
    tracker.m_draining = true;
    RC_ASSERT(tracker.m_waiting.empty());
    offerRandomItem(*policy, tracker, now, steps);
    finishRandomItem(*policy, tracker, now);
    RC_ASSERT(tracker.m_waiting.empty());
}

} // namespace

Test(admission, rejects_an_unknown_policy_name)
{
    cr_assert(not(makeAdmissionPolicy("lifo", {}, Seed).ok()));
}

Test(admission, starts_or_refuses_every_item_exactly_once_in_any_order_of_events)
{
    for (const std::string_view name : {"fifo", "worth_density"}) {
        cr_assert(rc::check(std::string(name), [name] { checkRandomEvents(name); }));
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

Test(admission, refuses_displaced_work_immediately)
{
    const auto policy = makePolicy("worth_density", {1, 1});
    policy->offer(makeItem(1, "a", 1, Start + 10s, 100ms), Start);
    policy->offer(makeItem(2, "a", 1, Start + 10s, 100ms), Start);
    cr_assert(isRefused(policy->offer(makeItem(3, "a", 9, Start + 10s, 100ms), Start), 2, refusal_reason::low_worth));
    cr_assert(isRefused(policy->offer(makeItem(4, "a", 1, Start + 10s, 100ms), Start), 4, refusal_reason::queue_full));
}

Test(admission, refuses_work_that_cannot_meet_its_deadline_immediately)
{
    const auto policy = makePolicy("worth_density", {1, 8});
    policy->offer(makeItem(1, "a", 1, Start + 1s, 500ms), Start);
    cr_assert(isRefused(policy->offer(makeItem(2, "a", 9, Start + 600ms, 500ms), Start), 2, refusal_reason::deadline_unreachable));
}

Test(admission, refuses_waiting_work_when_it_can_no_longer_meet_its_deadline)
{
    const auto policy = makePolicy("worth_density", {1, 8});
    policy->offer(makeItem(1, "a", 1, Start + 1s, 100ms), Start);
    policy->offer(makeItem(2, "a", 1, Start + 400ms, 100ms), Start);
    const auto advanceAt = policy->nextAdvanceAt();
    cr_assert(advanceAt <= Start + 400ms);
    cr_assert(isRefused(policy->advance(advanceAt), 2, refusal_reason::deadline_unreachable));
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

Test(admission, advances_a_bounded_number_of_times_while_long_work_waits_for_a_reserved_slot)
{
    const auto policy = makePolicy("worth_density", {2, 8});
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
        const state::time_point now = Start + sequence * 40ms;
        policy->offer(makeItem(sequence, "short", 1, now + 1s, 20ms), now);
        policy->finish({1, sequence}, work_result::answered, now + 20ms);
    }
    state::time_point now = Start + 830ms;
    policy->offer(makeItem(21, "long", 1, now + 20s, 2s), now);
    admission_actions actions = policy->offer(makeItem(22, "long", 1, now + 20s, 2s), now);
    int advances = 0;
    while (!isStarted(actions, 22) && ++advances < 100) {
        now = policy->nextAdvanceAt();
        actions = policy->advance(now);
    }
    cr_assert(isStarted(actions, 22));
    cr_assert(now < Start + 3s);
}

// Demand recorded with a high density because of a wrong cost hint must not cause refusals of the same work once its cost is
// known.
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
