// The workers that announce themselves: one entry per worker, each with a revision of its own. Pure; used from one thread.
//
// Entries come from a watch, from reads of the whole list and from other nodes, in any order; the highest revision of an
// entry wins and never goes back, so the way on which an entry came does not matter. A worker that is gone leaves a
// marker behind, so that an older entry cannot bring it back.
//
// While the platform's service is disturbed, entries may lapse although their workers live. A removal seen then is held
// back, and counts only if the entry has not come back some time after the service has.
//
// Usage:
//   worker_directory directory;
//   directory.offer(entry, now);                 // one entry, from a watch or from another node
//   directory.replaceAll(entries, asOf, now);    // the whole list
//   directory.tick(now);                         // held removals that are due
//   for (const discovered_worker &changed : directory.consumeChanges()) ... pass it on ...
//   auto table = mergeDiscoveredWorkers(poolTable, directory);
//
// Index:
//   [SECTION] Entries
//   [SECTION] Directory
//   [SECTION] Joining
#pragma once

#include <dandelionstall/state/tables.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

// [SECTION] Entries

enum class worker_phase {
    ready,   // takes work
    leaving, // ends what it has, takes nothing new
    removed, // its entry was removed
};

struct discovered_worker {
    std::string id;                           // unique over all workers and lives
    std::string pool;                         // pool of its service
    std::string dataCentre;                   // where it runs
    state::node_address node;                 // the node process on its VM
    state::node_address address;              // where it listens
    std::uint32_t slots = 0;                  // requests it runs at a time; 0 when it does not say
    worker_phase phase = worker_phase::ready; // as announced
    std::string version;                      // of its software
    std::uint64_t startedAtMs = 0;            // its own wall clock at start; tells two lives with one id
    state::time_point coldUntil;              // slow until then
    std::uint64_t revision = 0;               // of the entry; higher is newer
};

bool sameContent(const discovered_worker &a, const discovered_worker &b); // apart from revision and coldUntil

// [SECTION] Directory

class worker_directory
{
public:
    bool offer(const discovered_worker &entry, state::time_point now);                                         // true when something was learnt
    void replaceAll(const std::vector<discovered_worker> &entries, std::uint64_t asOf, state::time_point now); // entries missing in it are gone as of asOf
    void offerRemoval(std::string_view id, std::uint64_t revision, state::time_point now);                     // held back while the service is disturbed
    void recordServiceFailure(state::time_point now);                                                          // a call failed
    void recordServiceRecovery(state::time_point now);                                                         // a call succeeded
    void tick(state::time_point now);                                                                          // held removals that are due; old markers

    std::vector<discovered_worker> consumeChanges();                                        // content changes since the last call
    std::vector<discovered_worker> pageAfter(std::string_view id, std::size_t limit) const; // by id, markers included
    const std::map<std::string, discovered_worker, std::less<>> &entries() const;           // by id, markers included
    std::uint32_t digest() const;                                                           // equal for equal content, markers left out
    std::uint64_t version() const;                                                          // grows with every change of content
    bool isEmpty() const;                                                                   // nothing is known at all

private:
    struct held_removal {
        std::uint64_t revision = 0;
        state::time_point dueAt;
    };

    void apply(const discovered_worker &entry, state::time_point now);
    void markGone(const std::string &id, std::uint64_t revision, state::time_point now);

    std::map<std::string, discovered_worker, std::less<>> m_entries;
    std::map<std::string, state::time_point, std::less<>> m_goneAt;
    std::map<std::string, held_removal, std::less<>> m_held;
    std::vector<discovered_worker> m_changes;
    state::time_point m_disturbedUntil; // removals are held back before
    bool m_serviceLost = false;
    std::uint32_t m_digest = 0;
    std::uint64_t m_version = 0;
};

// [SECTION] Joining

// The table with the rows of discovered workers filled in. Of several workers at one address only the last one started is kept.
state::pool_table mergeDiscoveredWorkers(const state::pool_table &table, const worker_directory &directory);

} // namespace dandelionstall::coordination
