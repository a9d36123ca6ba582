// Queue of news about members that still have to be passed on. Pure.
//
// Each item is pushed at once to a few members and rides along with a number of later messages. Members that are leaving
// go first, then deaths, then the rest. Pushes are paid from a byte budget that refills with time.
#pragma once

#include <dandelionstall/coordination/member.h>

#include <map>
#include <vector>

namespace dandelionstall::coordination {

class member_update_queue
{
public:
    void add(const state::node_address &about, bool urgent, std::uint32_t rides); // replaces an older item about the same member
    std::vector<state::node_address> selectForPiggyback(std::size_t limit);       // for a message that is sent anyway; fewest rides so far first
    std::vector<state::node_address> selectForPush(std::size_t limit, std::size_t receivers, state::time_point now); // empty while the budget is spent
    bool hasUrgentUnpushed() const;                                                                                  // something urgent has not been pushed yet

private:
    struct item {
        bool urgent = false;
        bool pushed = false;
        std::uint32_t ridesLeft = 0;
    };

    std::map<state::node_address, item> m_items;
    double m_budgetBytes = 0.0;
    state::time_point m_refilledAt;
};

} // namespace dandelionstall::coordination
