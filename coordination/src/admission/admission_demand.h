// Recent demand at one worker, over the last 0.5 to 1 s: offered slot time, its worth, and what was refused for low worth.
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
    double worth = 0.0;                // value of an answer before the deadline
    double density = 0.0;              // worth per second of expected run time
    bool isLong = false;               // much longer than the typical work of the worker
};

// Number of slots needed to run the recently offered work whose density is clearly higher, by a factor of at least two,
// than a given density. The margin is needed because learned costs change slightly with every run: without it, work of a
// class would count as denser than other work of the same class.
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
    void recordOffer(const offered_work &work, state::time_point now);
    void recordLowWorthRefusal(double density, state::time_point now); // an item was refused in favour of work of higher density
    void clearDensities();                              // discards the recorded densities after a large change of costs, which makes them invalid
    double offeredLoad(state::time_point now) const;    // number of slots needed to run all offered work
    double shortLoad(state::time_point now) const;      // number of slots needed to run the short work
    double shortDensity(state::time_point now) const;   // mean density of the short work, in worth per second; 0 when there was none
    double refusedDensity(state::time_point now) const; // highest density refused for low worth; 0 when nothing was refused
    bool hasShortWork(state::time_point now) const;     // true when short work was offered recently
    load_above loadAbove(state::time_point now) const;
    state::time_point changesAt(state::time_point now) const; // when the oldest bucket expires; max() when all have expired

private:
    // Sums over one interval of the length BucketSpan.
    struct bucket {
        double offered = 0.0;                               // all offered work, in seconds of slot time
        double shortWork = 0.0;                             // offered short work, in seconds of slot time
        double shortWorth = 0.0;                            // total worth of the short work
        double refusedDensity = 0.0;                        // highest density refused for low worth
        std::array<float, load_above::Classes> byDensity{}; // offered work per density class, in seconds of slot time
    };

    void advanceBuckets(state::time_point now);
    double windowSeconds(state::time_point now) const;
    double perSecond(double bucket::*sum, state::time_point now) const;
    double total(double bucket::*sum, state::time_point now) const;

    bucket m_current;
    bucket m_previous;
    state::time_point m_currentEndsAt; // epoch before the first offer or refusal is recorded
};

} // namespace dandelionstall::coordination::detail
