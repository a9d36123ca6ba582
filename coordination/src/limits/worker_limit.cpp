#include <dandelionstall/coordination/limits/worker_limit.h>

#include <limits>

namespace dandelionstall::coordination {

limit_change worker_limit::recordAnswer(const limit_answer &answer, state::time_point now)
{
    if (answer.rate) {
        m_heard = true;
        m_statedAt = now;
        return setRate(*answer.rate, now);
    }
    // An answer to an earlier request may have overtaken the one that states the limit.
    if (!answer.mayLift || answer.requestedAt < m_statedAt) {
        return limit_change::none;
    }
    m_heard = true;
    const bool lifted = m_gate.has_value();
    m_gate.reset();
    return lifted ? limit_change::lifted : limit_change::none;
}

limit_change worker_limit::adopt(double rate, state::time_point now)
{
    const bool isTighter = !m_gate || rate < m_gate->rate();
    return !m_heard && isTighter ? setRate(rate, now) : limit_change::none;
}

limit_change worker_limit::setRate(double rate, state::time_point now)
{
    if (!m_gate) {
        m_gate.emplace(rate, now);
        return limit_change::learned;
    }
    if (m_gate->rate() == rate) {
        return limit_change::none;
    }
    m_gate->setRate(rate);
    return limit_change::changed;
}

limit_change worker_limit::forget()
{
    const bool lifted = m_gate.has_value();
    *this = worker_limit{};
    return lifted ? limit_change::lifted : limit_change::none;
}

limit_knowledge worker_limit::knowledge() const
{
    if (m_gate) {
        return limit_knowledge::limited;
    }
    return m_heard ? limit_knowledge::none : limit_knowledge::unknown;
}

const rate_gate *worker_limit::gate() const
{
    return m_gate ? &*m_gate : nullptr;
}

std::uint32_t worker_limit::room(state::time_point now) const
{
    return m_gate ? m_gate->room(now) : std::numeric_limits<std::uint32_t>::max();
}

void worker_limit::recordStart(state::time_point now)
{
    if (m_gate) {
        m_gate->count(now);
    }
}

state::time_point worker_limit::promiseRoom(state::time_point now)
{
    return m_gate ? m_gate->promiseRoom(now) : now;
}

} // namespace dandelionstall::coordination
