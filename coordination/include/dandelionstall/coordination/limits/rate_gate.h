// Counts requests against a rate: the generic cell rate algorithm (GCRA) with a short burst. Does no I/O and reads no clock.
//
// Bound: in any span of t seconds, at most rate * (t + BurstTime) + 1 requests are counted. A gate begins empty: its first request
// has room after the time of one request. So the bound also holds over any number of gates that are used one after the other.
#pragma once

#include <dandelionstall/state/types.h>

namespace dandelionstall::coordination {

inline constexpr std::chrono::milliseconds BurstTime{500};    // requests of this much time at the rate may come at once
inline constexpr std::chrono::seconds MaxRequestInterval{60}; // lower rates, also zero, count as one request in this time, so that their end is noticed

class rate_gate
{
public:
    rate_gate(double perSecond, state::time_point now); // perSecond: 0 or more

    void setRate(double perSecond);                  // requests already counted stay counted
    double rate() const;                             // as set, in requests per second
    state::duration interval() const;                // time of one request at the rate
    std::uint32_t room(state::time_point now) const; // number of requests that may come now
    state::time_point roomAt(state::time_point now,
                             std::uint32_t ahead = 0) const; // earliest time with room for a request after `ahead` others; now when there is room
    void count(state::time_point now);                       // counts a request, also beyond the rate
    void discount();                                         // takes back a counted request that did not take place
    state::time_point promiseRoom(state::time_point now);    // time with room that is promised to no other refused request; at most MaxPromise ahead

private:
    double m_rate = 0.0;
    state::duration m_interval;        // time of one request at the rate
    state::time_point m_usedUntil;     // time up to which the counted requests have used the rate (GCRA theoretical arrival time)
    state::time_point m_promisedUntil; // time up to which the rate is promised to refused requests
};

} // namespace dandelionstall::coordination
