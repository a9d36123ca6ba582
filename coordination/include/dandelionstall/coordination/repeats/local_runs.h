// The runs in progress at the workers of this VM, and which requests of local callers are calls made by them.
//
// A worker sends its calls through the node on its own VM, like any other caller. Nothing marks them as calls, so a request is
// attributed by what it states:
//   - A request id that continues the id of a running request, as in "9c41.77" for "9c41", names its parent. A worker that has
//     named the parent of one call is expected to name all of them.
//   - Without such an id, a request is taken for a call of any repeated run of a worker that names no parents, unless the request
//     may outlive that run: a call ends with the time of its parent. This counts some requests of other callers as calls.
// Calls of runs that began before this process are unknown.
#pragma once

#include <dandelionstall/coordination/repeats/repeats.h>

#include <set>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

// One run at a local worker.
struct local_run {
    state::attempt_id id;                   // id of the attempt
    std::string worker;                     // id of the worker
    std::string request;                    // request id stated by the caller; empty when none
    repeat_kind repeat = repeat_kind::none; // whether the run is a repeat
    state::time_point deadline;             // the worker ends the run by then
    std::string organisation = {};          // organisation whose key the request had; empty when none
};

class local_runs
{
public:
    void recordStart(local_run run);
    void recordEnd(const state::attempt_id &id);       // the worker has ended the run
    void recordAbandoned(const state::attempt_id &id); // the worker may go on with the run until its deadline
    void forgetWorker(const std::string &worker);      // the worker is no longer served here

    // True when the request may be a call made by a run that is a repeat. request: id stated by the caller; deadline: its deadline.
    bool isCallOfRepeat(std::string_view request, state::time_point deadline, state::time_point now);

    std::string organisationOfParent(std::string_view request) const; // organisation of the run that the request id names; empty when unknown

private:
    void expire(state::time_point now);

    std::vector<local_run> m_runs;         // at most the slots of the local workers, and abandoned runs until their deadlines
    std::set<std::string> m_namingWorkers; // workers that have named the parent of a call
};

} // namespace dandelionstall::coordination
