// Rates are kept as the time at which a pair of route and organisation will have used up no more than its rate.
//
// One time point per pair is the whole state. When all places are taken, the pair whose time point is earliest makes
// room and the newcomer takes over its time point. A forgotten pair's own time point is never later than that, so a
// pair is never let over its rate for having been forgotten; it may be refused for the use of others, by no more than
// its own burst, and only while more pairs than places are at work.
#include <dandelionstall/coordination/limits.h>

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <xxhash.h>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

namespace mi = boost::multi_index;

constexpr double MinBurst = 3.0;                // requests at once that any organisation may make
constexpr double BurstSeconds = 1.0;            // of its rate that an organisation may use at once
constexpr double MaxIntervalSeconds = 86'400.0; // between two requests at the lowest rate

struct rate_entry {
    std::uint64_t key = 0;      // hash of route and organisation
    state::time_point usedUpTo; // theoretical arrival time of the generic cell rate algorithm
};

using rate_table = mi::multi_index_container<rate_entry,
                                             mi::indexed_by<mi::hashed_unique<mi::member<rate_entry, std::uint64_t, &rate_entry::key>>,
                                                            mi::ordered_non_unique<mi::member<rate_entry, state::time_point, &rate_entry::usedUpTo>>>>;

// What one node lets through.
struct local_rate {
    state::duration interval; // one request per interval
    state::duration burst;    // how far ahead of the rate it may get
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
        const state::time_point usedUpTo = found != m_table.end() ? found->usedUpTo : inheritedUse(rate, now);
        if (usedUpTo > now + rate.burst) {
            return {.admitted = false, .retryAt = usedUpTo - rate.burst};
        }
        store(found, {key, std::max(usedUpTo, now) + rate.interval});
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

    // Of a pair that is not in the table: no more than its own burst, no more than the pair that would make room.
    state::time_point inheritedUse(const local_rate &rate, state::time_point now) const
    {
        if (m_table.size() < m_maxTracked) {
            return now;
        }
        return std::min(m_table.get<1>().begin()->usedUpTo, now + rate.burst + rate.interval);
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
