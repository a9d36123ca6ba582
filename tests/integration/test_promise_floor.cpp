// Promise: ejection never reduces the capacity in use of a pool below its floor.
//
// Mechanism: one function of a node's view selects the workers to eject, worst first, and stops at the floor; a node with
// self-suspicion ejects no worker. With the ejector "consecutive_failures", which has no floor, fewer workers than the
// floor stay in use in these tests.
#include "expect.h"

#include <criterion/criterion.h>

#include <set>
#include <thread>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

constexpr std::chrono::seconds SettleTime{4};      // time allowed for detection and ejection
constexpr std::chrono::seconds ObservationTime{3}; // window in which the workers in use are counted
constexpr std::size_t FloorWorkers = 3;            // the floor, half of six workers

// Workers that started a run at or after the first time and before the second.
std::set<std::string> workersInUse(const check_input &evidence, std::chrono::microseconds from, std::chrono::microseconds to)
{
    std::set<std::string> used;
    for (const run_record &run : evidence.workers.runs) {
        if (run.started >= from && run.started < to) {
            used.insert(run.worker);
        }
    }
    return used;
}

struct floor_run {
    check_input evidence;
    std::set<std::string> used; // workers in use during ObservationTime
};

floor_run runWithFaults(fleet &fleet, const std::vector<std::string> &unhealthy, const std::string &fault)
{
    load_job load = fleet.startLoad(mixedLoad(8, 80));
    fleet.awaitRuns(80);
    for (const std::string &worker : unhealthy) {
        fleet.setFault(worker, fault);
    }
    std::this_thread::sleep_for(SettleTime);
    const auto from = steadyNow();
    std::this_thread::sleep_for(ObservationTime);
    floor_run result;
    result.evidence = fleet.evidence(load.finish());
    result.used = workersInUse(result.evidence, from, from + ObservationTime);
    expectClean(fleet, result.evidence);
    return result;
}

} // namespace

Test(floor_kept, most_workers_fail)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    const floor_run run = runWithFaults(fleet, {"kiambu-0", "kiambu-1", "thika-0", "thika-1"}, "fail=1");
    cr_assert_geq(run.used.size(), FloorWorkers, "%zu workers in use", run.used.size());
    cr_assert(run.used.contains("ruiru-0") && run.used.contains("ruiru-1"), "a healthy worker is not in use");
}

Test(floor_kept, every_worker_fails_and_recovers)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    const std::vector<std::string> all{"kiambu-0", "kiambu-1", "thika-0", "thika-1", "ruiru-0", "ruiru-1"};
    const floor_run run = runWithFaults(fleet, all, "fail=1");
    cr_assert_geq(run.used.size(), FloorWorkers, "%zu workers in use", run.used.size());
    for (const std::string &worker : all) {
        fleet.setFault(worker, "");
    }
    const check_input evidence = fleet.evidence(fleet.startLoad(mixedLoad(3, 80)).finish());
    expectUseful(evidence.calls, "lookup", 0.95);
}

Test(floor_kept, isolated_node_does_not_eject_the_other_workers)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    const std::string isolatedIp = fleet.node(0).ip;
    load_job load = fleet.startLoad(mixedLoad(8, 80), {0, 1, 2});
    fleet.awaitRuns(80);
    fleet.setPaths(R"([{"from": ")" + isolatedIp + R"(", "cut": "hold"}, {"from": ")" + isolatedIp + R"(", "to": ")" + fleet.ip(2) + R"(", "cut": "none"}])");
    std::this_thread::sleep_for(SettleTime);
    fleet.setPaths("[]");
    const check_input duringPartition = fleet.evidence(load.finish());
    expectClean(fleet, duringPartition);
    const auto from = steadyNow();
    const check_input after = fleet.evidence(fleet.startLoad(mixedLoad(3, 80)).finish());
    expectUseful(after.calls, "lookup", 0.95);
    const auto used = workersInUse(after, from, steadyNow());
    cr_assert_geq(used.size(), 5, "%zu workers in use after the partition", used.size());
}
