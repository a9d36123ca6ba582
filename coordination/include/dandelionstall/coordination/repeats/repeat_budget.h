// Limits the repeats that reach one worker, so that the repeats at all workers of its pool stay within the pool's retry allowance
// (state::retry_allowance). Does no I/O and reads no clock; used from one thread.
//
// Every attempt reaches a worker through the sidecar beside it, whatever caused it, so the sidecar is where repeats are counted.
// Each worker has its own part of the allowance; nodes share no counters.
//
// Bound. The allowance of a window is a share of the requests of this window, of the window before it, or of the one that begins
// half a window earlier, whichever has most, plus extra repeats. The parts of the workers add up to less than that:
//   - Requests. A request is counted by the one sidecar to which its first attempt is sent. A part uses a weighted mean
//     of the three windows: means add up over workers, maxima do not, and a mean is never above the maximum.
//   - Extra repeats. A part is the extra divided by the largest number of workers that the pool had in the last window. A worker
//     uses its part only after it has been known for a window. So all workers that use their parts within one window were in the
//     pool together at its beginning, and each of them divides by at least their number.
//   - A sidecar that starts again knows nothing of earlier repeats, and gets no part of the extra for one window either. In a fleet
//     that is started for the first time there are no earlier repeats: those who serve a worker from then on use their parts as
//     soon as they know the others. A worker that is added later waits for a window, so that the parts add up to the extra. So does
//     one that is older than the process, whatever the settings say of the start: another process has served it.
// The pool can get more repeats than its allowance in two cases only. Workers that the others no longer know, because they are cut
// off from them for longer than a window, still use their parts: at most once the extra more, in all. And the calls of repeated
// runs that began before a sidecar was started are not recognised: at most the slots of its workers times the calls of a run.
#pragma once

#include <dandelionstall/coordination/repeats/recent_maximum.h>
#include <dandelionstall/coordination/repeats/repeats.h>
#include <dandelionstall/state/tables.h>

#include <array>

namespace dandelionstall::coordination {

struct repeat_verdict {
    bool admitted = true; // the repeat may reach the worker
    repeat_counts counts; // figures behind the decision
};

// A worker's part of the extra repeats of its pool.
struct repeat_part {
    std::uint32_t sharers = 0; // number of workers among which the extra is divided
    double extra = 0.0;        // repeats in each window; 0 while the worker has to wait for its part
};

// Whether repeats may have reached the worker before its sidecar has begun to count.
enum class earlier_repeats {
    possible, // the fleet was running
    none,     // the sidecar has served the worker since the first start of the fleet
};

class repeat_budget
{
public:
    explicit repeat_budget(state::time_point startedAt, earlier_repeats earlier = earlier_repeats::possible); // startedAt: since when it is served

    void expectEarlierRepeats(); // repeats may have reached the worker before: its part of the extra is used only after a window
    void recordWorkers(std::uint32_t poolWorkers, state::time_point now);                                   // number of workers in the pool, on each change
    void recordRequest(const state::retry_allowance &allowance, state::time_point now);                     // a request was first sent to this worker
    repeat_verdict check(repeat_kind kind, const state::retry_allowance &allowance, state::time_point now); // decides without counting
    repeat_part part(const state::retry_allowance &allowance, state::time_point now);                       // of the extra repeats
    repeat_verdict count(repeat_kind kind, const state::retry_allowance &allowance, state::time_point now); // counts the repeat if it is admitted

private:
    static constexpr std::size_t BucketsPerWindow = 40;
    static constexpr std::size_t Buckets = 2 * BucketsPerWindow + 1; // the current one, and those of two windows before it

    struct bucket {
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    void advance(std::chrono::milliseconds window, state::time_point now); // makes the last bucket the one of now
    double extraPart(const state::retry_allowance &allowance, state::time_point now);
    double requestsBetween(std::size_t first, std::size_t end) const; // first and end: indices of buckets
    bool isWithin(const state::retry_allowance &allowance, double extra) const;

    state::time_point m_startedAt;
    earlier_repeats m_earlier;
    std::chrono::milliseconds m_window{0};   // window that the buckets divide; 0 before the first use
    std::int64_t m_lastBucket = 0;           // number of the last bucket since the epoch of the clock
    std::array<bucket, Buckets> m_buckets{}; // in order of time
    recent_maximum m_poolWorkers;
};

} // namespace dandelionstall::coordination
