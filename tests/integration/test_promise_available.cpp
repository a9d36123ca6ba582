// Promise: healthy capacity stays available while some upstreams degrade, and callers continue to receive answers.
//
// Mechanisms: the sidecars evaluate the results of real requests and share them within the pool; health probes alone
// neither eject nor re-admit a worker; refused requests, and idempotent ones with truncated answers, are retried at
// another worker. With the ejector or the balancer set to its baseline policy, the unhealthy worker keeps its share of the
// requests.
#include "expect.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

constexpr std::chrono::seconds DetectionLimit{3}; // promised time to detect a gray failure: the worker runs, but its requests fail, hang or are slow
constexpr double FairShare = 1.0 / 6;             // share of one worker out of six

// Share of the given worker in all runs that started at or after the given time.
double shareSince(const check_input &evidence, const std::string &worker, std::chrono::microseconds since)
{
    double all = 0;
    double atWorker = 0;
    for (const run_record &run : evidence.workers.runs) {
        if (run.started >= since) {
            all += 1;
            atWorker += run.worker == worker ? 1 : 0;
        }
    }
    return all == 0 ? 0 : atWorker / all;
}

void expectAvoided(const std::string &fault)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(8, 120));
    fleet.awaitRuns(120);
    fleet.setFault("thika-1", fault);
    const auto since = steadyNow();
    const check_input evidence = fleet.evidence(load.finish());
    expectClean(fleet, evidence);
    const double share = shareSince(evidence, "thika-1", since + DetectionLimit);
    cr_assert_leq(share, FairShare / 3, "%s: the unhealthy worker still gets %.3f of the runs", fault.c_str(), share);
    expectUseful(evidence.calls, "lookup", 0.95);
}

} // namespace

Test(available, worker_fails_most_work_while_probes_pass)
{
    expectAvoided("fail=0.9\nhealth=ok");
}

Test(available, worker_is_far_slower_than_its_peers)
{
    expectAvoided("slow=30\nload=idle");
}

Test(available, worker_hangs)
{
    expectAvoided("hang=1\nhealth=ok\nload=idle");
}

// Half of the pool is unhealthy, each worker with a different fault; the healthy half has capacity for the whole load.
Test(available, half_of_the_workers_are_unhealthy_in_different_ways)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(8, 80));
    fleet.awaitRuns(80);
    fleet.setFault("kiambu-0", "hang=0.3");
    fleet.setFault("thika-0", "fail=0.5\nhealth=ok");
    fleet.setFault("ruiru-0", "reset=0.5");
    const auto detected = steadyNow() + DetectionLimit;
    check_input evidence = fleet.evidence(load.finish());
    expectClean(fleet, evidence);
    std::erase_if(evidence.calls, [&](const call_record &call) { return call.due < detected; });
    expectUseful(evidence.calls, "lookup", 0.95);
}

Test(available, worker_is_killed)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(5, 120));
    fleet.awaitRuns(120);
    fleet.worker("thika-1").process.kill();
    const check_input evidence = fleet.evidence(load.finish());
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.97);
    expectUseful(evidence.calls, "book", 0.95);
}

Test(available, flapping_worker_leaves_lookups_available)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(8, 120));
    fleet.awaitRuns(120);
    fleet.setFault("ruiru-0", "fail=1\nflap_ms=700");
    const check_input evidence = fleet.evidence(load.finish());
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.95);
}

Test(available, network_partition_with_callers_on_both_sides)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    std::string rules;
    for (std::size_t left = 0; left < 3; ++left) {
        for (std::size_t right = 3; right < 6; ++right) {
            for (const auto &[from, to] : {std::pair{left, right}, std::pair{right, left}}) {
                rules += (rules.empty() ? "" : ",");
                rules += R"({"from": ")" + fleet.node(from).ip + R"(", "to": ")" + fleet.node(to).ip + R"(", "cut": "hold"})";
            }
        }
    }
    load_job left = fleet.startLoad(mixedLoad(8, 40), {0, 1, 2}, 2);
    load_job right = fleet.startLoad(mixedLoad(8, 40), {3, 4, 5}, 3);
    fleet.awaitRuns(80);
    fleet.setPaths("[" + rules + "]");
    check_input evidence = fleet.evidence(left.finish());
    expectUseful(evidence.calls, "lookup", 0.8);
    const auto others = right.finish();
    expectUseful(others, "lookup", 0.8);
    evidence.calls.insert(evidence.calls.end(), others.begin(), others.end());
    expectClean(fleet, evidence);
    fleet.setPaths("[]");
    const check_input after = fleet.evidence(fleet.startLoad(mixedLoad(4, 80)).finish());
    expectUseful(after.calls, "lookup", 0.95);
}
