// Injects the steps of a fault plan into a fleet of real processes, and ends them.
//
// Nodes and workers are signalled and restarted, path faults are rules of the fault proxy, and the configuration service
// receives its faults as commands. Steps may overlap: the faults of all active steps of a path apply together, and a process
// that was paused twice continues when both pauses have ended.
#pragma once

#include "fault_plan.h"

#include <fleet.h>

#include <dandelionstall/state/types.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace dandelionstall::soak {

// A time span in which a fault at a node may affect the callers connected to it.
struct node_span {
    std::size_t node = 0;
    std::chrono::microseconds from{0};  // monotonic clock
    std::chrono::microseconds until{0}; // zero until the span has ended
};

// Record of the injected faults, for the checks.
struct injection_log {
    std::vector<node_span> stops;             // from SIGTERM to the end of the process
    std::vector<node_span> disturbances;      // from the kill or pause of a node until it is ready
    std::vector<std::string> unexpectedExits; // nodes that exited without a signal from the injector, or with an error
    std::set<std::string> endedWorkers;       // workers that were killed
    std::uint64_t lastTable = 1;              // revision of the route table written last
};

class injector
{
public:
    injector(testing::fleet &fleet, fault_plan plan);

    void advance(std::chrono::milliseconds elapsed);  // begins and ends the steps that are due; to be called every few milliseconds
    void endAll();                                    // ends all active steps and restarts processes that are not running; begins no further step
    bool isRestored();                                // true when no step is active, killed and stopped processes run again, and disturbed nodes are ready
    bool isUp(std::size_t node);                      // true when the process runs, is not paused and was not sent SIGTERM
    std::uint64_t restartsOf(std::size_t node) const; // number of restarts of the node
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

    struct active_stop {
        std::size_t span = 0; // index into injection_log::stops
    };

    testing::fleet &m_fleet;
    fault_plan m_plan;
    std::size_t m_nextStep = 0;                      // index of the first step that has not begun
    std::vector<fault_step> m_active;                // steps that have begun and not ended
    std::map<std::size_t, int> m_pausedNodes;        // node -> number of active pauses
    std::map<std::size_t, int> m_pausedWorkers;      // node of the worker -> number of active pauses
    std::map<std::size_t, std::size_t> m_stopping;   // node -> index into injection_log::stops
    std::map<std::size_t, std::size_t> m_disturbed;  // node -> index into injection_log::disturbances
    std::set<std::size_t> m_killedNodes;             // killed nodes, restarted at the end of the step
    std::set<std::size_t> m_killedWorkers;           // nodes of killed workers, which are restarted at the end of the step
    std::map<std::size_t, std::uint64_t> m_restarts; // node -> number of restarts
    injection_log m_log;
};

} // namespace dandelionstall::soak
