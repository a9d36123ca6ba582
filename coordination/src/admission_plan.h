// Plans when slots come free and waiting work could start. Used by policies that refuse what cannot be served in time.
#pragma once

#include "admission_demand.h"
#include "admission_slots.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace dandelionstall::coordination::detail {

inline constexpr int OverdueShare = 4;       // an item past its expected end is taken to need a quarter of its cost more
inline constexpr double WaitMargin = 1.25;   // planned waits are stretched by a quarter
inline constexpr double MinFreeShare = 0.02; // of the slot time that denser work leaves; below it work that must wait has no chance

// Min-heap of the times at which slots are expected to come free.
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

// Run times vary, and denser work that is still to come goes first: a planned wait is stretched by both.
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

inline bool fits(const waiting_work &work, state::time_point start)
{
    return start <= work.deadline - work.cost;
}

// An item past its expected end is a straggler of unknown length: the longer it has run over, the longer it is taken to go on.
inline state::time_point remainingEnd(const running_work &work, state::time_point now)
{
    if (work.expectedEnd > now) {
        return std::min(work.expectedEnd, std::max(work.deadline, now));
    }
    const state::duration cost = work.expectedEnd - work.startedAt;
    const state::time_point guess = now + std::max(cost / OverdueShare, now - work.expectedEnd);
    return std::min(guess, std::max(work.deadline, now));
}

} // namespace dandelionstall::coordination::detail
