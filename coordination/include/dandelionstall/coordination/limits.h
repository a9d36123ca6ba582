// Rate limits per organisation with bounded memory. Pure; used from one thread.
//
// Each node enforces a share of the organisation's rate; no counter is shared between nodes.
#pragma once

#include <dandelionstall/state/types.h>

#include <memory>
#include <string_view>

namespace dandelionstall::coordination {

struct limit_verdict {
    bool admitted = true;      // false: over the limit
    state::time_point retryAt; // when not admitted: when a request would be
};

struct limit_request {
    std::string_view organisation; // as the caller stated it
    std::string_view route;        // limits are per route and organisation
    double rate = 0.0;             // requests a second over the fleet; 0 is unlimited
    std::uint32_t nodes = 1;       // nodes that take callers at present
};

class organisation_limiter
{
public:
    virtual ~organisation_limiter() = default;

    virtual limit_verdict admit(const limit_request &request, state::time_point now) = 0; // counts the request when admitted
    virtual std::size_t trackedPairs() const = 0;                                         // organisations in memory
};

std::unique_ptr<organisation_limiter> makeOrganisationLimiter(std::uint32_t maxTracked, std::uint64_t seed);

} // namespace dandelionstall::coordination
