#include <dandelionstall/coordination/rates/organisation_use.h>

#include <algorithm>
#include <utility>

namespace dandelionstall::coordination {

namespace {

std::uint64_t requestsOf(const organisation_count &count)
{
    return count.offered + count.started;
}

} // namespace

void organisation_use::record(std::string_view organisation, organisation_event what)
{
    organisation_count &count = m_counts[std::string(organisation)];
    switch (what) {
    case organisation_event::offered:
        ++count.offered;
        break;
    case organisation_event::limited:
        ++count.limited;
        break;
    case organisation_event::not_run:
        ++count.notRun;
        break;
    case organisation_event::started:
        ++count.started;
        break;
    }
}

std::vector<organisation_count> organisation_use::consumeBusiest(std::size_t most)
{
    std::vector<organisation_count> counts;
    counts.reserve(m_counts.size());
    for (auto &[name, count] : std::exchange(m_counts, {})) {
        counts.push_back(std::move(count));
        counts.back().organisation = name;
    }
    std::sort(counts.begin(), counts.end(), [](const organisation_count &a, const organisation_count &b) {
        return requestsOf(a) != requestsOf(b) ? requestsOf(a) > requestsOf(b) : a.organisation < b.organisation;
    });
    counts.resize(std::min(counts.size(), most));
    return counts;
}

} // namespace dandelionstall::coordination
