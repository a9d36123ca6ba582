// Estimates the offset of another node's steady clock, so that a deadline can be expressed on that clock. No I/O.
//
// A deadline converted with toPeerClock() is never later than the exact one, because toPeerClock() subtracts the
// uncertainty of the estimate: half the round trip of the exchange in use plus the clock drift since then. A new exchange
// replaces the one in use unless the new one has the larger uncertainty.
#pragma once

#include <dandelionstall/state/types.h>

namespace dandelionstall::protocol {

class clock_estimate
{
public:
    void recordExchange(state::time_point sentAt, state::time_point peerClock, state::time_point receivedAt); // one request and its reply
    bool hasEstimate() const;                                                                                 // whether an exchange has been recorded
    state::time_point toPeerClock(state::time_point local, state::time_point now) const; // `local` on the peer's clock or earlier; needs hasEstimate()
    std::chrono::microseconds uncertainty(state::time_point now) const;                  // largest error of the estimated offset
    std::chrono::microseconds roundTrip() const;                                         // round trip of the exchange in use

private:
    bool m_hasEstimate = false;
    std::chrono::microseconds m_offset{0}; // peer clock minus local clock
    std::chrono::microseconds m_roundTrip{0};
    state::time_point m_recordedAt;
};

} // namespace dandelionstall::protocol
