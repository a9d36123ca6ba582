#include "admission_demand.h"

#include <algorithm>
#include <cmath>

namespace dandelionstall::coordination::detail {

namespace {

constexpr std::chrono::milliseconds BucketSpan{500};
constexpr double MinDensity = 1e-3;      // worth per second; lower densities belong to the lowest class
constexpr double MinWindowSeconds = 0.1; // lower bound of the window; rates over a shorter time are meaningless

} // namespace

std::size_t load_above::classOf(double density)
{
    const double octaves = std::log2(std::max(density, MinDensity) / MinDensity);
    return std::min(static_cast<std::size_t>(octaves * static_cast<double>(ClassesPerOctave)), Classes - 1);
}

void recent_demand::recordOffer(const offered_work &work, state::time_point now)
{
    advanceBuckets(now);
    m_current.offered += seconds(work.cost);
    m_current.byDensity[load_above::classOf(work.density)] += static_cast<float>(seconds(work.cost));
    if (!work.isLong) {
        m_current.shortWork += seconds(work.cost);
        m_current.shortWorth += work.worth;
    }
}

void recent_demand::recordLowWorthRefusal(double density, state::time_point now)
{
    advanceBuckets(now);
    m_current.refusedDensity = std::max(m_current.refusedDensity, density);
}

void recent_demand::clearDensities()
{
    m_current.byDensity = {};
    m_previous.byDensity = {};
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

bool recent_demand::hasShortWork(state::time_point now) const
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

void recent_demand::advanceBuckets(state::time_point now)
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

double recent_demand::windowSeconds(state::time_point now) const
{
    const bool hasPrevious = now < m_currentEndsAt && m_previous.offered > 0.0;
    const state::time_point since = m_currentEndsAt - (hasPrevious ? 2 * BucketSpan : BucketSpan);
    return std::max(seconds(now - since), MinWindowSeconds);
}

double recent_demand::perSecond(double bucket::*sum, state::time_point now) const
{
    return total(sum, now) / windowSeconds(now);
}

load_above recent_demand::loadAbove(state::time_point now) const
{
    load_above load;
    if (now >= m_currentEndsAt + BucketSpan) {
        return load;
    }
    const bool hasPrevious = now < m_currentEndsAt;
    const double window = windowSeconds(now);
    double above = 0.0;
    for (std::size_t index = load_above::Classes; index-- > 0;) {
        load.m_above[index] = above / window;
        above += m_current.byDensity[index] + (hasPrevious ? m_previous.byDensity[index] : 0.0F);
    }
    return load;
}

} // namespace dandelionstall::coordination::detail
