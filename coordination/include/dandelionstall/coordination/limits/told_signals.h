// What answers have told this node about workers: their rate limits, and which of them are leaving. Does no I/O and reads no clock.
// See docs/design/worker-signals.md.
//
// A node is bound by each answer that it passes on, whatever it hears or does not hear from other nodes. It carries a limit with
// its attempts, because the sidecar beside the worker forgets it when it is started again.
//
// A limit ends with a newer report of the sidecar that the worker states none, or with the worker's lifetime; a leaving with the
// lifetime only. Neither ends by time, but for the leaving of a worker that announces no lifetime (leavingUntil() in pool_view.h).
// Workers that are no longer listed are forgotten after UnlistedRetention, since the entry of a worker may be away for a while
// without its lifetime having ended.
//
// Usage:
//   told.recordAnswer({worker, pool, lifetime}, rate, leaving, now);    // the head of an answer that is passed on
//   told.recordReport(report, now);                                     // the reports in that head
//   if (told.mayUse(worker, now)) { told.recordSent(worker, now); ... told.recordRefused(worker); }
#pragma once

#include <dandelionstall/coordination/health/pool_view.h>
#include <dandelionstall/coordination/limits/rate_gate.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

// A worker of one lifetime.
struct worker_identity {
    std::string worker;         // worker id
    std::string pool;           // pool of the worker
    std::uint64_t lifetime = 0; // see worker_report::lifetime
};

struct told_limit {
    double rate = 0.0;          // requests per second, from all nodes together
    std::uint64_t lifetime = 0; // lifetime of the worker that stated it
};

// What has begun or ended, for the log.
enum class told_change {
    limit,         // a limit, or another rate
    limit_ended,   // a limit has ended
    leaving,       // the worker is leaving
    leaving_ended, // the worker that was leaving has a new lifetime
};

struct told_event {
    told_change change = told_change::limit;
    std::string worker;
    double rate = 0.0; // in requests per second, for told_change::limit
};

using told_events = std::vector<told_event>;

class told_signals
{
public:
    told_events recordAnswer(const worker_identity &who, std::optional<double> rate, bool leaving, state::time_point now);
    told_events recordReport(const worker_report &report, state::time_point now);
    told_events applyTable(const state::pool_table &table, state::time_point now); // ends what belongs to earlier lifetimes

    bool isLeaving(std::string_view worker, state::time_point now) const;
    std::optional<told_limit> limitOf(std::string_view worker) const;               // limit in force; nullopt when there is none
    state::time_point roomAt(std::string_view worker, state::time_point now) const; // earliest time at which this node may send a request; now when it may now
    bool mayUse(std::string_view worker, state::time_point now) const;              // not leaving, and with room
    void recordSent(std::string_view worker, state::time_point now);                // counts an attempt
    void recordRefused(std::string_view worker);                                    // the attempt did not reach the worker: takes the count back
    state::time_point promiseRoom(std::string_view worker, state::time_point now);  // see rate_gate; now without a limit
    std::size_t size() const;                                                       // workers remembered

private:
    struct entry {
        worker_identity who;
        std::optional<rate_gate> gate;      // set while a limit is in force
        state::time_point leavingUntil;     // the worker has stated that it is leaving, see pool_view.h; epoch when it has not
        state::incarnation incarnation = 0; // of the latest report, with its version
        std::uint64_t version = 0;
        state::time_point noRoomUntil; // the sidecar has said that there is no room before
        state::time_point listedAt;    // when the worker was last seen in the pool table, or told of
    };

    entry *find(std::string_view worker);
    const entry *find(std::string_view worker) const;
    entry &remember(const worker_identity &who, state::time_point now, told_events &events); // begins a new entry for a later lifetime
    static void setRate(entry &known, double rate, state::time_point now, told_events &events);
    static void setLeaving(entry &known, state::time_point now, told_events &events);
    static void endLimit(entry &known, told_events &events);

    std::map<std::string, entry, std::less<>> m_entries;
};

} // namespace dandelionstall::coordination
