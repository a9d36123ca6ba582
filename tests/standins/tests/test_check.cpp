// The checker must report each kind of violation in logs that contain it, and none in valid logs.
#include "check.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace dandelionstall::standins;
using std::chrono::microseconds;

namespace {

call_record makeCall(const std::string &id, std::int64_t sent, std::int64_t answered)
{
    call_record call;
    call.id = id;
    call.idempotent = false;
    call.due = call.sent = microseconds(sent);
    call.answered = microseconds(answered);
    call.deadline = std::chrono::seconds(1);
    call.status = 200;
    call.body = "own";
    return call;
}

call_record makeRefusal(const std::string &id, std::int64_t sent, std::int64_t answered)
{
    call_record call = makeCall(id, sent, answered);
    call.status = 503;
    call.body.clear();
    call.reason = "queue_full";
    call.run = "not_run";
    return call;
}

run_record makeRun(const std::string &id, std::int64_t started, const std::string &worker = "w1")
{
    return {id, worker, microseconds(started)};
}

std::size_t countOf(const check_input &input, const std::string &rule)
{
    const auto found = findViolations(input);
    return std::count_if(found.begin(), found.end(), [&](const violation &each) { return each.rule == rule; });
}

} // namespace

Test(check, accepts_valid_logs)
{
    check_input input;
    input.cutsAllowed = false;
    input.calls = {makeCall("a", 0, 50), makeRefusal("b", 10, 20)};
    input.workers.runs = {makeRun("a", 5)};
    cr_assert(findViolations(input).empty());
}

Test(check, reports_foreign_and_truncated_answers)
{
    check_input input;
    input.calls = {makeCall("a", 0, 50), makeCall("b", 0, 50), makeCall("c", 0, 50)};
    input.calls[0].body = "foreign";
    input.calls[1].body = "short";
    cr_assert_eq(countOf(input, "whole_and_own"), 2);
}

Test(check, reports_a_second_run_of_non_idempotent_requests_only)
{
    check_input input;
    input.calls = {makeCall("a", 0, 50), makeCall("b", 0, 50)};
    input.calls[1].idempotent = true;
    input.workers.runs = {makeRun("a", 5), makeRun("a", 30, "w2"), makeRun("b", 5), makeRun("b", 30)};
    cr_assert_eq(countOf(input, "at_most_once"), 1);
}

Test(check, reports_a_second_run_after_a_caller_retry)
{
    check_input input;
    input.calls = {makeCall("a", 0, 50), makeCall("a", 60, 90)};
    input.calls[0].status = 0;
    input.workers.runs = {makeRun("a", 5), makeRun("a", 70)};
    cr_assert_eq(countOf(input, "at_most_once"), 1);
}

Test(check, reports_a_run_of_a_request_answered_as_not_run)
{
    check_input input;
    input.calls = {makeRefusal("a", 0, 50)};
    input.workers.runs = {makeRun("a", 5)};
    cr_assert_eq(countOf(input, "not_run"), 1);
    input.workers.runs = {makeRun("a", 5000)}; // a run started by a delayed frame
    cr_assert_eq(countOf(input, "not_run"), 1);
}

Test(check, accepts_a_run_after_a_caller_retry)
{
    check_input input;
    input.calls = {makeRefusal("a", 0, 50), makeCall("a", 100, 150)};
    input.workers.runs = {makeRun("a", 110)};
    cr_assert(findViolations(input).empty());
    input.workers.runs = {makeRun("a", 90)};
    cr_assert_eq(countOf(input, "not_run"), 1);
}

Test(check, reports_runs_started_at_a_draining_worker)
{
    check_input input;
    const std::int64_t limit = microseconds(LeavingLimit).count();
    input.workers.leaving = {{"w1", microseconds(1000)}};
    input.workers.runs = {makeRun("a", 1000 + limit), makeRun("b", 1001 + limit), makeRun("c", 2 * limit, "w2")};
    cr_assert_eq(countOf(input, "leaving"), 1);
}

Test(check, reports_unanswered_requests_only_when_cuts_are_not_allowed)
{
    check_input input;
    input.calls = {makeCall("a", 0, 50)};
    input.calls[0].status = 0;
    cr_assert(findViolations(input).empty());
    input.cutsAllowed = false;
    cr_assert_eq(countOf(input, "no_cut"), 1);
}

Test(check, parses_a_worker_log_with_an_incomplete_last_line)
{
    run_log log;
    parseRunLog("port=1234\nstart a no 10\nend a answered 20\ndraining w1 yes 30\nstart b yes 4", "w1", log);
    cr_assert_eq(log.runs.size(), 1); // the last line is incomplete and ignored
    cr_assert_eq(log.runs[0].started.count(), 10);
    cr_assert_eq(log.leaving.size(), 1);
    cr_assert_any_throw(parseRunLog("nonsense\nstart a no 1\n", "w1", log));
}

Test(check, call_records_round_trip_through_json)
{
    const call_record call = makeRefusal("a\"b", 7, 9);
    const call_record parsed = parseCall(formatCall(call));
    cr_assert_eq(parsed.id, call.id);
    cr_assert_eq(parsed.run, call.run);
    cr_assert(parsed.answered == call.answered);
    cr_assert_any_throw(parseCall("{\"id\": 3"));
}
