// Does the steps of a plan to a fleet of real processes, and undoes them.
//
// Nodes and workers are signalled and started again; paths go through the fault proxy; the configuration service gets its
// faults by command. Steps overlap freely: a path has the conditions of all its open steps, and a process that was paused
// twice goes on when both pauses are over.
#pragma once

#include "fault_plan.h"

#include <fleet.h>

#include <dandelionstall/state/types.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandelionstall::soak {

// A span in which a node was disturbed in a way that callers at it may notice.
struct node_span {
    std::size_t node = 0;
    std::chrono::microseconds from{0};  // steady time
    std::chrono::microseconds until{0}; // zero while it goes on
};

// What the checks have to know of what was done.
struct injection_log {
    std::vector<node_span> stops;      // from SIGTERM to the end of the process
    std::vector<node_span> blows;      // killed or paused, until it served again
    std::vector<std::string> unwanted; // processes that ended by themselves, or stopped with an error
    std::uint64_t lastTable = 1;       // revision written last
};

class injector
{
public:
    injector(testing::fleet &fleet, fault_plan plan);

    void advance(std::chrono::milliseconds elapsed); // begins and ends what is due; call it every few milliseconds
    void endAll();                                   // undoes all and starts what is down
    bool isWhole();                                  // all processes run, none is paused
    bool isUp(std::size_t node);                     // its process runs and is not paused
    std::uint64_t lifeOf(std::size_t node) const;    // grows with each start
    const injection_log &log() const;

private:
    void begin(const fault_step &step);
    void end(const fault_step &step);
    void beginNode(const fault_step &step);
    void beginWorker(const fault_step &step);
    void endWorker(const fault_step &step);
    void changeTable();
    void applyPaths();
    void applyStore();
    void applyWorker(std::size_t node);
    void restartEnded();
    std::string workerOf(std::size_t node);

    struct open_stop {
        std::size_t span = 0; // index into the log
    };

    testing::fleet &m_fleet;
    fault_plan m_plan;
    std::size_t m_next = 0;         // first step not begun
    std::vector<fault_step> m_open; // begun and not undone
    std::map<std::size_t, int> m_pausedNodes;
    std::map<std::size_t, int> m_pausedWorkers;
    std::map<std::size_t, std::size_t> m_stopping; // node -> index of its stop
    std::map<std::size_t, std::size_t> m_blown;    // node -> index of its blow
    std::set<std::size_t> m_downNodes;             // killed, to be started at the end of the step
    std::set<std::size_t> m_downWorkers;           // the same
    std::map<std::size_t, std::uint64_t> m_lives;
    injection_log m_log;
};

} // namespace dandelionstall::soak
