#include <dandelionstall/coordination/balancing/path_backoff.h>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::milliseconds InitialBackoff{500}; // doubles with each consecutive failure
constexpr std::chrono::milliseconds MaxBackoff{4000};
constexpr std::uint32_t MaxDoublings = 3;
constexpr std::chrono::seconds Retention{10}; // how long an entry is kept after its backoff has ended

} // namespace

void path_backoff::recordFailure(std::string_view name, state::time_point now)
{
    entry &found = m_failed[std::string(name)];
    if (now < found.avoidUntil) {
        return; // attempts in flight at the same time fail together and count as one failure
    }
    const auto backoff = std::min(MaxBackoff, InitialBackoff * (1U << std::min(found.failures, MaxDoublings)));
    found.avoidUntil = now + backoff;
    ++found.failures;
}

void path_backoff::recordSuccess(std::string_view name)
{
    if (const auto found = m_failed.find(name); found != m_failed.end()) {
        m_failed.erase(found);
    }
}

bool path_backoff::isAvoided(std::string_view name, state::time_point now) const
{
    const auto found = m_failed.find(name);
    return found != m_failed.end() && now < found->second.avoidUntil;
}

void path_backoff::expireEntries(state::time_point now)
{
    std::erase_if(m_failed, [now](const auto &row) { return row.second.avoidUntil + Retention < now; });
}

} // namespace dandelionstall::coordination
