// Tests the test tools themselves: stand-in worker, load tool and checker work together without any node. If the checker
// missed violations or reported false ones, the results of the other integration tests would mean nothing.
#include "fleet.h"
#include "load_run.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

constexpr std::string_view DirectLoad = "[phase.all]\nseconds=1\nrate=200\n"
                                        "[class.book]\nmethod=POST\nidempotent=no\ncost_ms=5\ndeadline_ms=500\n";

struct direct_worker {
    temporary_directory directory;
    child_process process;
    std::string address;

    direct_worker()
        : process(programPath("standin_worker"), {"--slots", "20", "--name", "w"}, directory.path("w.log"))
        , address("127.0.0.1:" + awaitPort(process))
    { }

    check_input run(const std::string &extra) const
    {
        const std::string profile = directory.write("load.ini", fmt::format("[load]\nnodes={}\n{}{}", address, DirectLoad, extra));
        check_input input;
        input.cutsAllowed = false;
        input.calls = runLoad(readLoadProfile(profile));
        parseRunLog(process.output(), "w", input.workers);
        return input;
    }
};

std::size_t countOf(const check_input &input, const std::string &rule)
{
    const auto found = findViolations(input);
    return static_cast<std::size_t>(std::count_if(found.begin(), found.end(), [&](const violation &each) { return each.rule == rule; }));
}

} // namespace

Test(bench_itself, healthy_worker_gives_no_violations)
{
    const direct_worker worker;
    const check_input input = worker.run("");
    cr_assert_gt(input.calls.size(), 100);
    cr_assert_eq(input.calls.size(), input.workers.runs.size());
    cr_assert(findViolations(input).empty(), "%s", describeViolations(findViolations(input)).c_str());
}

Test(bench_itself, resets_and_duplicate_runs_by_caller_retries_are_found)
{
    const direct_worker worker;
    command(worker.address, "/_fault", "reset=0.2");
    const check_input input = worker.run("retries=2\n");
    cr_assert_gt(countOf(input, "no_cut"), 5);
    cr_assert_gt(countOf(input, "at_most_once"), 5);
}

Test(bench_itself, truncated_answers_count_as_aborted)
{
    const direct_worker worker;
    command(worker.address, "/_fault", "truncate=0.2");
    const check_input input = worker.run("");
    cr_assert_gt(countOf(input, "no_cut"), 5);
    cr_assert_eq(countOf(input, "whole_and_own"), 0);
}
