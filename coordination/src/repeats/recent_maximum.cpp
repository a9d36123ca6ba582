#include <dandelionstall/coordination/repeats/recent_maximum.h>

#include <algorithm>

namespace dandelionstall::coordination {

void recent_maximum::record(std::uint32_t value, state::time_point now)
{
    if (m_values.empty() || m_values.back().value != value) {
        m_values.push_back({now, value});
    }
}

std::uint32_t recent_maximum::since(state::time_point from) const
{
    std::uint32_t maximum = 0;
    for (auto entry = m_values.rbegin(); entry != m_values.rend(); ++entry) {
        maximum = std::max(maximum, entry->value);
        if (entry->at <= from) {
            break; // in force at that time
        }
    }
    return maximum;
}

void recent_maximum::forgetBefore(state::time_point from)
{
    while (m_values.size() > 1 && m_values[1].at <= from) {
        m_values.pop_front();
    }
}

} // namespace dandelionstall::coordination
