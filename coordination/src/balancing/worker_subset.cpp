#include <dandelionstall/coordination/balancing/worker_subset.h>

#include <xxhash.h>

#include <algorithm>
#include <limits>

namespace dandelionstall::coordination {

namespace {

// Returns a number from 0 to 1 that belongs to this pair.
double drawOf(const state::node_address &ingress, std::string_view worker)
{
    const std::uint64_t seed = XXH3_64bits_withSeed(ingress.ip.data(), ingress.ip.size(), ingress.port);
    return static_cast<double>(XXH3_64bits_withSeed(worker.data(), worker.size(), seed)) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
}

} // namespace

pool_extent::pool_extent(const state::pool &pool)
    : m_workers(pool.workers.size())
{
    for (const state::pool_worker &worker : pool.workers) {
        ++m_workersIn[worker.dataCentre];
    }
}

std::size_t pool_extent::workersIn(std::string_view dataCentre) const
{
    const auto found = m_workersIn.find(dataCentre);
    return found == m_workersIn.end() ? 0 : found->second;
}

bool pool_extent::isInSubset(const subset_node &ingress, std::string_view worker, std::string_view workerDataCentre) const
{
    if (m_workers <= SubsetWorkers) {
        return true;
    }
    const std::size_t local = workersIn(ingress.dataCentre);
    const std::size_t localWanted = std::min(local, LocalSubsetWorkers);
    const bool isLocal = workerDataCentre == ingress.dataCentre;
    const std::size_t wanted = isLocal ? localWanted : SubsetWorkers - localWanted;
    const std::size_t candidates = std::max<std::size_t>(isLocal ? local : m_workers - local, 1);
    return drawOf(ingress.address, worker) * static_cast<double>(candidates) < static_cast<double>(wanted);
}

} // namespace dandelionstall::coordination
