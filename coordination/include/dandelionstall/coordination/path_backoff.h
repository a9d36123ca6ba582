// Which nodes and workers one ingress could not reach a moment ago. Pure; used from one thread.
//
// What has failed is avoided for a while, longer with each further failure, so that requests do not wait for it one after
// the other, nor spend their retries on it before reports of its state have come. It is a preference only: with nobody
// else to ask, it is tried.
#pragma once

#include <dandelionstall/state/types.h>

#include <map>
#include <string>
#include <string_view>

namespace dandelionstall::coordination {

class path_backoff
{
public:
    void recordFailure(std::string_view name, state::time_point now);
    void recordSuccess(std::string_view name);
    bool isAvoided(std::string_view name, state::time_point now) const;
    void expireEntries(state::time_point now); // now and then; keeps the memory small

private:
    struct entry {
        state::time_point avoidUntil;
        std::uint32_t failures = 0; // in a row
    };

    std::map<std::string, entry, std::less<>> m_failed; // by address of a node or id of a worker
};

} // namespace dandelionstall::coordination
