// Rate limits per organisation with bounded memory. Does no I/O and reads no clock; used from one thread.
//
// Each node enforces an equal share of the organisation's rate; nodes share no counters.
#pragma once

#include <dandelionstall/state/types.h>

#include <memory>
#include <string_view>

namespace dandelionstall::coordination {

struct limit_verdict {
    bool admitted = true;      // false: the request exceeds the limit
    state::time_point retryAt; // earliest time at which a request would be admitted; set when not admitted
};

struct limit_request {
    std::string_view organisation; // name of the organisation as stated by the caller
    std::string_view route;        // route name; limits are per pair of route and organisation
    double rate = 0.0;             // requests per second over the whole fleet; 0 means unlimited
    std::uint32_t nodes = 1;       // number of nodes that share the rate
};

class organisation_limiter
{
public:
    virtual ~organisation_limiter() = default;

    virtual limit_verdict admit(const limit_request &request, state::time_point now) = 0; // counts the request if it is admitted
    virtual std::size_t trackedPairs() const = 0;                                         // pairs of route and organisation in memory
};

std::unique_ptr<organisation_limiter> makeOrganisationLimiter(std::uint32_t maxTracked, std::uint64_t seed);

} // namespace dandelionstall::coordination
