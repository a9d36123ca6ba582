// The checker must find each kind of violation in logs that contain it, and none in clean logs.
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

Test(check, passes_clean_logs)
{
    check_input input;
    input.cutsAllowed = false;
    input.calls = {makeCall("a", 0, 50), makeRefusal("b", 10, 20)};
    input.workers.runs = {makeRun("a", 5)};
    cr_assert(findViolations(input).empty());
}

Test(check, finds_foreign_and_short_answers)
{
    check_input input;
    input.calls = {makeCall("a", 0, 50), makeCall("b", 0, 50), makeCall("c", 0, 50)};
    input.calls[0].body = "foreign";
    input.calls[1].body = "short";
    cr_assert_eq(countOf(input, "whole_and_own"), 2);
}

Test(check, finds_a_second_run_of_non_idempotent_work_only)
{
    check_input input;
    input.calls = {makeCall("a", 0, 50), makeCall("b", 0, 50)};
    input.calls[1].idempotent = true;
    input.workers.runs = {makeRun("a", 5), makeRun("a", 30, "w2"), makeRun("b", 5), makeRun("b", 30)};
    cr_assert_eq(countOf(input, "at_most_once"), 1);
}

Test(check, finds_a_second_run_behind_a_retry_of_the_caller)
{
    check_input input;
    input.calls = {makeCall("a", 0, 50), makeCall("a", 60, 90)};
    input.calls[0].status = 0;
    input.workers.runs = {makeRun("a", 5), makeRun("a", 70)};
    cr_assert_eq(countOf(input, "at_most_once"), 1);
}

Test(check, finds_a_run_of_work_told_not_run)
{
    check_input input;
    input.calls = {makeRefusal("a", 0, 50)};
    input.workers.runs = {makeRun("a", 5)};
    cr_assert_eq(countOf(input, "not_run"), 1);
    input.workers.runs = {makeRun("a", 5000)}; // a frame that came late
    cr_assert_eq(countOf(input, "not_run"), 1);
}

Test(check, accepts_a_run_after_the_caller_sent_it_again)
{
    check_input input;
    input.calls = {makeRefusal("a", 0, 50), makeCall("a", 100, 150)};
    input.workers.runs = {makeRun("a", 110)};
    cr_assert(findViolations(input).empty());
    input.workers.runs = {makeRun("a", 90)};
    cr_assert_eq(countOf(input, "not_run"), 1);
}

Test(check, finds_new_work_at_a_leaving_worker)
{
    check_input input;
    const std::int64_t limit = microseconds(LeavingLimit).count();
    input.workers.leaving = {{"w1", microseconds(1000)}};
    input.workers.runs = {makeRun("a", 1000 + limit), makeRun("b", 1001 + limit), makeRun("c", 2 * limit, "w2")};
    cr_assert_eq(countOf(input, "leaving"), 1);
}

Test(check, finds_cut_requests_only_when_asked)
{
    check_input input;
    input.calls = {makeCall("a", 0, 50)};
    input.calls[0].status = 0;
    cr_assert(findViolations(input).empty());
    input.cutsAllowed = false;
    cr_assert_eq(countOf(input, "no_cut"), 1);
}

Test(check, reads_the_log_of_a_worker)
{
    run_log log;
    parseRunLog("port=1234\nstart a no 10\nend a answered 20\ndraining w1 yes 30\nstart b yes 4", "w1", log);
    cr_assert_eq(log.runs.size(), 1); // the last line is cut short
    cr_assert_eq(log.runs[0].started.count(), 10);
    cr_assert_eq(log.leaving.size(), 1);
    cr_assert_any_throw(parseRunLog("nonsense\nstart a no 1\n", "w1", log));
}

Test(check, call_records_survive_their_text_form)
{
    const call_record call = makeRefusal("a\"b", 7, 9);
    const call_record parsed = parseCall(formatCall(call));
    cr_assert_eq(parsed.id, call.id);
    cr_assert_eq(parsed.run, call.run);
    cr_assert(parsed.answered == call.answered);
    cr_assert_any_throw(parseCall("{\"id\": 3"));
}
