// Admission at the owner of a worker's slots: what starts, what waits, what is refused at once.
//
// One policy object serves one worker and is used from one thread. It does no I/O and reads no clock: each call brings
// the time, and returns what to do. A refused item was not started and never will be.
//
// Usage:
//   auto policy = makeAdmissionPolicy("worth_density", limits, seed);
//   admission_actions todo = (*policy)->offer(item, now);
//   ... start each todo.start, refuse each todo.refuse; later finish() or cancel() what was started ...
//   set a timer for policy->nextAdvanceAt(); when it fires call advance().
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

// One attempt that wants a slot.
struct work_item {
    state::attempt_id id;                                  // unique
    std::string route;                                     // route name; costs are learned per route
    double worth = 1.0;                                    // value of the answer before the deadline, > 0
    state::time_point deadline;                            // worthless afterwards
    state::time_point targetAt = state::time_point::max(); // worth less after it; max() when the route has no target
    std::chrono::microseconds costHint{0};                 // expected run time from the table; zero when unknown
    std::size_t bodyBytes = 0;                             // request body size; part of the learned cost where it matters
};

// An item that gets no slot. It was not run.
struct admission_refusal {
    state::attempt_id id;                         // which item
    refusal_reason reason = refusal_reason::none; // why
    state::time_point retryAt;                    // when the caller should come back; spread over callers
};

// What to do after a call.
struct admission_actions {
    std::vector<state::attempt_id> start;  // start these now; each holds a slot until finish() or cancel()
    std::vector<admission_refusal> refuse; // answer these at once
};

struct admission_limits {
    std::uint32_t slots = 1;      // requests that run at a time
    std::uint32_t maxQueued = 64; // requests that wait at a time
};

// Load as other nodes see it.
struct admission_load {
    std::uint32_t slots = 0;                   // as configured
    std::uint32_t busy = 0;                    // slots in use
    std::uint32_t queued = 0;                  // items waiting
    std::chrono::microseconds expectedWait{0}; // until a new item of average worth would start
    double worthFloor = 0.0;                   // items below this worth per second of cost are refused at present; 0 when idle
};

// How a started item ended.
enum class work_result {
    answered,  // whole answer
    failed,    // error or broken answer
    abandoned, // cancelled by the caller or deadline passed while running
};

// [SECTION] Policy

class admission_policy
{
public:
    virtual ~admission_policy() = default;

    virtual admission_actions offer(const work_item &item, state::time_point now) = 0;                            // a new item; its id must be new
    virtual admission_actions finish(const state::attempt_id &id, work_result result, state::time_point now) = 0; // frees the slot of a started item
    virtual admission_actions cancel(const state::attempt_id &id, state::time_point now)
        = 0;                                                      // drops a waiting item (refused as cancelled); nothing when it is not waiting
    virtual admission_actions advance(state::time_point now) = 0; // refuses items that have become hopeless
    virtual admission_actions setSlots(std::uint32_t slots, state::time_point now) = 0; // changes the number of slots; running items go on
    virtual admission_actions drain(state::time_point now) = 0;                         // from now on refuses new and waiting items; running items go on
    virtual state::time_point nextAdvanceAt() const = 0;                                // when to call advance(); time_point::max() when never
    virtual admission_load load(state::time_point now) const = 0;                       // for reports
};

// Names: "worth_density" (chosen), "fifo" (baseline). The seed spreads retry times.
absl::StatusOr<std::unique_ptr<admission_policy>> makeAdmissionPolicy(std::string_view name, const admission_limits &limits, std::uint64_t seed);

} // namespace dandelionstall::coordination
