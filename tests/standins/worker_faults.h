// Faults of a stand-in worker, set on command as "key=value" lines; what is not named is healthy.
//
//   slow=5              run time is multiplied by this
//   extra_ms=100        run time is lengthened by this
//   fail=0.8            share of the runs that end with status 500; probes still pass
//   truncate=0.2        share of the answers that are cut after half of the body
//   reset=0.1           share of the runs that end with a reset instead of an answer
//   hang=0.1            share of the runs that hold their slot and never answer
//   late_ms=900         answers leave this much after the run has freed its slot
//   shed=0.5            share of the requests refused before a run: status 503 and X-Worker-Refused: not-run
//   draining=yes        X-Worker-State: draining on every answer, health says draining
//   cold_ms=5000        cold start: run time falls from five times the normal to the normal in this time
//   health=sick         what the health endpoint says: honest, ok or sick
//   load=idle           what the load endpoint says: honest, idle or full
//   flap_ms=1000        the faults hold in every other span of this length
#pragma once

#include <dandelionstall/state/types.h>

#include <string>

namespace dandelionstall::standins {

struct worker_faults {
    double slow = 1.0;
    std::chrono::milliseconds extra{0};
    double fail = 0.0;
    double truncate = 0.0;
    double reset = 0.0;
    double hang = 0.0;
    std::chrono::milliseconds late{0};
    double shed = 0.0;
    bool draining = false;
    std::chrono::milliseconds cold{0};
    std::string health = "honest";
    std::string load = "honest";
    std::chrono::milliseconds flap{0};
    state::time_point since; // when the command came
};

worker_faults parseWorkerFaults(const std::string &text, state::time_point now); // throws std::invalid_argument
worker_faults faultsAt(const worker_faults &faults, state::time_point now);      // those that hold now; applies flap_ms
std::chrono::milliseconds runTime(const worker_faults &faults, std::chrono::milliseconds cost, state::time_point now);

} // namespace dandelionstall::standins
