// Tests of "dandelionctl trace": order of lines, state changes, messages and exit codes.
#include <boost/json/parse.hpp>
#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <string>

#include "tool_run.h" // included after Boost, since macros of Criterion would change names in Boost headers

using namespace dandelionctl::testing;

namespace {

tool_result runTrace(const std::string &arguments)
{
    return runTool("trace " + arguments);
}

std::string line(const std::string &seconds, const std::string &node, const std::string &rest)
{
    return "2026-12-03T10:00:" + seconds + "Z INFO node=" + node + " " + rest + "\n";
}

// The log of the ingress, whose first line has the prefix of a log collector, and the log of the worker's node.
const std::string IngressLog = "   5.1 thika-1| "
                               + line("05.100", "thika-1", "event=2010 name=attempt_placed request=r7 attempt=a-1 worker=w1 node=10.0.0.2:7400")
                               + line("04.000", "thika-1", "event=4027 name=worker_judged worker=w2 state=ejected")
                               + line("04.500", "thika-1", "event=4021 name=member_suspected member=10.0.0.2:7400")
                               + line("05.300", "thika-1", "event=2002 name=request_refused request=r7 reason=worker_shed route=\"a \\\"b\\\" request=r8\"")
                               + line("05.301", "thika-1", "event=2001 name=request_answered request=r77 status=200") + "no event at all request=r7\n";
const std::string SidecarLog = line("05.200", "ruiru-2", "event=3010 name=attempt_refused request=r7 attempt=a-1 worker=w1 reason=worker_shed")
                               + line("01.000", "ruiru-2", "event=3013 name=worker_doubtful worker=w1 doubtful=yes")
                               + line("40.000", "ruiru-2", "event=3013 name=worker_doubtful worker=w1 doubtful=no");

std::size_t positionOf(const tool_result &result, std::string_view text)
{
    const std::size_t at = result.text.find(text);
    cr_assert(at != std::string::npos, "missing \"%s\" in\n%s", std::string(text).c_str(), result.text.c_str());
    return at;
}

} // namespace

Test(trace, prints_lines_of_several_nodes_in_order_with_relevant_state_changes)
{
    const scratch_file ingress(IngressLog);
    const scratch_file sidecar(SidecarLog);
    const tool_result result = runTrace("r7 " + ingress.path() + " " + sidecar.path());
    cr_assert_eq(result.exitCode, 0);
    cr_assert(positionOf(result, "3 lines of 2 nodes") < positionOf(result, "+0.000 thika-1"));
    cr_assert(positionOf(result, "attempt_placed") < positionOf(result, "+0.100 ruiru-2"));
    cr_assert(positionOf(result, "attempt_refused") < positionOf(result, "request_refused"));
    cr_assert(positionOf(result, "last line: request_refused: a caller was refused; the fields name the reason") < positionOf(result, "-4.100 ruiru-2"));
    cr_assert(positionOf(result, "doubtful=yes") < positionOf(result, "member_suspected"));
    for (const char *irrelevant : {"w2", "r77", "doubtful=no", "no event"}) {
        cr_assert(result.text.find(irrelevant) == std::string::npos, "%s in\n%s", irrelevant, result.text.c_str());
    }
}

Test(trace, reads_standard_input_and_prints_json)
{
    const scratch_file ingress(IngressLog);
    const tool_result result = runTrace("r7 --json < " + ingress.path());
    cr_assert_eq(result.exitCode, 0);
    const boost::json::value body = boost::json::parse(result.text);
    cr_assert_eq(body.at("request").as_array().size(), 2U);
    const boost::json::value &last = body.at("request").as_array().back();
    cr_assert(last.at("fields").at("route").as_string() == "a \"b\" request=r8");
    cr_assert(body.at("beliefs").as_array().empty());
}

Test(trace, reports_unknown_requests_unreadable_files_and_missing_arguments)
{
    const scratch_file ingress(IngressLog);
    const tool_result unknown = runTrace("r6 " + ingress.path());
    cr_assert_eq(unknown.exitCode, 1);
    positionOf(unknown, "no log line found for request r6");
    const tool_result unreadable = runTrace("r7 /nowhere.log");
    cr_assert_eq(unreadable.exitCode, 3);
    positionOf(unreadable, "/nowhere.log: cannot be read");
    cr_assert_eq(runTrace("").exitCode, 2);
}

Test(trace, limits_the_number_of_lines)
{
    std::string text;
    for (int i = 0; i < 5000; ++i) {
        text += line("05.100", "thika-1", "event=2010 name=attempt_placed request=r7 attempt=a-" + std::to_string(i));
    }
    const scratch_file many(text);
    const tool_result result = runTrace("r7 " + many.path());
    cr_assert_eq(result.exitCode, 0);
    positionOf(result, "request r7: 2000 lines");
    positionOf(result, "only the first 2000 lines of each kind");
}
