// Maximum of a value over a recent period. Does no I/O and reads no clock; used from one thread.
#pragma once

#include <dandelionstall/state/types.h>

#include <deque>

namespace dandelionstall::coordination {

// Number of holders of a share, for example of the workers of a pool. A holder that is gone may have used its share shortly
// before, so a share is computed with the maximum of the period in which the shares are summed.
class recent_maximum
{
public:
    void record(std::uint32_t value, state::time_point now); // the value from now on; a change should be recorded at once
    std::uint32_t since(state::time_point from) const;       // maximum from that time until now; 0 when nothing was recorded
    void forgetBefore(state::time_point from);               // later calls of since() ask for this time or later ones

private:
    struct recorded_value {
        state::time_point at; // when it was recorded
        std::uint32_t value = 0;
        bool operator==(const recorded_value &) const = default;
    };

    std::deque<recorded_value> m_values; // in order of time, without those that equal their predecessor
};

} // namespace dandelionstall::coordination
