#include <dandelionstall/coordination/limits/rate_gate.h>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::seconds MaxPromise{10}; // refused requests rarely return later than this

state::duration intervalOf(double perSecond)
{
    const double longest = std::chrono::duration<double>(MaxRequestInterval).count();
    const double seconds = perSecond * longest > 1.0 ? 1.0 / perSecond : longest;
    return std::max(std::chrono::duration_cast<state::duration>(std::chrono::duration<double>(seconds)), state::duration(1));
}

} // namespace

rate_gate::rate_gate(double perSecond, state::time_point now)
    : m_rate(perSecond)
    , m_interval(intervalOf(perSecond))
    , m_usedUntil(now + BurstTime + m_interval)
{ }

void rate_gate::setRate(double perSecond)
{
    m_rate = perSecond;
    m_interval = intervalOf(perSecond);
}

double rate_gate::rate() const
{
    return m_rate;
}

state::duration rate_gate::interval() const
{
    return m_interval;
}

std::uint32_t rate_gate::room(state::time_point now) const
{
    const state::duration spare = now + BurstTime - std::max(m_usedUntil, now);
    return spare < state::duration::zero() ? 0 : static_cast<std::uint32_t>(spare / m_interval) + 1;
}

state::time_point rate_gate::roomAt(state::time_point now, std::uint32_t ahead) const
{
    return std::max(now, std::max(m_usedUntil, now) + m_interval * ahead - BurstTime);
}

void rate_gate::count(state::time_point now)
{
    m_usedUntil = std::max(m_usedUntil, now) + m_interval;
}

void rate_gate::discount()
{
    m_usedUntil -= m_interval;
}

state::time_point rate_gate::promiseRoom(state::time_point now)
{
    const state::time_point promised = std::min(std::max(roomAt(now), m_promisedUntil), now + MaxPromise);
    m_promisedUntil = promised + m_interval;
    return promised;
}

} // namespace dandelionstall::coordination
