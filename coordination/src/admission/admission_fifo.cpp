// Baseline for comparison: serves items in order of arrival. Refuses items when the queue is full or their deadline has passed.
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
    void enqueue(const work_item &item, state::time_point now, admission_actions &actions) override
    {
        if (m_waiting.size() >= m_limits.maxQueued && !hasFreeSlot()) {
            refuseItem(item.id, refusal_reason::queue_full, now, actions);
            return;
        }
        m_waiting.push_back(makeWaiting(item, now));
    }

    void processQueue(state::time_point now, admission_actions &actions) override
    {
        m_nextAdvanceAt = state::time_point::max();
        for (std::size_t index = 0; index < m_waiting.size();) {
            if (m_waiting[index].deadline <= now) {
                refuse(index, refusal_reason::expired_in_queue, now, actions);
            } else if (hasFreeSlot()) {
                start(index, now, actions);
            } else {
                m_nextAdvanceAt = std::min(m_nextAdvanceAt, m_waiting[index].deadline);
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
