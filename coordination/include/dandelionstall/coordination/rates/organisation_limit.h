// The rate of an organisation as plain figures.
#pragma once

#include <dandelionstall/state/tables.h>

namespace dandelionstall::coordination {

// In any window, an organisation may send rate x window + burst + excess requests to the whole fleet.
struct organisation_limit {
    double rate = 0.0;     // requests per second; 0: no limit
    double burst = 0.0;    // additional requests at once
    double excess = 0.0;   // requests by which rate and burst may be exceeded in a window, by the rules of the table
    double fullRate = 0.0; // requests per second with which each window has rate and burst

    friend bool operator==(const organisation_limit &, const organisation_limit &) = default;
};

inline organisation_limit limitOf(const state::organisation &row, const state::organisation_rules &rules)
{
    const double window = std::chrono::duration<double>(rules.window).count();
    return {row.rate, row.burst, rules.overrun * (row.rate * window + row.burst) + rules.slack, row.rate + row.burst / window};
}

} // namespace dandelionstall::coordination
