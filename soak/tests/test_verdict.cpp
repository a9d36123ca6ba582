// Tests of soak/verdict.h: each broken promise is found, and allowed outcomes are not reported.
#include "report.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall;
using namespace dandelionstall::soak;
using namespace std::chrono_literals;

namespace {

standins::call_record makeCall(const std::string &node, std::uint32_t status, const std::string &reason)
{
    standins::call_record call;
    call.id = "r1";
    call.requestClass = "lookup";
    call.node = node;
    call.due = 10s;
    call.sent = 10s;
    call.answered = 10s + 50ms;
    call.deadline = 2s;
    call.status = status;
    call.reason = reason;
    call.body = status == 200 ? "own" : "";
    return call;
}

soak_evidence makeEvidence(const standins::call_record &call)
{
    soak_evidence evidence;
    evidence.callers = {"a", "b"};
    evidence.observed.calls = {call};
    return evidence;
}

bool breaks(const soak_evidence &evidence, const std::string &rule)
{
    const auto found = findBrokenPromises(evidence);
    return found.size() == 1 && found.front().rule == rule;
}

} // namespace

Test(verdict, request_aborted_by_a_graceful_stop_is_found)
{
    soak_evidence evidence = makeEvidence(makeCall("b", 0, "closed"));
    cr_assert(findBrokenPromises(evidence).empty(), "an aborted request is allowed when no node stopped");
    evidence.injected.stops = {{1, 9s, 0us}};
    cr_assert(breaks(evidence, "stop_cut"));
    evidence.injected.stops = {{0, 9s, 12s}};
    cr_assert(findBrokenPromises(evidence).empty(), "another node stopped");
    evidence.injected.stops = {{1, 9s, 12s}};
    evidence.injected.disturbances = {{1, 10s + 20ms, 11s}};
    cr_assert(findBrokenPromises(evidence).empty(), "the node was killed during the request");
    evidence.injected.disturbances.clear();
    evidence.observed.calls.front().reason = "timeout";
    cr_assert(findBrokenPromises(evidence).empty(), "the caller timed out");
}

Test(verdict, unexpected_exits_and_older_tables_are_found)
{
    soak_evidence evidence = makeEvidence(makeCall("a", 200, ""));
    cr_assert(findBrokenPromises(evidence).empty());
    evidence.injected.unexpectedExits = {"node-1 ended with code 134"};
    cr_assert(breaks(evidence, "died"));
    evidence.injected.unexpectedExits.clear();
    evidence.tables = {"table_back node-1 no longer serves revision 4, which it had served"};
    cr_assert(breaks(evidence, "table_back"));
}

Test(verdict, missing_recovery_is_found)
{
    soak_evidence evidence = makeEvidence(makeCall("a", 200, ""));
    evidence.callsAfterRecovery.assign(20, makeCall("a", 200, ""));
    cr_assert(findBrokenPromises(evidence).empty());
    for (std::size_t i = 0; i < evidence.callsAfterRecovery.size(); ++i) {
        evidence.callsAfterRecovery[i].id = std::to_string(i);
        evidence.callsAfterRecovery[i].status = i < 2 ? 503 : 200;
    }
    cr_assert(breaks(evidence, "recovery"));
}

Test(verdict, served_shares_and_plot_follow_the_seconds)
{
    std::vector<standins::call_record> calls{makeCall("a", 200, ""), makeCall("a", 503, "low_worth"), makeCall("a", 200, "")};
    calls[1].run = "not_run";
    calls[2].due = 12s;
    calls[2].answered = 12s + 50ms;
    const auto served = servedBySecond(calls, 10s);
    cr_assert_eq(served.size(), 3U);
    cr_assert(served[0].requests == 2 && served[0].useful == 1 && served[0].refused == 1);
    cr_assert(served[1].requests == 0 && served[2].useful == 1);
    soak_result result;
    result.plan = generatePlan({});
    result.served = served;
    const std::string plot = drawServed(result);
    cr_assert(plot.starts_with("<svg") && plot.find("polyline") != std::string::npos && plot.find("<rect") != std::string::npos);
    cr_assert(formatResult(result).find("3 requests, 0.667 useful") != std::string::npos);
}
