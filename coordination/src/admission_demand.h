// Demand at one worker over the last moments: slot time asked for, its worth, and what was refused for low worth.
#pragma once

#include <dandelionstall/state/types.h>

#include <algorithm>
#include <array>

namespace dandelionstall::coordination::detail {

inline double seconds(state::duration span)
{
    return std::chrono::duration<double>(span).count();
}

struct offered_work {
    std::chrono::microseconds cost{0}; // expected run time
    double worth = 0.0;
    double density = 0.0; // worth per second
    bool isLong = false;
};

// Slots needed to run the recently offered work that is clearly denser, by a factor of two or more, than a given density.
// Learned costs move a little with every run, so that work of one class would else count as denser than itself.
class load_above
{
public:
    static constexpr std::size_t ClassesPerOctave = 2;
    static constexpr std::size_t Classes = 64;

    static std::size_t classOf(double density);

    double operator()(double density) const
    {
        return m_above[std::min(classOf(density) + ClassesPerOctave, Classes - 1)];
    }

private:
    friend class recent_demand;

    std::array<double, Classes> m_above{};
};

class recent_demand
{
public:
    void noteOffer(const offered_work &work, state::time_point now);
    void noteLowWorth(double density, state::time_point now); // an item was refused in favour of others
    void forgetDensities();                                   // costs have changed so much that the densities noted mean nothing
    double offeredLoad(state::time_point now) const;          // slots needed to run all that was offered
    double shortLoad(state::time_point now) const;            // slots needed for the short work alone
    double shortDensity(state::time_point now) const;         // mean worth per second of the short work
    double refusedDensity(state::time_point now) const;       // highest density refused for low worth; 0 when none
    bool hasShort(state::time_point now) const;               // short work came lately
    load_above loadAbove(state::time_point now) const;
    state::time_point changesAt(state::time_point now) const; // when the oldest part is dropped; max() when nothing is left

private:
    // Sums over one stretch of time.
    struct bucket {
        double offered = 0.0;                               // seconds of slot time
        double shortWork = 0.0;                             // seconds of slot time
        double shortWorth = 0.0;                            // worth of the short work
        double refusedDensity = 0.0;                        // highest
        std::array<float, load_above::Classes> byDensity{}; // seconds of slot time
    };

    void roll(state::time_point now);
    double windowSeconds(state::time_point now) const;
    double perSecond(double bucket::*sum, state::time_point now) const;
    double total(double bucket::*sum, state::time_point now) const;

    bucket m_current;
    bucket m_previous;
    state::time_point m_currentEndsAt; // epoch before the first call
};

} // namespace dandelionstall::coordination::detail
