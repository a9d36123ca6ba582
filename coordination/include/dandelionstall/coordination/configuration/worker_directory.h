// Directory of the workers that announce themselves: one entry per worker, each with a revision of its own. Pure; used from
// one thread.
//
// Entries come from a watch, from reads of the whole list and from other nodes, in any order. The highest revision of an
// entry wins and is never replaced by a lower one, so the result does not depend on the source of an entry. A removed worker
// leaves a tombstone, which prevents an older entry from adding the worker again.
//
// A worker numbers what it writes (sequence). A write that is held up on its way may reach the store after later ones of the same
// lifetime (startedAtMs): the store takes it, with the highest revision. Within a lifetime the highest sequence therefore goes before
// the revision. Such a late write changes nothing and ends no leaving, and it brings back no worker that was removed.
//
// Tombstones are in memory only, and are dropped after some minutes. Beyond them, each complete list of the service says that every
// entry up to its revision that it lacks is gone, and a watch that goes on from it moves this revision on. A node that has such a list
// answers an older entry of an unknown worker with a tombstone, which travels like any other. So a node that starts with an old list,
// or was cut off for long, adds no worker again that has ended.
//
// A store that comes back from an older copy has a higher era (store_revision.h), and what it states then is newer than all before.
// Three things do not go back with it. A worker that was leaving stays so within its lifetime (startedAtMs). A worker that was removed
// stays so until the new era has stated it twice in the same lifetime, as running workers write their entries again and again. And
// entries of ready workers that the copy lacks stay pending removals for a short time, in which these workers announce themselves again.
//
// During an outage of the platform's service, entries can lapse although their workers are running. An outage is a time without any
// answer that is long enough for an entry to lapse (EntryLapseTime); a call that fails between two answers closer together is none,
// whatever it failed with. After an outage, the removal of a ready worker stays pending, and is applied unless the worker announces
// itself again within EntryReturnTime. The removal of a leaving worker is applied at once. A node that has just started does not know
// of the outage: it adopts the time that its peers state.
//
// What holds afterwards, for one worker in one era. "Higher" and "lower" are revisions, "late" is a lower sequence in the same lifetime:
//
//   known \ comes    entry, higher        entry, lower or equal     entry, late      removal, higher     removal, lower    list of a higher
//                                                                                                                          revision without it
//   nothing          the entry            the entry; a tombstone    -                nothing, or the     the same          nothing
//                                         if a list lacked it                        peer's tombstone
//   ready            the entry            ready                     ready            removed; pending    ready             as for a removal
//                                                                                    after an outage
//   leaving          the entry            leaving                   leaving          removed             leaving           removed
//   removed          the entry            removed                   removed          removed             removed           removed
//
// A tombstone that comes from another node is applied at once in all cases of "removal, higher": that node has waited, if there was
// reason to. With an entry of lower revision but higher sequence in the same lifetime, the entry wins over a known entry, not over a
// tombstone. In a higher era, everything counts as of a higher revision, but for the exceptions above.
//
// Usage:
//   worker_directory directory;
//   directory.offer(entry, now);                 // one entry, from a watch or from another node
//   directory.replaceAll(list, asOf, now);       // the whole list as of revision asOf
//   directory.recordReadUpTo(asOf);              // a watch that goes on from the list has brought all changes up to asOf
//   directory.tick(now);                         // applies pending removals that are due
//   for (const discovered_worker &changed : directory.consumeChanges()) ... pass it on ...
//   auto table = mergeDiscoveredWorkers(poolTable, directory);
//
// Index:
//   [SECTION] Timing
//   [SECTION] Entries
//   [SECTION] Directory
//   [SECTION] Merging
#pragma once

#include <dandelionstall/coordination/configuration/store_revision.h>
#include <dandelionstall/state/tables.h>

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

// [SECTION] Timing

// Shortest time without answers of the service in which an entry can lapse. It lapses three heartbeat intervals of 1.5 s after the last
// heartbeat, which came up to one interval before the outage; half a second less, since ages of reads lose some on their way.
inline constexpr std::chrono::milliseconds EntryLapseTime{2500};
inline constexpr std::chrono::milliseconds EntryReturnTime{2500}; // after the recovery of the service, time for running workers to announce themselves again

// [SECTION] Entries

enum class worker_phase {
    ready,   // accepts requests
    leaving, // completes its running requests, accepts no new ones
    removed, // its entry was removed; the entry is a tombstone
};

struct discovered_worker {
    std::string id;                           // unique over all workers and their incarnations
    std::string pool;                         // pool that the worker belongs to
    std::string dataCentre;                   // data centre in which the worker runs
    state::node_address node;                 // node process on the VM of the worker
    state::node_address address;              // listen address of the worker
    std::uint32_t slots = 0;                  // requests that the worker runs concurrently; 0 when not announced
    worker_phase phase = worker_phase::ready; // phase as announced
    std::string version;                      // version of the worker's software
    std::uint64_t startedAtMs = 0;            // wall clock time of the worker at its start; distinguishes two incarnations with one id
    std::uint64_t sequence = 0;               // number of the worker's write within its lifetime; 0 when not stated
    state::time_point coldUntil;              // the worker is expected to be slow until then
    store_revision revision;                  // when the entry was written; a higher one is newer
};

// The whole list of the service. An entry that cannot be read says nothing about its worker, neither that it is there nor that it is gone.
struct worker_list {
    std::vector<discovered_worker> entries;
    std::vector<std::string> unreadable; // ids
};

bool sameContent(const discovered_worker &a, const discovered_worker &b); // compares all fields except revision, sequence and coldUntil

// [SECTION] Directory

// Digests of the entries by the hash of their id. They tell which entries of two nodes may differ.
inline constexpr std::size_t DigestBuckets = 64;
using bucket_digests = std::array<std::uint32_t, DigestBuckets>;

class worker_directory
{
public:
    bool offer(const discovered_worker &entry, state::time_point now);                      // true when the content has changed
    void replaceAll(const worker_list &list, store_revision asOf, state::time_point now);   // removes missing entries older than asOf
    void recordReadUpTo(store_revision asOf);                                               // after replaceAll(), all later changes up to asOf were offered
    void recordUnreadable(const std::string &id);                                           // the service has an entry of this worker that cannot be read
    void offerRemoval(std::string_view id, store_revision revision, state::time_point now); // stays pending after an outage of the service
    void recordServiceFailure(state::time_point since);                                     // the service has given no answer since then
    void recordServiceRecovery(state::time_point at);                                       // the first answer after recordServiceFailure()
    void adoptRemovalHold(state::time_point until);                                         // another node keeps removals pending until then
    std::chrono::milliseconds removalHold(state::time_point now) const; // for how much longer removals stay pending after an outage that this node has seen
    void tick(state::time_point now);                                   // applies pending removals that are due; expires old tombstones

    std::vector<discovered_worker> consumeChanges();                                        // entries whose content has changed since the last call
    std::vector<discovered_worker> pageAfter(std::string_view id, std::size_t limit) const; // entries after that id, ordered by id, including tombstones
    std::vector<discovered_worker>
    differingAfter(std::string_view id, std::size_t limit, const bucket_digests &other) const; // of them, those in buckets whose digest differs
    const std::map<std::string, discovered_worker, std::less<>> &entries() const;              // by id, including tombstones
    std::uint32_t digest() const;                                                              // equal for equal content; tombstones are not included
    const bucket_digests &bucketDigests() const;                                               // the same for the entries of each bucket
    std::uint64_t version() const;                                                             // grows with every change of content
    std::uint64_t era() const;                                                                 // highest era known
    void learnEra(std::uint64_t era);                                                          // era named by the store or by another node
    bool isEmpty() const;                                                                      // true when there are neither entries nor tombstones

private:
    struct pending_removal {
        store_revision revision;
        state::time_point dueAt;
    };

    bool isOutage(state::time_point now) const;
    state::time_point heldUntil() const;
    bool isGoneByList(const discovered_worker &entry) const;
    bool offerTombstone(const discovered_worker &tombstone, state::time_point now);
    bool offerUnknown(const discovered_worker &entry, state::time_point now);
    bool offerRemoved(const discovered_worker &entry, discovered_worker &known, state::time_point now);
    bool offerKnown(discovered_worker entry, discovered_worker &known, state::time_point now);
    void apply(const discovered_worker &entry, state::time_point now);
    void applyRemoval(const discovered_worker &entry, store_revision revision, state::time_point now);
    bool isDoubtfulReturn(const discovered_worker &entry, const discovered_worker &known); // records the first statement of a removed worker in a new era

    std::map<std::string, discovered_worker, std::less<>> m_entries;
    std::map<std::string, state::time_point, std::less<>> m_removedAt;
    std::map<std::string, pending_removal, std::less<>> m_pendingRemovals;
    std::map<std::string, store_revision, std::less<>> m_doubtfulReturns; // first statement of a new era about a worker that was removed before
    store_revision m_listedAsOf; // an entry up to this revision that is not known is gone, but for the unreadable ones; 0 when no list was read
    std::set<std::string, std::less<>> m_unreadable;
    std::uint64_t m_era = 0;
    std::vector<discovered_worker> m_changes;
    state::time_point m_disruptedUntil;                 // removals stay pending before this time, after an outage that this node has seen
    state::time_point m_adoptedHoldUntil;               // the same, as stated by another node
    std::optional<state::time_point> m_unansweredSince; // set while the service gives no answers
    std::uint32_t m_digest = 0;
    bucket_digests m_bucketDigests{};
    std::uint64_t m_version = 0;
};

// [SECTION] Merging

// Returns the table with the rows of discovered workers added. Of several workers at one address that belong to pools of the table, only
// the one started last is included.
state::pool_table mergeDiscoveredWorkers(const state::pool_table &table, const worker_directory &directory);

} // namespace dandelionstall::coordination
