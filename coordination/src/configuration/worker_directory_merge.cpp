// Rows of the discovered workers in the pool table.
#include <dandelionstall/coordination/configuration/worker_directory.h>

#include <set>

namespace dandelionstall::coordination {

namespace {

// Returns true when a started after b. Of two workers at one address, only the one started last can still be running.
bool startedLater(const discovered_worker &a, const discovered_worker &b)
{
    return std::pair(a.startedAtMs, a.revision) > std::pair(b.startedAtMs, b.revision);
}

state::pool_worker rowOf(const discovered_worker &entry)
{
    state::pool_worker row;
    row.id = entry.id;
    row.dataCentre = entry.dataCentre;
    row.node = entry.node;
    row.slots = entry.slots;
    row.leaving = entry.phase == worker_phase::leaving;
    row.address = entry.address;
    row.coldUntil = entry.coldUntil;
    row.startedAtMs = entry.startedAtMs;
    return row;
}

} // namespace

state::pool_table mergeDiscoveredWorkers(const state::pool_table &table, const worker_directory &directory)
{
    std::set<std::string_view> pools;
    for (const state::pool &pool : table.pools) {
        if (pool.hasDiscoveredWorkers) {
            pools.insert(pool.name);
        }
    }
    std::map<state::node_address, const discovered_worker *> latestByAddress; // latest started worker at each address
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.phase == worker_phase::removed || !pools.contains(entry.pool)) {
            continue; // an entry of no pool takes no address from a worker
        }
        const discovered_worker *&latest = latestByAddress[entry.address];
        if (latest == nullptr || startedLater(entry, *latest)) {
            latest = &entry;
        }
    }
    state::pool_table merged = table;
    for (state::pool &pool : merged.pools) {
        if (!pool.hasDiscoveredWorkers) {
            continue;
        }
        for (const auto &[address, entry] : latestByAddress) {
            if (entry->pool == pool.name) {
                pool.workers.push_back(rowOf(*entry));
            }
        }
    }
    return merged;
}

} // namespace dandelionstall::coordination
