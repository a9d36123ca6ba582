// State of a node that several of its threads use: the runs at the local workers, recorded by the sidecar's thread and read by the
// threads of the ingresses, what answers have told the ingresses about workers, and what the ingresses count of organisations.
#pragma once

#include <dandelionstall/coordination/limits/told_signals.h>
#include <dandelionstall/coordination/rates/rate_client.h>
#include <dandelionstall/coordination/repeats/local_runs.h>

#include <mutex>
#include <utility>

namespace dandelionstall {

template<typename value>
class shared_state
{
public:
    template<typename... arguments>
    explicit shared_state(arguments &&...values)
        : m_value(std::forward<arguments>(values)...)
    { }

    // Calls the operation with the value while no other thread uses it, and returns its result.
    template<typename operation>
    auto access(operation use)
    {
        const std::lock_guard lock(m_mutex);
        return use(m_value);
    }

private:
    std::mutex m_mutex;
    value m_value;
};

using shared_local_runs = shared_state<coordination::local_runs>;
using shared_told_signals = shared_state<coordination::told_signals>;
using shared_rate_client = shared_state<coordination::rate_client>;

} // namespace dandelionstall
