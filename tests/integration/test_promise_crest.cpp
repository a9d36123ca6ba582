// Promises at peak load: every request is answered or refused with a reason and a Retry-After time, requests of high worth
// are served first, and refused requests were not run.
//
// Mechanism: the admission policy "worth_density" at the sidecar. With the baseline "fifo" the queue fills in order of
// arrival, and the share of useful bookings falls to that of lookups.
#include "expect.h"

#include <criterion/criterion.h>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

// 18 slots and 50 ms per request give a capacity of 360 requests per second; the load rises to three times that in one step.
constexpr double BaseRate = 200;
constexpr double PeakRate = 1080;

std::string peakLoadProfile(const class_settings &changes)
{
    return phase(2, BaseRate, "quiet") + phase(3, PeakRate, "crest") + phase(2, BaseRate, "after") + lookups(changes) + bookings(changes);
}

} // namespace

Test(peak_load, refusals_carry_reasons_and_high_worth_is_served_first)
{
    fleet fleet(threeDataCentres());
    fleet.start();
    check_input evidence = fleet.evidence(fleet.startLoad(peakLoadProfile({{"cost_ms", "50"}, {"deadline_ms", "1000"}})).finish());
    evidence.cutsAllowed = false;
    expectClean(fleet, evidence);
    const load_report report = summarize(evidence.calls);
    const auto shareOf = [&](const std::string &name) {
        const class_report &each = report.classes.at(name);
        return static_cast<double>(each.useful) / static_cast<double>(each.requests);
    };
    cr_assert_gt(shareOf("book"), shareOf("lookup") + 0.1, "%s", formatReport(report).c_str());
    for (const call_record &call : evidence.calls) {
        const bool fromWorker = !call.worker.empty(); // answers of workers are passed on unchanged
        cr_assert(fromWorker || call.status != 503 || call.retryAfter, "%s was refused without Retry-After: %s", call.id.c_str(), call.reason.c_str());
        cr_assert(fromWorker || !call.reason.empty(), "%s was refused without a reason, status %u", call.id.c_str(), call.status);
    }
}

Test(peak_load, long_requests_do_not_block_short_ones)
{
    fleet_plan plan = threeDataCentres();
    plan.routes.push_back({"manual", "/manual", "orders", true, 1.0, {{"timeout", "10s"}, {"cost_hint", "2s"}}});
    fleet fleet(plan);
    fleet.start();
    const std::string longClass
        = classText("manual", {{"share", "0.02"}, {"path", "/manual"}, {"cost_ms", "2000"}, {"deadline_ms", "9000"}, {"idempotent", "yes"}});
    check_input evidence = fleet.evidence(fleet.startLoad(mixedLoad(7, 120, {{"deadline_ms", "1000"}}) + longClass).finish());
    evidence.cutsAllowed = false;
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.97);
    expectUseful(evidence.calls, "book", 0.97);
}
