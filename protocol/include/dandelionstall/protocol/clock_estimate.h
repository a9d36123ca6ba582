// Estimates another node's steady clock from exchanges, so that a deadline can be stated on that clock. Pure.
//
// A deadline translated with toPeerClock() is never later than the true one: the uncertainty of the estimate, which is half
// the round trip of the best recent exchange plus drift since, is taken off.
#pragma once

#include <dandelionstall/state/types.h>

namespace dandelionstall::protocol {

class clock_estimate
{
public:
    void recordExchange(state::time_point sentAt, state::time_point peerClock, state::time_point receivedAt); // one request and its reply
    bool hasEstimate() const;                                                                                 // at least one exchange was noted
    state::time_point toPeerClock(state::time_point local, state::time_point now) const; // not later than `local` on the peer's clock; needs hasEstimate()
    std::chrono::microseconds uncertainty(state::time_point now) const;                  // bound of the error
    std::chrono::microseconds roundTrip() const;                                         // of the exchange in use

private:
    bool m_hasEstimate = false;
    std::chrono::microseconds m_offset{0}; // peer clock minus local clock
    std::chrono::microseconds m_roundTrip{0};
    state::time_point m_recordedAt;
};

} // namespace dandelionstall::protocol
