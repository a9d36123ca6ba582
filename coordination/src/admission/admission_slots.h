// Base class of all admission policies: manages running items, waiting items, slots and draining.
//
// A policy derives from slot_queue and decides in processQueue() which waiting items start and which are refused.
#pragma once

#include <dandelionstall/coordination/admission/admission.h>
#include <dandelionstall/coordination/admission/cost.h>

#include <pcg_random.hpp>

#include <unordered_map>

namespace dandelionstall::coordination::detail {

struct waiting_work {
    state::attempt_id id;
    std::uint64_t arrival = 0;         // sequence number of the offer
    cost_key key = 0;                  // cost class of the item
    std::chrono::microseconds cost{0}; // expected run time
    double worth = 0.0;                // value of an answer before the deadline
    double density = 0.0;              // worth per second of expected run time
    state::time_point offeredAt;
    state::time_point deadline;
    state::time_point targetAt; // an answer after it has a reduced value
    bool isLate = false;        // the item is not expected to end by targetAt
};

struct running_work {
    cost_key key = 0;     // cost class of the item
    bool isLong = false;  // much longer than typical work, as determined at its start
    double density = 0.0; // worth per second of expected run time, as determined at its start
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

    virtual void enqueue(const work_item &item, state::time_point now, admission_actions &actions) = 0; // queues or refuses a new item
    virtual void processQueue(state::time_point now, admission_actions &actions) = 0;            // called after each event; starts and refuses waiting items
    virtual void recordEnd(const running_work &work, work_result result, state::time_point now); // called when a running item has ended
    virtual state::time_point retryTime(state::time_point now);                                  // time from which the caller of a refused item may retry
    virtual bool isLong(const waiting_work &work) const;                                         // true when the item is much longer than typical work

    waiting_work makeWaiting(const work_item &item, state::time_point now); // copies the item; leaves key, cost and density at their defaults
    bool hasFreeSlot() const;
    void start(std::size_t index, state::time_point now, admission_actions &actions);                         // starts the waiting item at index
    void refuse(std::size_t index, refusal_reason reason, state::time_point now, admission_actions &actions); // refuses the waiting item at index
    void refuseItem(const state::attempt_id &id, refusal_reason reason, state::time_point now, admission_actions &actions);

    admission_limits m_limits;
    pcg32 m_random;
    std::uint64_t m_arrivals = 0;
    bool m_draining = false;
    state::time_point m_nextAdvanceAt = state::time_point::max();
    running_map m_running;
    std::vector<waiting_work> m_waiting; // in the order defined by the policy
};

std::unique_ptr<admission_policy> makeFifo(const admission_limits &limits, std::uint64_t seed);
std::unique_ptr<admission_policy> makeWorthDensity(const admission_limits &limits, std::uint64_t seed);

} // namespace dandelionstall::coordination::detail
