// The rate limit that a worker states in its answers, as the sidecar beside it holds it. Does no I/O and reads no clock; used from
// one thread. See docs/design/worker-signals.md.
//
// A limit is in force from the first answer that states it, or from the first attempt whose node had been told of it before this
// sidecar was started. It ends with an answer without it, or with the worker's lifetime. It does not end by time.
#pragma once

#include <dandelionstall/coordination/health/pool_view.h>
#include <dandelionstall/coordination/limits/rate_gate.h>

#include <optional>

namespace dandelionstall::coordination {

// An answer of the worker, or a refusal by it.
struct limit_answer {
    std::optional<double> rate;    // stated rate in requests per second; nullopt when none is stated
    bool mayLift = false;          // without a rate, the answer states that there is no limit: it is an answer of the worker itself to a request
    state::time_point requestedAt; // when its request was sent
};

enum class limit_change {
    none,    // the limit in force is the same
    learned, // a limit is in force now
    changed, // the rate of the limit has changed
    lifted,  // no limit is in force any more
};

class worker_limit
{
public:
    limit_change recordAnswer(const limit_answer &answer, state::time_point now);
    limit_change adopt(double rate, state::time_point now); // from an attempt; ignored once an answer has told; of several rates the lowest holds
    limit_change forget();                                  // the worker has a new lifetime

    limit_knowledge knowledge() const;
    const rate_gate *gate() const;                        // null without a limit in force
    std::uint32_t room(state::time_point now) const;      // requests that may start now; the maximum without a limit
    void recordStart(state::time_point now);              // a request is sent to the worker
    state::time_point promiseRoom(state::time_point now); // see rate_gate; now without a limit

private:
    limit_change setRate(double rate, state::time_point now);

    std::optional<rate_gate> m_gate; // set while a limit is in force
    bool m_heard = false;            // an answer has told whether there is a limit
    state::time_point m_statedAt;    // when the latest answer with a rate arrived
};

} // namespace dandelionstall::coordination
