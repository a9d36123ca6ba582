// Admission control at the node that owns a worker's slots: decides which attempts start, wait in the queue or are refused.
//
// One policy object serves one worker and is used from one thread. It does no I/O and reads no clock: each call gets the
// current time and returns the actions to take. A refused item was not started and will not be.
//
// Usage:
//   auto policy = makeAdmissionPolicy("worth_density", limits, seed);
//   admission_actions actions = (*policy)->offer(item, now);
//   ... start each item of actions.start, refuse each item of actions.refuse; call finish() when a started item ends ...
//   ... call cancel() when the caller of a waiting item cancels it ...
//   set a timer for (*policy)->nextAdvanceAt() and call advance() when it expires.
//
// Index:
//   [SECTION] Work and actions
//   [SECTION] Policy
#pragma once

#include <dandelionstall/coordination/reasons.h>

#include <memory>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

// [SECTION] Work and actions

// An attempt that needs a slot.
struct work_item {
    state::attempt_id id;                                  // unique id of the attempt
    std::string route;                                     // route name; run times are learned per route
    double worth = 1.0;                                    // value of an answer before the deadline; greater than 0
    state::time_point deadline;                            // an answer after it has no value
    state::time_point targetAt = state::time_point::max(); // an answer after it has a reduced value; max() when the route has no target
    std::chrono::microseconds costHint{0};                 // expected run time from the route table; zero when unknown
    std::size_t bodyBytes = 0;                             // size of the request body; run times are learned per size class
};

// The refusal of an item, which was not run.
struct admission_refusal {
    state::attempt_id id;                         // id of the refused item
    refusal_reason reason = refusal_reason::none; // why it was refused
    state::time_point retryAt;                    // time from which the caller may retry; worth_density randomises it to spread the retries of callers
};

// The actions to take after a call.
struct admission_actions {
    std::vector<state::attempt_id> start;  // items to start now; each occupies a slot until finish()
    std::vector<admission_refusal> refuse; // items to refuse immediately
};

struct admission_limits {
    std::uint32_t slots = 1;      // maximum number of running items
    std::uint32_t maxQueued = 64; // maximum number of waiting items
};

// Load of the worker, as reported to other nodes.
struct admission_load {
    std::uint32_t slots = 0;                   // configured number of slots
    std::uint32_t busy = 0;                    // slots in use
    std::uint32_t queued = 0;                  // number of waiting items
    std::chrono::microseconds expectedWait{0}; // expected wait of a new item of average density; microseconds::max() when there are no slots
    double worthFloor = 0.0;                   // highest density (worth per second of expected run time) refused recently for low worth; 0 when none
};

// How a started item ended.
enum class work_result {
    answered,  // the answer was complete
    failed,    // the worker answered with an error or a truncated answer
    abandoned, // the caller cancelled it or its deadline passed while it ran
};

// [SECTION] Policy

class admission_policy
{
public:
    virtual ~admission_policy() = default;

    virtual admission_actions offer(const work_item &item, state::time_point now) = 0; // offers a new item with an id that was not used before
    virtual admission_actions finish(const state::attempt_id &id, work_result result, state::time_point now) = 0; // frees the slot of an ended item
    virtual admission_actions cancel(const state::attempt_id &id, state::time_point now) = 0;                     // refuses the item as cancelled if it waits
    virtual admission_actions advance(state::time_point now) = 0;                       // starts or refuses waiting items that are due
    virtual admission_actions setSlots(std::uint32_t slots, state::time_point now) = 0; // changes the number of slots; running items continue
    virtual admission_actions drain(state::time_point now) = 0;   // refuses all waiting items and all new ones from now on; running items continue
    virtual state::time_point nextAdvanceAt() const = 0;          // when to call advance(); time_point::max() when no call is needed
    virtual admission_load load(state::time_point now) const = 0; // present load, for reports to other nodes
};

// Policy names: "worth_density" (default), "fifo" (baseline for comparison). The seed determines the random
// spread of retry times.
absl::StatusOr<std::unique_ptr<admission_policy>> makeAdmissionPolicy(std::string_view name, const admission_limits &limits, std::uint64_t seed);

} // namespace dandelionstall::coordination
