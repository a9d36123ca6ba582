// The runs at the local workers, recorded by the sidecar's thread and read by the threads of the ingresses.
#pragma once

#include <dandelionstall/coordination/local_runs.h>

#include <mutex>

namespace dandelionstall {

class shared_local_runs
{
public:
    // Calls the operation with the coordination::local_runs while no other thread uses them, and returns its result.
    template<typename operation>
    auto access(operation use)
    {
        const std::lock_guard lock(m_mutex);
        return use(m_runs);
    }

private:
    std::mutex m_mutex;
    coordination::local_runs m_runs;
};

} // namespace dandelionstall
