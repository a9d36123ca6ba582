// Which nodes one ingress could not reach a moment ago. Pure; used from one thread.
//
// A path that has failed is avoided for a while, longer with each further failure, so that requests do not wait for it one
// after the other. It is a preference only: with nobody else to ask, an avoided node is tried.
#pragma once

#include <dandelionstall/state/types.h>

#include <map>

namespace dandelionstall::coordination {

class path_memory
{
public:
    void noteFailure(const state::node_address &node, state::time_point now);
    void noteSuccess(const state::node_address &node);
    bool isAvoided(const state::node_address &node, state::time_point now) const;
    void forgetOld(state::time_point now); // now and then; keeps the memory small

private:
    struct entry {
        state::time_point avoidUntil;
        std::uint32_t failures = 0; // in a row
    };

    std::map<state::node_address, entry> m_failed;
};

} // namespace dandelionstall::coordination
