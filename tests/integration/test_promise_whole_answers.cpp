// Promise: every caller receives the complete answer to its own request and never the answer to another request.
//
// Mechanisms: every frame carries an attempt id, length and digest are checked at the end of an answer, answers of
// cancelled attempts are dropped, and idempotent requests are retried when their answer was truncated. Without the check
// of length and digest, the truncated answers in these tests reach callers as complete ones; without the retry most of
// these requests fail.
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

Test(whole_answers, truncated_and_reset_answers_are_retried)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.setFault("kiambu-0", "truncate=0.5");
    fleet.setFault("thika-1", "reset=0.5");
    check_input evidence = fleet.evidence(fleet.startLoad(mixedLoad(4, 100, {{"bytes", "60000"}})).finish());
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.97);
}

Test(whole_answers, late_answers_and_lossy_paths_give_no_wrong_answers)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    fleet.setFault("kiambu-1", "late_ms=2500");
    fleet.setPaths(R"([{"delay_ms": 4, "jitter_ms": 8, "loss": 0.02}])");
    check_input evidence = fleet.evidence(fleet.startLoad(mixedLoad(5, 100, {{"deadline_ms", "600"}})).finish());
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.8);
}
