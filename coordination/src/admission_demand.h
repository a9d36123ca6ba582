// Demand at one worker over the last moments: slot time asked for, its worth, and what was refused for low worth.
#pragma once

#include <dandelionstall/state/types.h>

namespace dandelionstall::coordination::detail {

class recent_demand
{
public:
    void noteOffer(std::chrono::microseconds cost, double worth, bool isLong, state::time_point now);
    void noteLowWorth(double density, state::time_point now); // an item was refused in favour of others
    double offeredLoad(state::time_point now) const;          // slots needed to run all that was offered
    double shortLoad(state::time_point now) const;            // slots needed for the short work alone
    double shortDensity(state::time_point now) const;         // mean worth per second of the short work
    double refusedDensity(state::time_point now) const;       // highest density refused for low worth; 0 when none
    bool hasShort(state::time_point now) const;               // short work came lately
    state::time_point changesAt(state::time_point now) const; // when the oldest part is dropped; max() when nothing is left

private:
    // Sums over one stretch of time.
    struct bucket {
        double offered = 0.0;        // seconds of slot time
        double shortWork = 0.0;      // seconds of slot time
        double shortWorth = 0.0;     // worth of the short work
        double refusedDensity = 0.0; // highest
    };

    void roll(state::time_point now);
    double perSecond(double bucket::*sum, state::time_point now) const;
    double total(double bucket::*sum, state::time_point now) const;

    bucket m_current;
    bucket m_previous;
    state::time_point m_currentEndsAt; // epoch before the first call
};

} // namespace dandelionstall::coordination::detail
