// The workers of a large pool that an ingress uses first: its subset. Pure.
//
// Load pattern: a pool of hundreds of workers and as many ingresses, each with a few requests a second. No ingress sees enough of
// every worker, and a sidecar that told all ingresses of each change would send as many messages as the pool has nodes. With
// subsets, an ingress uses about SubsetWorkers of the pool first, and a sidecar sends its changes to about as many ingresses.
//
// Membership of a subset is decided for each pair of ingress and worker by a hash, so that both sides find it without a message. It
// depends on the number of workers only through the share that a subset has of them: a worker that joins or leaves changes few
// pairs. Workers of the ingress' own data centre are preferred. A pool of at most SubsetWorkers workers is its own subset.
//
// A subset never confines a request: when no worker of it can be chosen or one has refused, the whole pool is used; see balancer.h.
#pragma once

#include <dandelionstall/state/tables.h>

#include <map>
#include <string>
#include <string_view>

namespace dandelionstall::coordination {

inline constexpr std::size_t SubsetWorkers = 32;      // mean number of workers of a subset
inline constexpr std::size_t LocalSubsetWorkers = 20; // of them, in the data centre of the ingress

struct subset_node {
    state::node_address address;
    std::string_view dataCentre;
};

// Numbers of workers of one pool.
class pool_extent
{
public:
    explicit pool_extent(const state::pool &pool);

    bool isInSubset(const subset_node &ingress, std::string_view worker, std::string_view workerDataCentre) const;

private:
    std::size_t workersIn(std::string_view dataCentre) const;

    std::size_t m_workers = 0;
    std::map<std::string, std::size_t, std::less<>> m_workersIn; // by data centre
};

} // namespace dandelionstall::coordination
