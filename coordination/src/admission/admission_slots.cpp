#include "admission_slots.h"

#include <algorithm>

namespace dandelionstall::coordination::detail {

namespace {

constexpr std::chrono::seconds DefaultRetryDelay{1};

} // namespace

slot_queue::slot_queue(const admission_limits &limits, std::uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
{ }

admission_actions slot_queue::offer(const work_item &item, state::time_point now)
{
    admission_actions actions;
    if (m_draining) {
        refuseItem(item.id, refusal_reason::draining, now, actions);
        return actions;
    }
    if (item.deadline <= now) {
        refuseItem(item.id, refusal_reason::deadline_unreachable, now, actions);
        return actions;
    }
    enqueue(item, now, actions);
    processQueue(now, actions);
    return actions;
}

admission_actions slot_queue::finish(const state::attempt_id &id, work_result result, state::time_point now)
{
    admission_actions actions;
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return actions;
    }
    const running_work ended = found->second;
    m_running.erase(found);
    recordEnd(ended, result, now);
    processQueue(now, actions);
    return actions;
}

admission_actions slot_queue::cancel(const state::attempt_id &id, state::time_point now)
{
    admission_actions actions;
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(), [&id](const waiting_work &work) { return work.id == id; });
    if (found == m_waiting.end()) {
        return actions;
    }
    refuse(static_cast<std::size_t>(found - m_waiting.begin()), refusal_reason::cancelled, now, actions);
    processQueue(now, actions);
    return actions;
}

admission_actions slot_queue::advance(state::time_point now)
{
    admission_actions actions;
    processQueue(now, actions);
    return actions;
}

admission_actions slot_queue::setSlots(std::uint32_t slots, state::time_point now)
{
    m_limits.slots = slots;
    return advance(now);
}

admission_actions slot_queue::drain(state::time_point now)
{
    admission_actions actions;
    m_draining = true;
    while (!m_waiting.empty()) {
        refuse(0, refusal_reason::draining, now, actions);
    }
    m_nextAdvanceAt = state::time_point::max();
    return actions;
}

state::time_point slot_queue::nextAdvanceAt() const
{
    return m_nextAdvanceAt;
}

void slot_queue::recordEnd(const running_work &, work_result, state::time_point)
{ }

state::time_point slot_queue::retryTime(state::time_point now)
{
    return now + DefaultRetryDelay;
}

bool slot_queue::isLong(const waiting_work &) const
{
    return false;
}

waiting_work slot_queue::makeWaiting(const work_item &item, state::time_point now)
{
    waiting_work work;
    work.id = item.id;
    work.arrival = ++m_arrivals;
    work.worth = item.worth;
    work.offeredAt = now;
    work.deadline = item.deadline;
    work.targetAt = item.targetAt;
    return work;
}

bool slot_queue::hasFreeSlot() const
{
    return m_running.size() < m_limits.slots;
}

void slot_queue::start(std::size_t index, state::time_point now, admission_actions &actions)
{
    const waiting_work work = m_waiting[index];
    m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
    m_running[work.id] = {work.key, isLong(work), work.density, now, now + work.cost, work.deadline};
    actions.start.push_back(work.id);
}

void slot_queue::refuse(std::size_t index, refusal_reason reason, state::time_point now, admission_actions &actions)
{
    const state::attempt_id id = m_waiting[index].id;
    m_waiting.erase(m_waiting.begin() + static_cast<std::ptrdiff_t>(index));
    refuseItem(id, reason, now, actions);
}

void slot_queue::refuseItem(const state::attempt_id &id, refusal_reason reason, state::time_point now, admission_actions &actions)
{
    actions.refuse.push_back({id, reason, retryTime(now)});
}

} // namespace dandelionstall::coordination::detail
