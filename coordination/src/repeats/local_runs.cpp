#include <dandelionstall/coordination/repeats/local_runs.h>

#include <algorithm>
#include <cctype>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::milliseconds DeadlineTolerance{250}; // a call may state a deadline later than its parent's by the time that both were on their way

// True for "9c41.77" and the parent "9c41": the id of the parent, a separator and more.
bool namesParent(std::string_view request, std::string_view parent)
{
    return !parent.empty() && request.size() > parent.size() + 1 && request.starts_with(parent)
           && std::isalnum(static_cast<unsigned char>(request[parent.size()])) == 0;
}

} // namespace

void local_runs::recordStart(local_run run)
{
    m_runs.push_back(std::move(run));
}

void local_runs::recordEnd(const state::attempt_id &id)
{
    std::erase_if(m_runs, [&](const local_run &run) { return run.id == id; });
}

void local_runs::recordAbandoned(const state::attempt_id &id)
{
    std::erase_if(m_runs, [&](const local_run &run) { return run.id == id && run.repeat == repeat_kind::none; });
}

void local_runs::forgetWorker(const std::string &worker)
{
    m_namingWorkers.erase(worker);
}

void local_runs::expire(state::time_point now)
{
    std::erase_if(m_runs, [&](const local_run &run) { return run.deadline + DeadlineTolerance < now; });
}

bool local_runs::isCallOfRepeat(std::string_view request, state::time_point deadline, state::time_point now)
{
    expire(now);
    bool named = false;
    bool repeated = false;
    for (const local_run &run : m_runs) {
        if (namesParent(request, run.request)) {
            m_namingWorkers.insert(run.worker);
            named = true;
            repeated = repeated || run.repeat != repeat_kind::none;
        }
    }
    if (named) {
        return repeated;
    }
    return std::any_of(m_runs.begin(), m_runs.end(), [&](const local_run &run) {
        return run.repeat != repeat_kind::none && !m_namingWorkers.contains(run.worker) && deadline <= run.deadline + DeadlineTolerance;
    });
}

// Of runs that the id names, the one with the longest id is the parent: "9c41.77" and not "9c41" for "9c41.77.3".
std::string local_runs::organisationOfParent(std::string_view request) const
{
    const local_run *parent = nullptr;
    for (const local_run &run : m_runs) {
        if (namesParent(request, run.request) && (parent == nullptr || run.request.size() > parent->request.size())) {
            parent = &run;
        }
    }
    return parent != nullptr ? parent->organisation : std::string();
}

} // namespace dandelionstall::coordination
