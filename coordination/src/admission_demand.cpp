#include "admission_demand.h"

#include <algorithm>

namespace dandelionstall::coordination::detail {

namespace {

constexpr std::chrono::milliseconds BucketSpan{500};
constexpr double MinWindowSeconds = 0.1; // a shorter stretch says nothing about a rate

double seconds(state::duration span)
{
    return std::chrono::duration<double>(span).count();
}

} // namespace

void recent_demand::noteOffer(std::chrono::microseconds cost, double worth, bool isLong, state::time_point now)
{
    roll(now);
    m_current.offered += seconds(cost);
    if (!isLong) {
        m_current.shortWork += seconds(cost);
        m_current.shortWorth += worth;
    }
}

void recent_demand::noteLowWorth(double density, state::time_point now)
{
    roll(now);
    m_current.refusedDensity = std::max(m_current.refusedDensity, density);
}

double recent_demand::offeredLoad(state::time_point now) const
{
    return perSecond(&bucket::offered, now);
}

double recent_demand::shortLoad(state::time_point now) const
{
    return perSecond(&bucket::shortWork, now);
}

double recent_demand::shortDensity(state::time_point now) const
{
    const double work = total(&bucket::shortWork, now);
    return work > 0.0 ? total(&bucket::shortWorth, now) / work : 0.0;
}

double recent_demand::refusedDensity(state::time_point now) const
{
    if (now >= m_currentEndsAt + BucketSpan) {
        return 0.0;
    }
    return now >= m_currentEndsAt ? m_current.refusedDensity : std::max(m_current.refusedDensity, m_previous.refusedDensity);
}

bool recent_demand::hasShort(state::time_point now) const
{
    return total(&bucket::shortWork, now) > 0.0;
}

state::time_point recent_demand::changesAt(state::time_point now) const
{
    if (now < m_currentEndsAt) {
        return m_currentEndsAt;
    }
    return now < m_currentEndsAt + BucketSpan ? m_currentEndsAt + BucketSpan : state::time_point::max();
}

void recent_demand::roll(state::time_point now)
{
    if (now < m_currentEndsAt) {
        return;
    }
    const bool isNext = now < m_currentEndsAt + BucketSpan;
    m_previous = isNext ? m_current : bucket{};
    m_current = {};
    m_currentEndsAt = isNext ? m_currentEndsAt + BucketSpan : now + BucketSpan;
}

double recent_demand::total(double bucket::*sum, state::time_point now) const
{
    if (now >= m_currentEndsAt + BucketSpan) {
        return 0.0;
    }
    return now >= m_currentEndsAt ? m_current.*sum : m_current.*sum + m_previous.*sum;
}

double recent_demand::perSecond(double bucket::*sum, state::time_point now) const
{
    const bool hasPrevious = now < m_currentEndsAt && m_previous.offered > 0.0;
    const state::time_point since = m_currentEndsAt - (hasPrevious ? 2 * BucketSpan : BucketSpan);
    return total(sum, now) / std::max(seconds(now - since), MinWindowSeconds);
}

} // namespace dandelionstall::coordination::detail
