// Records which nodes and workers one ingress recently failed to reach. Does no I/O and reads no clock; used from one
// thread.
//
// A node or worker that failed is avoided for a backoff time, which grows with each further failure. Otherwise each
// request would wait for it and spend retries on it until reports of its state arrive. Avoidance is only a preference: when
// no other worker can be chosen, an avoided one is tried.
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
    void expireEntries(state::time_point now); // removes old entries; to be called periodically to bound the memory

private:
    struct entry {
        state::time_point avoidUntil;
        std::uint32_t failures = 0; // consecutive failures
    };

    std::map<std::string, entry, std::less<>> m_failed; // key: address of a node or id of a worker
};

} // namespace dandelionstall::coordination
