// What all admission policies share: running items, waiting items, slots and draining.
//
// A policy derives from slot_queue and says in settle() which waiting items start and which are refused.
#pragma once

#include <dandelionstall/coordination/admission.h>
#include <dandelionstall/coordination/cost.h>

#include <pcg_random.hpp>

#include <unordered_map>

namespace dandelionstall::coordination::detail {

struct waiting_work {
    state::attempt_id id;
    std::uint64_t arrival = 0;         // order of offers
    cost_key key = 0;                  // class of its cost
    std::chrono::microseconds cost{0}; // expected run time
    double worth = 0.0;                // value of its answer
    double density = 0.0;              // worth per second of expected run time
    state::time_point offeredAt;
    state::time_point deadline;
    state::time_point targetAt; // worth less after it
    bool isLate = false;        // it cannot end by then
};

struct running_work {
    cost_key key = 0; // class of its cost
    bool isLong = false;
    double density = 0.0; // as when it started
    state::time_point startedAt;
    state::time_point expectedEnd;
    state::time_point deadline;
};

class slot_queue : public admission_policy
{
public:
    slot_queue(const admission_limits &limits, std::uint64_t seed);

    admission_actions offer(const work_item &item, state::time_point now) override;
    admission_actions finish(const state::attempt_id &id, work_result result, state::time_point now) override;
    admission_actions cancel(const state::attempt_id &id, state::time_point now) override;
    admission_actions advance(state::time_point now) override;
    admission_actions setSlots(std::uint32_t slots, state::time_point now) override;
    admission_actions drain(state::time_point now) override;
    state::time_point nextAdvanceAt() const override;

protected:
    using running_map = std::unordered_map<state::attempt_id, running_work>;

    virtual void enqueue(const work_item &item, state::time_point now, admission_actions &todo) = 0; // places or refuses a new item
    virtual void settle(state::time_point now, admission_actions &todo) = 0;                         // starts and refuses waiting items
    virtual void noteEnd(const running_work &work, work_result result, state::time_point now);       // a running item has ended
    virtual state::time_point retryTime(state::time_point now);                                      // for one refused item
    virtual bool isLong(const waiting_work &work) const;                                             // kind of a starting item

    waiting_work makeWaiting(const work_item &item, state::time_point now); // without key, cost and density
    bool hasFreeSlot() const;
    void start(std::size_t index, state::time_point now, admission_actions &todo);                         // starts a waiting item
    void refuse(std::size_t index, refusal_reason reason, state::time_point now, admission_actions &todo); // refuses a waiting item
    void refuseItem(const state::attempt_id &id, refusal_reason reason, state::time_point now, admission_actions &todo);

    admission_limits m_limits;
    pcg32 m_random;
    std::uint64_t m_arrivals = 0;
    bool m_draining = false;
    state::time_point m_nextDeadline = state::time_point::max();
    running_map m_running;
    std::vector<waiting_work> m_waiting; // in the order of the policy
};

std::unique_ptr<admission_policy> makeFifo(const admission_limits &limits, std::uint64_t seed);
std::unique_ptr<admission_policy> makeWorthDensity(const admission_limits &limits, std::uint64_t seed);

} // namespace dandelionstall::coordination::detail
