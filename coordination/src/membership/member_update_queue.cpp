#include <dandelionstall/coordination/membership/member_update_queue.h>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

constexpr double BudgetBytesPerSecond = 600.0;
constexpr double MaxBudgetBytes = 12'000.0;
constexpr double UpdateBytes = 32.0;   // average encoded size of one update
constexpr double EnvelopeBytes = 90.0; // message without updates, including its UDP and IP headers

} // namespace

void member_update_queue::add(const state::node_address &about, bool urgent, std::uint32_t piggybackCount)
{
    m_items[about] = {urgent, false, piggybackCount};
}

std::vector<state::node_address> member_update_queue::selectForPiggyback(std::size_t limit)
{
    std::vector<std::map<state::node_address, item>::iterator> order;
    order.reserve(m_items.size());
    for (auto it = m_items.begin(); it != m_items.end(); ++it) {
        order.push_back(it);
    }
    const std::size_t count = std::min(limit, order.size());
    const auto before = [](const auto &left, const auto &right) {
        return std::pair(right->second.urgent, right->second.piggybacksLeft) < std::pair(left->second.urgent, left->second.piggybacksLeft);
    };
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end(), before);
    std::vector<state::node_address> result;
    result.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        result.push_back(order[i]->first);
        if (--order[i]->second.piggybacksLeft == 0) {
            m_items.erase(order[i]);
        }
    }
    return result;
}

std::vector<state::node_address> member_update_queue::selectForPush(std::size_t limit, std::size_t receivers, state::time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_refilledAt).count();
    m_budgetBytes = std::min(MaxBudgetBytes, m_budgetBytes + std::max(elapsed, 0.0) * BudgetBytesPerSecond);
    m_refilledAt = now;
    std::vector<state::node_address> result;
    for (const bool urgent : {true, false}) {
        for (auto &[address, entry] : m_items) {
            const double cost = static_cast<double>(receivers) * (result.empty() ? EnvelopeBytes + UpdateBytes : UpdateBytes);
            if (entry.pushed || entry.urgent != urgent || result.size() >= limit || cost > m_budgetBytes) {
                continue;
            }
            m_budgetBytes -= cost;
            entry.pushed = true;
            result.push_back(address);
        }
    }
    return result;
}

bool member_update_queue::hasUrgentUnpushed() const
{
    return std::any_of(m_items.begin(), m_items.end(), [](const auto &row) { return row.second.urgent && !row.second.pushed; });
}

} // namespace dandelionstall::coordination
