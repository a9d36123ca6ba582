#include <dandelionstall/coordination/repeats/repeat_budget.h>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

constexpr double AllowanceShare = 0.9; // part of an allowance that is used; the rest covers the time from the sending of a request to its arrival
constexpr std::chrono::milliseconds SettlingTime{1000}; // time for a change of a pool's workers to reach all nodes
constexpr std::chrono::seconds FirstStartTime{6};       // time in which a fleet that starts at once knows its workers

// Weights of the windows whose requests may count, with the sum 1. Most weight is on the window itself, so that the budget follows
// a rising load; the rest admits repeats at once when failures begin under a steady load.
constexpr double WindowWeight = 0.6;
constexpr double WindowBeforeWeight = 0.2;
constexpr double HalfEarlierWeight = 0.2;

} // namespace

repeat_budget::repeat_budget(state::time_point startedAt, earlier_repeats earlier)
    : m_startedAt(startedAt)
    , m_earlier(earlier)
{ }

void repeat_budget::expectEarlierRepeats()
{
    m_earlier = earlier_repeats::possible;
}

void repeat_budget::recordWorkers(std::uint32_t poolWorkers, state::time_point now)
{
    m_poolWorkers.record(poolWorkers, now);
}

void repeat_budget::recordRequest(const state::retry_allowance &allowance, state::time_point now)
{
    if (!allowance.isLimited) {
        return;
    }
    advance(allowance.window, now);
    ++m_buckets.back().requests;
}

repeat_verdict repeat_budget::check(repeat_kind kind, const state::retry_allowance &allowance, state::time_point now)
{
    if (kind == repeat_kind::none || !allowance.isLimited) {
        return {};
    }
    advance(allowance.window, now);
    const double extra = extraPart(allowance, now);
    repeat_verdict verdict;
    const auto lastWindow = m_buckets.end() - BucketsPerWindow;
    for (auto entry = lastWindow; entry != m_buckets.end(); ++entry) {
        verdict.counts.requests += entry->requests;
        verdict.counts.repeats += entry->repeats;
    }
    verdict.counts.sharers = m_poolWorkers.since(now - allowance.window - SettlingTime);
    verdict.counts.allowed = AllowanceShare * (allowance.share * static_cast<double>(verdict.counts.requests) + extra);
    verdict.admitted = isWithin(allowance, extra);
    return verdict;
}

repeat_verdict repeat_budget::count(repeat_kind kind, const state::retry_allowance &allowance, state::time_point now)
{
    const repeat_verdict verdict = check(kind, allowance, now);
    if (verdict.admitted && kind != repeat_kind::none && allowance.isLimited) {
        ++m_buckets.back().repeats;
    }
    return verdict;
}

repeat_part repeat_budget::part(const state::retry_allowance &allowance, state::time_point now)
{
    if (!allowance.isLimited) {
        return {};
    }
    advance(allowance.window, now);
    return {m_poolWorkers.since(now - allowance.window - SettlingTime), extraPart(allowance, now)};
}

void repeat_budget::advance(std::chrono::milliseconds window, state::time_point now)
{
    const state::duration length = std::chrono::duration_cast<state::duration>(window) / BucketsPerWindow;
    const std::int64_t current = now.time_since_epoch() / length;
    if (window != m_window) {
        // The counts of other windows do not fit these buckets, so this worker counts as one that is served anew.
        m_startedAt = m_window.count() == 0 ? m_startedAt : now;
        m_earlier = m_window.count() == 0 ? m_earlier : earlier_repeats::possible;
        m_window = window;
        m_lastBucket = current;
        m_buckets.fill({});
    }
    const std::int64_t steps = std::clamp<std::int64_t>(current - m_lastBucket, 0, Buckets);
    std::rotate(m_buckets.begin(), m_buckets.begin() + steps, m_buckets.end());
    std::fill(m_buckets.end() - steps, m_buckets.end(), bucket{});
    m_lastBucket = std::max(m_lastBucket, current);
    m_poolWorkers.forgetBefore(now - window - SettlingTime);
}

double repeat_budget::extraPart(const state::retry_allowance &allowance, state::time_point now)
{
    const state::duration wait = m_earlier == earlier_repeats::none ? FirstStartTime : state::duration(allowance.window + SettlingTime);
    if (now < m_startedAt + wait) {
        return 0.0;
    }
    const std::uint32_t workers = m_poolWorkers.since(now - allowance.window - SettlingTime);
    return workers == 0 ? 0.0 : allowance.extraPerWindow / workers;
}

double repeat_budget::requestsBetween(std::size_t first, std::size_t end) const
{
    double sum = 0.0;
    for (std::size_t i = first; i < std::min(end, Buckets); ++i) {
        sum += m_buckets[i].requests;
    }
    return sum;
}

// Checks each window that contains the present and begins in one of the last buckets. A window covers its first bucket in part, so
// all repeats of that bucket count, and only the requests of buckets that lie wholly within the three windows.
bool repeat_budget::isWithin(const state::retry_allowance &allowance, double extra) const
{
    std::size_t repeats = 1; // the one to be admitted
    for (std::size_t first = Buckets; first-- > BucketsPerWindow;) {
        repeats += m_buckets[first].repeats;
        const double inWindow = requestsBetween(first + 1, first + BucketsPerWindow);
        const double inWindowBefore = requestsBetween(first - BucketsPerWindow + 1, first);
        const double halfEarlier = requestsBetween(first - BucketsPerWindow / 2 + 1, first + BucketsPerWindow / 2);
        const double requests = WindowWeight * inWindow + WindowBeforeWeight * inWindowBefore + HalfEarlierWeight * halfEarlier;
        if (static_cast<double>(repeats) > AllowanceShare * (allowance.share * requests + extra)) {
            return false;
        }
    }
    return true;
}

} // namespace dandelionstall::coordination
