#include <dandelionstall/coordination/configuration/worker_directory.h>

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::minutes TombstoneRetention{10}; // a tombstone is removed after this time

// The digests of all entries are combined by XOR. Each field goes through the hash, so that the differences that two changes make
// do not cancel each other.
std::uint32_t digestOf(const discovered_worker &entry)
{
    if (entry.phase == worker_phase::removed) {
        return 0;
    }
    std::uint64_t hash = XXH3_64bits_withSeed(entry.id.data(), entry.id.size(), entry.startedAtMs);
    for (const std::string &text : {entry.pool, state::formatNodeAddress(entry.address), entry.version}) {
        hash = XXH3_64bits_withSeed(text.data(), text.size(), hash);
    }
    const std::array<std::uint32_t, 2> numbers{entry.slots, static_cast<std::uint32_t>(entry.phase)};
    return static_cast<std::uint32_t>(XXH3_64bits_withSeed(numbers.data(), sizeof(numbers), hash));
}

std::size_t bucketOf(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size()) % DigestBuckets;
}

// Returns true when the worker has written the known entry later than this one, in the same lifetime.
bool isLateWrite(const discovered_worker &entry, const discovered_worker &known)
{
    const bool sameLifetime = entry.startedAtMs != 0 && entry.startedAtMs == known.startedAtMs;
    return sameLifetime && entry.sequence != 0 && entry.sequence < known.sequence;
}

// Of two entries of one lifetime. A node of an earlier version of the program states no sequence.
void keepHighestSequence(discovered_worker &kept, const discovered_worker &other)
{
    if (kept.startedAtMs == other.startedAtMs) {
        kept.sequence = std::max(kept.sequence, other.sequence);
    }
}

} // namespace

bool sameContent(const discovered_worker &a, const discovered_worker &b)
{
    return a.id == b.id && a.pool == b.pool && a.dataCentre == b.dataCentre && a.node == b.node && a.address == b.address && a.slots == b.slots
           && a.phase == b.phase && a.version == b.version && a.startedAtMs == b.startedAtMs;
}

// ---- Updates ----

bool worker_directory::offer(const discovered_worker &entry, state::time_point now)
{
    learnEra(entry.revision.era);
    if (entry.phase == worker_phase::removed) {
        return offerTombstone(entry, now);
    }
    const auto known = m_entries.find(entry.id);
    if (known == m_entries.end()) {
        return offerUnknown(entry, now);
    }
    return known->second.phase == worker_phase::removed ? offerRemoved(entry, known->second, now) : offerKnown(entry, known->second, now);
}

bool worker_directory::offerTombstone(const discovered_worker &tombstone, state::time_point now)
{
    const auto known = m_entries.find(tombstone.id);
    if (known != m_entries.end() && known->second.phase == worker_phase::removed) {
        known->second.revision = std::max(known->second.revision, tombstone.revision); // prevents entries of a lower revision from adding the worker again
        keepHighestSequence(known->second, tombstone);
        return false;
    }
    const bool isNews = known == m_entries.end() || known->second.revision < tombstone.revision || isLateWrite(known->second, tombstone);
    if (isNews) {
        apply(tombstone, now);
    }
    return isNews;
}

bool worker_directory::offerUnknown(const discovered_worker &entry, state::time_point now)
{
    const bool isGone = isGoneByList(entry);
    if (isGone && heldUntil() <= now) {
        applyRemoval(entry, m_listedAsOf, now); // tells the node that has the entry
        return false;
    }
    apply(entry, now);
    if (isGone) {
        m_pendingRemovals.try_emplace(entry.id, pending_removal{m_listedAsOf, heldUntil()});
    } else if (entry.revision.era < m_listedAsOf.era) { // a list of a later era lacked it, or it would be known with that era
        m_pendingRemovals.try_emplace(entry.id, pending_removal{m_listedAsOf, now + EntryReturnTime});
    }
    return true;
}

bool worker_directory::offerRemoved(const discovered_worker &entry, discovered_worker &known, state::time_point now)
{
    if (entry.revision <= known.revision) {
        keepHighestSequence(known, entry);
        return false;
    }
    if (isDoubtfulReturn(entry, known) || isLateWrite(entry, known)) {
        return false;
    }
    apply(entry, now);
    return true;
}

bool worker_directory::offerKnown(discovered_worker entry, discovered_worker &known, state::time_point now)
{
    const bool isLate = isLateWrite(entry, known);
    const bool isOfLaterEra = entry.revision.era > known.revision.era;
    if (isLate && !isOfLaterEra) {
        return false;
    }
    const auto pending = m_pendingRemovals.find(entry.id);
    if (pending != m_pendingRemovals.end() && pending->second.revision < entry.revision) {
        m_pendingRemovals.erase(pending); // the worker has announced itself since the removal
    }
    if (isLate) {
        known.revision = entry.revision; // the copy holds the worker, as it was before
        return false;
    }
    if (entry.revision <= known.revision && !isLateWrite(known, entry)) {
        return false;
    }
    if (isOfLaterEra && entry.startedAtMs == known.startedAtMs && known.phase == worker_phase::leaving) {
        entry.phase = worker_phase::leaving; // the copy may be from before the worker began to leave
    }
    keepHighestSequence(entry, known);
    if (sameContent(entry, known)) {
        known.revision = entry.revision;
        known.sequence = entry.sequence;
        return false;
    }
    apply(entry, now);
    return true;
}

// A list that lacked the worker says so of each entry up to its revision. An entry that it could not read says nothing.
bool worker_directory::isGoneByList(const discovered_worker &entry) const
{
    const bool isCovered = m_listedAsOf.revision != 0 && entry.revision.era == m_listedAsOf.era && entry.revision <= m_listedAsOf;
    return isCovered && !m_unreadable.contains(entry.id);
}

// A copy of the store may hold an entry that was removed since. A running worker writes its entry again, one that has gone does not.
bool worker_directory::isDoubtfulReturn(const discovered_worker &entry, const discovered_worker &known)
{
    const bool returns = known.phase == worker_phase::removed && entry.revision.era > known.revision.era && entry.startedAtMs <= known.startedAtMs;
    if (!returns) {
        m_doubtfulReturns.erase(entry.id);
        return false;
    }
    const auto [first, added] = m_doubtfulReturns.try_emplace(entry.id, entry.revision);
    if (first->second.era < entry.revision.era) {
        first->second = entry.revision;
    }
    if (entry.revision <= first->second) {
        return true;
    }
    m_doubtfulReturns.erase(first);
    return false;
}

void worker_directory::apply(const discovered_worker &entry, state::time_point now)
{
    const auto known = m_entries.find(entry.id);
    const std::uint32_t change = digestOf(entry) ^ (known != m_entries.end() ? digestOf(known->second) : 0U);
    m_digest ^= change;
    m_bucketDigests.at(bucketOf(entry.id)) ^= change;
    m_entries[entry.id] = entry;
    if (entry.phase == worker_phase::removed) {
        m_removedAt[entry.id] = now;
        m_pendingRemovals.erase(entry.id);
    } else {
        m_removedAt.erase(entry.id);
    }
    m_changes.push_back(entry);
    ++m_version;
}

void worker_directory::applyRemoval(const discovered_worker &entry, store_revision revision, state::time_point now)
{
    discovered_worker tombstone = entry;
    tombstone.phase = worker_phase::removed;
    tombstone.revision = revision;
    apply(tombstone, now);
}

void worker_directory::offerRemoval(std::string_view id, store_revision revision, state::time_point now)
{
    learnEra(revision.era);
    if (const auto unreadable = m_unreadable.find(id); unreadable != m_unreadable.end()) {
        m_unreadable.erase(unreadable);
    }
    const auto known = m_entries.find(id);
    if (known == m_entries.end() || known->second.revision >= revision) {
        return;
    }
    if (known->second.phase == worker_phase::removed) {
        known->second.revision = revision;
        return;
    }
    const bool isFromEarlierEra = known->second.revision.era < revision.era; // the copy does not hold it: it may be written again
    if (known->second.phase == worker_phase::ready && (isOutage(now) || now < heldUntil() || isFromEarlierEra)) {
        const state::time_point returnsBy = std::max(heldUntil(), isFromEarlierEra ? now + EntryReturnTime : now);
        const state::time_point dueAt = isOutage(now) ? state::time_point::max() : returnsBy;
        m_pendingRemovals.try_emplace(std::string(id), pending_removal{revision, dueAt});
        return;
    }
    applyRemoval(known->second, revision, now);
}

void worker_directory::replaceAll(const worker_list &list, store_revision asOf, state::time_point now)
{
    learnEra(asOf.era);
    std::set<std::string_view> listed(list.unreadable.begin(), list.unreadable.end());
    for (const discovered_worker &entry : list.entries) {
        offer(entry, now);
        listed.insert(entry.id);
    }
    if (m_listedAsOf <= asOf) {
        m_listedAsOf = asOf;
        m_unreadable = {list.unreadable.begin(), list.unreadable.end()};
    }
    std::vector<std::string> missing;
    for (auto &[id, known] : m_entries) {
        if (listed.contains(id) || known.revision >= asOf) {
            continue;
        }
        if (known.phase == worker_phase::removed) {
            known.revision = asOf; // prevents late entries of earlier eras from adding the worker again, here and on other nodes
        } else {
            missing.push_back(id);
        }
    }
    for (const std::string &id : missing) {
        offerRemoval(id, asOf, now);
    }
}

void worker_directory::recordReadUpTo(store_revision asOf)
{
    if (m_listedAsOf.revision != 0 && m_listedAsOf.era == asOf.era) {
        m_listedAsOf = std::max(m_listedAsOf, asOf);
    }
}

void worker_directory::recordUnreadable(const std::string &id)
{
    m_unreadable.insert(id);
}

// ---- Outages of the service ----

void worker_directory::recordServiceFailure(state::time_point since)
{
    m_unansweredSince = std::min(m_unansweredSince.value_or(since), since);
}

void worker_directory::recordServiceRecovery(state::time_point at)
{
    const bool wasOutage = isOutage(at);
    m_unansweredSince.reset();
    if (!wasOutage) {
        return;
    }
    m_disruptedUntil = std::max(m_disruptedUntil, at + EntryReturnTime);
    for (auto &[id, pending] : m_pendingRemovals) {
        pending.dueAt = std::min(pending.dueAt, m_disruptedUntil);
    }
}

bool worker_directory::isOutage(state::time_point now) const
{
    return m_unansweredSince && now - *m_unansweredSince >= EntryLapseTime;
}

void worker_directory::adoptRemovalHold(state::time_point until)
{
    m_adoptedHoldUntil = std::max(m_adoptedHoldUntil, until);
}

std::chrono::milliseconds worker_directory::removalHold(state::time_point now) const
{
    return std::chrono::ceil<std::chrono::milliseconds>(std::max(m_disruptedUntil - now, state::duration::zero()));
}

state::time_point worker_directory::heldUntil() const
{
    return std::max(m_disruptedUntil, m_adoptedHoldUntil);
}

void worker_directory::tick(state::time_point now)
{
    std::vector<std::pair<std::string, store_revision>> due;
    for (const auto &[id, pending] : m_pendingRemovals) {
        if (pending.dueAt <= now) {
            due.emplace_back(id, pending.revision);
        }
    }
    for (const auto &[id, revision] : due) {
        m_pendingRemovals.erase(id);
        applyRemoval(m_entries.at(id), revision, now);
    }
    std::erase_if(m_removedAt, [&](const auto &entry) {
        const bool isExpired = entry.second + TombstoneRetention <= now;
        if (isExpired) {
            m_entries.erase(entry.first);
            m_doubtfulReturns.erase(entry.first);
        }
        return isExpired;
    });
}

// ---- Views ----

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

std::vector<discovered_worker> worker_directory::differingAfter(std::string_view id, std::size_t limit, const bucket_digests &other) const
{
    std::vector<discovered_worker> page;
    for (auto entry = m_entries.upper_bound(id); entry != m_entries.end() && page.size() < limit; ++entry) {
        const std::size_t bucket = bucketOf(entry->first);
        if (m_bucketDigests.at(bucket) != other.at(bucket)) {
            page.push_back(entry->second);
        }
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

const bucket_digests &worker_directory::bucketDigests() const
{
    return m_bucketDigests;
}

std::uint64_t worker_directory::version() const
{
    return m_version;
}

std::uint64_t worker_directory::era() const
{
    return m_era;
}

void worker_directory::learnEra(std::uint64_t era)
{
    m_era = std::max(m_era, era);
}

bool worker_directory::isEmpty() const
{
    return m_entries.empty();
}

} // namespace dandelionstall::coordination
