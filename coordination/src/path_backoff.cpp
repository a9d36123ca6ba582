#include <dandelionstall/coordination/path_backoff.h>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::milliseconds FirstAvoidance{500}; // doubles with each failure in a row
constexpr std::chrono::milliseconds LongestAvoidance{4000};
constexpr std::uint32_t MaxDoublings = 3;
constexpr std::chrono::seconds Retention{10}; // of failures that no further one has followed

} // namespace

void path_backoff::recordFailure(std::string_view name, state::time_point now)
{
    entry &known = m_failed[std::string(name)];
    if (now < known.avoidUntil) {
        return; // attempts that were under way together fail together
    }
    const auto span = std::min(LongestAvoidance, FirstAvoidance * (1U << std::min(known.failures, MaxDoublings)));
    known.avoidUntil = now + span;
    ++known.failures;
}

void path_backoff::recordSuccess(std::string_view name)
{
    if (const auto known = m_failed.find(name); known != m_failed.end()) {
        m_failed.erase(known);
    }
}

bool path_backoff::isAvoided(std::string_view name, state::time_point now) const
{
    const auto known = m_failed.find(name);
    return known != m_failed.end() && now < known->second.avoidUntil;
}

void path_backoff::expireEntries(state::time_point now)
{
    std::erase_if(m_failed, [now](const auto &row) { return row.second.avoidUntil + Retention < now; });
}

} // namespace dandelionstall::coordination
