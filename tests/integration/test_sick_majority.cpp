// Availability while four of six workers are unhealthy, each with a different fault, from the start of the load.
//
// Mechanisms: retries after failures, and ejection down to the pool's floor of one half. The two healthy workers have
// enough capacity for the load; because of the floor at least one unhealthy worker stays in use.
#include "expect.h"

#include <criterion/criterion.h>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

Test(sick_majority, idempotent_requests_are_answered)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    load_job load = fleet.startLoad(phase(6, 80) + lookups() + bookings({{"share", "0.8"}, {"cost_ms", "60"}}));
    fleet.setFault("kiambu-0", "hang=0.3");
    fleet.setFault("thika-0", "fail=0.5\nhealth=ok");
    fleet.setFault("ruiru-0", "reset=0.5");
    fleet.setFault("ruiru-1", "shed=0.7");
    const check_input evidence = fleet.evidence(load.finish());
    expectStarted(evidence, 200);
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.9);
}
