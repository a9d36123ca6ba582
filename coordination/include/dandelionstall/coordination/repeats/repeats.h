// Repeats: the arrivals at workers that a retry allowance limits.
//
// A request costs its pool one arrival at a worker. Each further arrival is a repeat. So is the first arrival of a call that a
// worker makes during a run that is itself a repeat: without that run, there would have been no such call.
#pragma once

#include <dandelionstall/coordination/reasons.h>

#include <string_view>

namespace dandelionstall::coordination {

enum class repeat_kind {
    none,  // no repeat: no attempt of the request has reached a worker before
    retry, // an earlier attempt reached a worker, which did not run it
    rerun, // an earlier attempt may have run
    call,  // call made by a run that is a repeat; no attempt of the call has reached a worker before
};

// Figures behind one decision about a repeat.
struct repeat_counts {
    std::size_t requests = 0;  // requests counted in the last window
    std::size_t repeats = 0;   // repeats counted in the last window, without the one decided on
    std::uint32_t sharers = 1; // number among which the extra repeats of the allowance are divided
    double allowed = 0.0;      // repeats allowed in the window
};

// Kind of the next attempt of a request. arrivals: earlier attempts that may have reached a worker; run: what is known about them.
repeat_kind repeatKindOf(std::uint32_t arrivals, run_state run, bool isCallOfRepeat);

std::string_view repeatName(repeat_kind kind);      // stable name, such as "rerun"
repeat_kind parseRepeatKind(std::string_view name); // none when the name is unknown

} // namespace dandelionstall::coordination
