// Implements the generic cell rate algorithm (GCRA) for pairs of route and organisation.
//
// The state of a pair is one time point, its theoretical arrival time. When the table is full, the pair with the earliest
// time point is evicted and the new pair inherits this time point. The time point of an evicted pair is never later than
// the inherited one, so that eviction never lets a pair exceed its rate. A new pair may be refused because it inherits
// the use of another pair, by at most the burst of the new pair, and only while there are more active pairs than table
// entries.
#include <dandelionstall/coordination/limits/limits.h>

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <xxhash.h>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

namespace mi = boost::multi_index;

constexpr double MinBurst = 3.0;                // smallest burst of any organisation, in requests
constexpr double BurstSeconds = 1.0;            // burst of an organisation, as seconds of its rate
constexpr double MaxIntervalSeconds = 86'400.0; // longest interval between two requests; bounds very low rates

struct rate_entry {
    std::uint64_t key = 0;                // hash of route and organisation
    state::time_point theoreticalArrival; // time up to which past requests have used the rate (GCRA theoretical arrival time)
};

using rate_table
    = mi::multi_index_container<rate_entry,
                                mi::indexed_by<mi::hashed_unique<mi::member<rate_entry, std::uint64_t, &rate_entry::key>>,
                                               mi::ordered_non_unique<mi::member<rate_entry, state::time_point, &rate_entry::theoreticalArrival>>>>;

// The rate that one node enforces.
struct local_rate {
    state::duration interval; // time between two requests at the local rate
    state::duration burst;    // how far the theoretical arrival time may be ahead of the current time
};

state::duration toDuration(double seconds)
{
    return std::chrono::duration_cast<state::duration>(std::chrono::duration<double>(seconds));
}

local_rate localRate(const limit_request &request)
{
    const double interval = std::min(std::max(1U, request.nodes) / request.rate, MaxIntervalSeconds);
    const double requests = std::max(MinBurst, BurstSeconds / interval);
    return {toDuration(interval), toDuration((requests - 1.0) * interval)};
}

class local_limiter final : public organisation_limiter
{
public:
    local_limiter(std::uint32_t maxTracked, std::uint64_t seed)
        : m_maxTracked(std::max(1U, maxTracked))
        , m_seed(seed)
    { }

    limit_verdict admit(const limit_request &request, state::time_point now) override
    {
        if (!(request.rate > 0.0)) {
            return {};
        }
        const local_rate rate = localRate(request);
        const std::uint64_t key = keyOf(request);
        const auto found = m_table.find(key);
        const state::time_point theoreticalArrival = found != m_table.end() ? found->theoreticalArrival : inheritedArrival(rate, now);
        if (theoreticalArrival > now + rate.burst) {
            return {.admitted = false, .retryAt = theoreticalArrival - rate.burst};
        }
        store(found, {key, std::max(theoreticalArrival, now) + rate.interval});
        return {};
    }

    std::size_t trackedPairs() const override
    {
        return m_table.size();
    }

private:
    std::uint64_t keyOf(const limit_request &request) const
    {
        const std::uint64_t route = XXH3_64bits_withSeed(request.route.data(), request.route.size(), m_seed);
        return XXH3_64bits_withSeed(request.organisation.data(), request.organisation.size(), route);
    }

    // Initial theoretical arrival time of a pair that is not in the table: that of the pair that would be evicted, but no later
    // than the time that the pair would have after a full burst.
    state::time_point inheritedArrival(const local_rate &rate, state::time_point now) const
    {
        if (m_table.size() < m_maxTracked) {
            return now;
        }
        return std::min(m_table.get<1>().begin()->theoreticalArrival, now + rate.burst + rate.interval);
    }

    void store(rate_table::iterator found, const rate_entry &entry)
    {
        if (found != m_table.end()) {
            m_table.replace(found, entry);
            return;
        }
        if (m_table.size() >= m_maxTracked) {
            m_table.get<1>().erase(m_table.get<1>().begin());
        }
        m_table.insert(entry);
    }

    std::size_t m_maxTracked;
    std::uint64_t m_seed;
    rate_table m_table;
};

} // namespace

std::unique_ptr<organisation_limiter> makeOrganisationLimiter(std::uint32_t maxTracked, std::uint64_t seed)
{
    return std::make_unique<local_limiter>(maxTracked, seed);
}

} // namespace dandelionstall::coordination
