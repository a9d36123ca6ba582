// Plans when slots become free and when waiting work can start. Used by policies that refuse work that cannot be served in time.
#pragma once

#include "admission_demand.h"
#include "admission_slots.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace dandelionstall::coordination::detail {

inline constexpr int OverdueDivisor = 4;     // an item past its expected end is expected to need at least another 1/4 of its cost
inline constexpr double WaitMargin = 1.25;   // planned waits are multiplied by this, since run times vary
inline constexpr double MinFreeShare = 0.02; // share of the slot time left free by denser work; at or below it, waiting work is expected never to start

// Min-heap of the times at which slots are expected to become free.
class slot_plan
{
public:
    explicit slot_plan(std::vector<state::time_point> freeTimes)
        : m_freeTimes(std::move(freeTimes))
    {
        std::make_heap(m_freeTimes.begin(), m_freeTimes.end(), std::greater<>());
    }

    state::time_point nextFree() const
    {
        return m_freeTimes.empty() ? state::time_point::max() : m_freeTimes.front();
    }

    void occupyUntil(state::time_point end)
    {
        std::pop_heap(m_freeTimes.begin(), m_freeTimes.end(), std::greater<>());
        m_freeTimes.back() = end;
        std::push_heap(m_freeTimes.begin(), m_freeTimes.end(), std::greater<>());
    }

private:
    std::vector<state::time_point> m_freeTimes;
};

// Corrects a planned wait for variation of run times and for denser work that is still to arrive and will start first: the
// wait is multiplied by WaitMargin and divided by the share of slot time that denser work leaves free.
class wait_forecast
{
public:
    wait_forecast(const recent_demand &demand, std::uint32_t slots, state::time_point now)
        : m_load(demand.loadAbove(now))
        , m_slots(std::max(1U, slots))
        , m_now(now)
    { }

    state::time_point startOf(const waiting_work &work, state::time_point planned) const
    {
        if (planned <= m_now || planned == state::time_point::max()) {
            return planned;
        }
        const double freeShare = 1.0 - m_load(work.density) / m_slots;
        if (freeShare <= MinFreeShare) {
            return state::time_point::max();
        }
        return m_now + std::chrono::duration_cast<state::duration>((planned - m_now) * (WaitMargin / freeShare));
    }

private:
    load_above m_load;
    double m_slots;
    state::time_point m_now;
};

inline bool meetsDeadline(const waiting_work &work, state::time_point start)
{
    return start <= work.deadline - work.cost;
}

// Expected end of a running item. The remaining run time of an item past its expected end is unknown: it is taken to be as
// long as the time since the expected end, and at least a fixed share of the cost.
inline state::time_point estimatedEnd(const running_work &work, state::time_point now)
{
    if (work.expectedEnd > now) {
        return std::min(work.expectedEnd, std::max(work.deadline, now));
    }
    const state::duration cost = work.expectedEnd - work.startedAt;
    const state::time_point estimate = now + std::max(cost / OverdueDivisor, now - work.expectedEnd);
    return std::min(estimate, std::max(work.deadline, now));
}

} // namespace dandelionstall::coordination::detail
