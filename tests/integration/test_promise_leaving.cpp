// Promise: an upstream that is leaving receives no new requests after LeavingLimit.
//
// Mechanisms: the VM list, the worker's drain signal and the stop of its node each mark a worker as leaving, and gossip
// disseminates the mark; a worker that a new pool table no longer lists is taken out of use. If one of these signals is
// ignored, its test finds runs that started after the limit.
#include "expect.h"

#include <criterion/criterion.h>

#include <csignal>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

constexpr double LoadSeconds = 7; // the load must last longer than LeavingLimit after the worker starts to leave

// Records the workers as leaving since the given time, waits for the end of the load and checks that none of them
// started a run later than LeavingLimit after that time.
void expectNoNewRuns(fleet &fleet, load_job &load, const std::vector<std::string> &workers, std::chrono::microseconds since)
{
    check_input evidence = fleet.evidence(load.finish());
    for (const std::string &worker : workers) {
        evidence.workers.leaving.push_back({worker, since});
    }
    const auto loadEnd = evidence.workers.runs.empty() ? since : evidence.calls.back().answered;
    cr_assert_gt((loadEnd - since).count(), std::chrono::microseconds(LeavingLimit).count(), "the load ended before the limit for leaving workers");
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.95);
    expectUseful(evidence.calls, "book", 0.95);
}

} // namespace

Test(leaving, vm_list_marks_the_node_leaving)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(LoadSeconds, 100));
    fleet.awaitRuns(100);
    const auto since = steadyNow();
    fleet.publishNodes({{"node-1", "leaving"}});
    expectNoNewRuns(fleet, load, {"kiambu-1"}, since);
}

Test(leaving, worker_reports_draining)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(LoadSeconds, 100));
    fleet.awaitRuns(100);
    const auto since = steadyNow();
    fleet.setFault("thika-0", "draining=yes");
    expectNoNewRuns(fleet, load, {"thika-0"}, since);
}

Test(leaving, node_stops_on_sigterm)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(LoadSeconds, 100), {0, 1, 2, 3});
    fleet.awaitRuns(100);
    const auto since = steadyNow();
    fleet.node(5).process.signal(SIGTERM);
    expectNoNewRuns(fleet, load, {"ruiru-1"}, since);
}

Test(leaving, pool_table_removes_the_worker)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(LoadSeconds, 100));
    fleet.awaitRuns(100);
    std::string pools = fleet.poolsText(2);
    const std::size_t line = pools.find("worker.kiambu-0");
    pools.erase(line, pools.find('\n', line) - line);
    const auto since = steadyNow();
    fleet.publishPools(pools);
    expectNoNewRuns(fleet, load, {"kiambu-0"}, since);
}
