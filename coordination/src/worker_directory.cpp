#include <dandelionstall/coordination/worker_directory.h>

#include <xxhash.h>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::milliseconds ReturnTime{2500}; // after the service is back, entries of living workers are too
constexpr std::chrono::minutes MarkerRetention{10};   // then a removed entry is forgotten

std::uint32_t digestOf(const discovered_worker &entry)
{
    if (entry.phase == worker_phase::removed) {
        return 0;
    }
    std::uint64_t hash = XXH3_64bits_withSeed(entry.id.data(), entry.id.size(), entry.startedAtMs);
    for (const std::string &text : {entry.pool, state::formatNodeAddress(entry.address), entry.version}) {
        hash = XXH3_64bits_withSeed(text.data(), text.size(), hash);
    }
    return static_cast<std::uint32_t>(hash) + entry.slots * 3U + static_cast<std::uint32_t>(entry.phase);
}

// Of two workers at one address the one that started last is there now.
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
    return row;
}

} // namespace

bool sameContent(const discovered_worker &a, const discovered_worker &b)
{
    return a.id == b.id && a.pool == b.pool && a.dataCentre == b.dataCentre && a.node == b.node && a.address == b.address && a.slots == b.slots
           && a.phase == b.phase && a.version == b.version && a.startedAtMs == b.startedAtMs;
}

// [SECTION] Learning

bool worker_directory::offer(const discovered_worker &entry, state::time_point now)
{
    if (entry.phase == worker_phase::removed) {
        const auto known = m_entries.find(entry.id);
        const bool news = known == m_entries.end() || (known->second.phase != worker_phase::removed && known->second.revision < entry.revision);
        if (news) {
            apply(entry, now);
        } else {
            known->second.revision = std::max(known->second.revision, entry.revision); // what is older must not bring it back
        }
        return news;
    }
    const auto held = m_held.find(entry.id);
    if (held != m_held.end() && held->second.revision < entry.revision) {
        m_held.erase(held); // it has come back
    }
    const auto known = m_entries.find(entry.id);
    if (known != m_entries.end()) {
        if (entry.revision <= known->second.revision) {
            return false;
        }
        if (sameContent(entry, known->second)) {
            known->second.revision = entry.revision;
            return false;
        }
    }
    apply(entry, now);
    return true;
}

void worker_directory::apply(const discovered_worker &entry, state::time_point now)
{
    const auto known = m_entries.find(entry.id);
    if (known != m_entries.end()) {
        m_digest ^= digestOf(known->second);
    }
    m_digest ^= digestOf(entry);
    m_entries[entry.id] = entry;
    if (entry.phase == worker_phase::removed) {
        m_goneAt[entry.id] = now;
        m_held.erase(entry.id);
    } else {
        m_goneAt.erase(entry.id);
    }
    m_changes.push_back(entry);
    ++m_version;
}

void worker_directory::markGone(const std::string &id, std::uint64_t revision, state::time_point now)
{
    discovered_worker marker;
    const auto known = m_entries.find(id);
    if (known != m_entries.end()) {
        marker = known->second;
    }
    marker.id = id;
    marker.phase = worker_phase::removed;
    marker.revision = revision;
    apply(marker, now);
}

void worker_directory::offerRemoval(std::string_view id, std::uint64_t revision, state::time_point now)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end() || known->second.revision >= revision) {
        return;
    }
    if (known->second.phase == worker_phase::removed) {
        known->second.revision = revision;
        return;
    }
    if (known->second.phase == worker_phase::ready && (m_serviceLost || now < m_disturbedUntil)) {
        const state::time_point dueAt = m_serviceLost ? state::time_point::max() : m_disturbedUntil;
        m_held.try_emplace(std::string(id), held_removal{revision, dueAt});
        return;
    }
    markGone(std::string(id), revision, now);
}

void worker_directory::replaceAll(const std::vector<discovered_worker> &entries, std::uint64_t asOf, state::time_point now)
{
    for (const discovered_worker &entry : entries) {
        offer(entry, now);
    }
    std::vector<std::string> missing;
    for (const auto &[id, known] : m_entries) {
        const bool listed = std::any_of(entries.begin(), entries.end(), [&name = id](const discovered_worker &entry) { return entry.id == name; });
        if (!listed && known.phase != worker_phase::removed && known.revision < asOf) {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        offerRemoval(id, asOf, now);
    }
}

// [SECTION] The service

void worker_directory::recordServiceFailure(state::time_point)
{
    m_serviceLost = true;
}

void worker_directory::recordServiceRecovery(state::time_point now)
{
    if (!m_serviceLost) {
        return;
    }
    m_serviceLost = false;
    m_disturbedUntil = now + ReturnTime;
    for (auto &[id, held] : m_held) {
        held.dueAt = std::min(held.dueAt, m_disturbedUntil);
    }
}

void worker_directory::tick(state::time_point now)
{
    std::vector<std::pair<std::string, std::uint64_t>> due;
    for (const auto &[id, held] : m_held) {
        if (held.dueAt <= now) {
            due.emplace_back(id, held.revision);
        }
    }
    for (const auto &[id, revision] : due) {
        m_held.erase(id);
        markGone(id, revision, now);
    }
    std::erase_if(m_goneAt, [&](const auto &entry) {
        const bool old = entry.second + MarkerRetention <= now;
        if (old) {
            m_entries.erase(entry.first);
        }
        return old;
    });
}

// [SECTION] Views

std::vector<discovered_worker> worker_directory::consumeChanges()
{
    return std::exchange(m_changes, {});
}

std::vector<discovered_worker> worker_directory::pageAfter(std::string_view id, std::size_t limit) const
{
    std::vector<discovered_worker> page;
    for (auto entry = m_entries.upper_bound(id); entry != m_entries.end() && page.size() < limit; ++entry) {
        page.push_back(entry->second);
    }
    return page;
}

const std::map<std::string, discovered_worker, std::less<>> &worker_directory::entries() const
{
    return m_entries;
}

std::uint32_t worker_directory::digest() const
{
    return m_digest;
}

std::uint64_t worker_directory::version() const
{
    return m_version;
}

bool worker_directory::isEmpty() const
{
    return m_entries.empty();
}

// [SECTION] Joining

state::pool_table mergeDiscoveredWorkers(const state::pool_table &table, const worker_directory &directory)
{
    std::map<state::node_address, const discovered_worker *> present; // by address of the worker
    for (const auto &[id, entry] : directory.entries()) {
        if (entry.phase == worker_phase::removed) {
            continue;
        }
        const discovered_worker *&there = present[entry.address];
        if (there == nullptr || startedLater(entry, *there)) {
            there = &entry;
        }
    }
    state::pool_table joined = table;
    for (state::pool &pool : joined.pools) {
        if (!pool.hasDiscoveredWorkers) {
            continue;
        }
        for (const auto &[address, entry] : present) {
            if (entry->pool == pool.name) {
                pool.workers.push_back(rowOf(*entry));
            }
        }
    }
    return joined;
}

} // namespace dandelionstall::coordination
