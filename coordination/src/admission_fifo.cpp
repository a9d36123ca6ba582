// The baseline: first come, first served, until the queue is full or the deadline has passed.
#include "admission_slots.h"

#include <algorithm>

namespace dandelionstall::coordination::detail {

namespace {

class fifo final : public slot_queue
{
public:
    using slot_queue::slot_queue;

    admission_load load(state::time_point) const override
    {
        return {m_limits.slots, static_cast<std::uint32_t>(m_running.size()), static_cast<std::uint32_t>(m_waiting.size()), {}, 0.0};
    }

protected:
    void enqueue(const work_item &item, state::time_point now, admission_actions &todo) override
    {
        if (m_waiting.size() >= m_limits.maxQueued && !hasFreeSlot()) {
            refuseItem(item.id, refusal_reason::queue_full, now, todo);
            return;
        }
        m_waiting.push_back(makeWaiting(item, now));
    }

    void settle(state::time_point now, admission_actions &todo) override
    {
        m_nextDeadline = state::time_point::max();
        for (std::size_t index = 0; index < m_waiting.size();) {
            if (m_waiting[index].deadline <= now) {
                refuse(index, refusal_reason::expired_in_queue, now, todo);
            } else if (hasFreeSlot()) {
                start(index, now, todo);
            } else {
                m_nextDeadline = std::min(m_nextDeadline, m_waiting[index].deadline);
                ++index;
            }
        }
    }
};

} // namespace

std::unique_ptr<admission_policy> makeFifo(const admission_limits &limits, std::uint64_t seed)
{
    return std::make_unique<fifo>(limits, seed);
}

} // namespace dandelionstall::coordination::detail
