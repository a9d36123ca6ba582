// Queue of member updates that still have to be passed on. Pure.
//
// Each update is pushed once to a few members and piggybacked on a number of later messages. Urgent updates, about departures
// and deaths, are selected first; among equally urgent ones, those with the most piggybacks left are piggybacked first.
// Pushes are limited by a byte budget that refills over time.
#pragma once

#include <dandelionstall/coordination/membership/member.h>

#include <map>
#include <vector>

namespace dandelionstall::coordination {

class member_update_queue
{
public:
    void add(const state::node_address &about, bool urgent, std::uint32_t piggybackCount); // replaces an older update about the same member
    std::vector<state::node_address> selectForPiggyback(std::size_t limit);                // updates for a message that is sent anyway
    std::vector<state::node_address> selectForPush(std::size_t limit, std::size_t receivers, state::time_point now); // empty while the budget is used up
    bool hasUrgentUnpushed() const; // true when an urgent update has not been pushed yet

private:
    struct item {
        bool urgent = false;
        bool pushed = false;
        std::uint32_t piggybacksLeft = 0;
    };

    std::map<state::node_address, item> m_items;
    double m_budgetBytes = 0.0;
    state::time_point m_refilledAt;
};

} // namespace dandelionstall::coordination
