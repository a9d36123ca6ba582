// Promise: every caller receives the whole answer to its own request and never anyone else's.
//
// Mechanisms: an attempt id on every frame, length and digest checked at the end of an answer, answers of cancelled
// attempts dropped; idempotent work is tried again when its answer was cut. Without the check of length and digest the
// truncated answers below reach callers as whole; without the retry most of them are lost.
#include "expect.h"

#include <criterion/criterion.h>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

Test(whole_answers, healthy_fleet_answers_everything)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    check_input evidence = fleet.evidence(fleet.startLoad(mixedLoad(3, 100)).finish());
    evidence.cutsAllowed = false;
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.99);
    expectUseful(evidence.calls, "book", 0.99);
}

Test(whole_answers, truncating_and_resetting_workers)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.setFault("kiambu-0", "truncate=0.5");
    fleet.setFault("thika-1", "reset=0.5");
    check_input evidence = fleet.evidence(fleet.startLoad(mixedLoad(4, 100, {{"bytes", "60000"}})).finish());
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.97);
}

Test(whole_answers, late_answers_of_workers_and_paths)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.setFault("kiambu-1", "late_ms=2500");
    fleet.setPaths(R"([{"delay_ms": 4, "jitter_ms": 8, "loss": 0.02}])");
    check_input evidence = fleet.evidence(fleet.startLoad(mixedLoad(5, 100, {{"deadline_ms", "600"}})).finish());
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.8);
}
