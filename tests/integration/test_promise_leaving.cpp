// Promise: an upstream that is leaving receives no new work after a few seconds.
//
// Mechanisms: the VM list, the worker's own drain signal and the node's own stop each mark a worker as leaving, and
// gossip carries the mark. Without any one of them the test for that signal finds runs after the limit.
#include "expect.h"

#include <criterion/criterion.h>

#include <csignal>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

constexpr double LoadSeconds = 7; // well beyond LeavingLimit

// Marks the workers of a node as leaving from now on and checks the rest of the load.
void expectLeft(fleet &fleet, load_job &load, const std::vector<std::string> &workers, std::chrono::microseconds since)
{
    check_input evidence = fleet.evidence(load.finish());
    for (const std::string &worker : workers) {
        evidence.workers.leaving.push_back({worker, since});
    }
    const auto loadEnd = evidence.workers.runs.empty() ? since : evidence.calls.back().answered;
    cr_assert_gt((loadEnd - since).count(), std::chrono::microseconds(LeavingLimit).count(), "the load ended too early to tell");
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.95);
    expectUseful(evidence.calls, "book", 0.95);
}

} // namespace

Test(leaving, list_of_vms_says_leaving)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(LoadSeconds, 100));
    fleet.awaitRuns(100);
    const auto since = steadyNow();
    fleet.publishNodes({{"node-1", "leaving"}});
    expectLeft(fleet, load, {"kiambu-1"}, since);
}

Test(leaving, worker_says_draining)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(LoadSeconds, 100));
    fleet.awaitRuns(100);
    const auto since = steadyNow();
    fleet.setFault("thika-0", "draining=yes");
    expectLeft(fleet, load, {"thika-0"}, since);
}

Test(leaving, node_is_told_to_stop)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(LoadSeconds, 100), {0, 1, 2, 3});
    fleet.awaitRuns(100);
    const auto since = steadyNow();
    fleet.node(5).process.signal(SIGTERM);
    expectLeft(fleet, load, {"ruiru-1"}, since);
}

Test(leaving, pool_table_drops_the_worker)
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
    expectLeft(fleet, load, {"kiambu-0"}, since);
}
