// Tests of coordination/repeats/local_runs.h and coordination/repeats/repeats.h.
#include <dandelionstall/coordination/repeats/local_runs.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point Start{1h};

local_run makeRun(std::uint64_t sequence, const std::string &worker, const std::string &request, repeat_kind repeat)
{
    return {{1, sequence}, worker, request, repeat, Start + 1s};
}

} // namespace

Test(repeats, kind_follows_from_arrivals_and_run_state)
{
    cr_assert(repeatKindOf(0, run_state::not_run, false) == repeat_kind::none);
    cr_assert(repeatKindOf(0, run_state::not_run, true) == repeat_kind::call);
    cr_assert(repeatKindOf(1, run_state::not_run, true) == repeat_kind::retry);
    cr_assert(repeatKindOf(1, run_state::unknown, false) == repeat_kind::rerun);
    cr_assert(repeatKindOf(2, run_state::ran, false) == repeat_kind::rerun);
    for (const repeat_kind kind : {repeat_kind::none, repeat_kind::retry, repeat_kind::rerun, repeat_kind::call}) {
        cr_assert(parseRepeatKind(repeatName(kind)) == kind);
    }
    cr_assert(parseRepeatKind("") == repeat_kind::none);
}

Test(local_runs, calls_are_attributed_to_the_run_that_their_id_names)
{
    local_runs runs;
    runs.recordStart(makeRun(1, "w", "9c41", repeat_kind::none));
    runs.recordStart(makeRun(2, "w", "77aa", repeat_kind::rerun));
    cr_assert(not(runs.isCallOfRepeat("9c41.1", Start + 500ms, Start)));
    cr_assert(runs.isCallOfRepeat("77aa.1", Start + 500ms, Start));
    cr_assert(not(runs.isCallOfRepeat("77aab", Start + 500ms, Start)), "another id with the same beginning, of a caller");
}

// While a worker names the parents of its calls, requests of other callers are not counted as its calls.
Test(local_runs, other_requests_are_no_calls_of_a_worker_that_names_parents)
{
    local_runs runs;
    runs.recordStart(makeRun(1, "w", "9c41", repeat_kind::rerun));
    cr_assert(runs.isCallOfRepeat("0b17", Start + 500ms, Start), "not known yet");
    cr_assert(runs.isCallOfRepeat("9c41/1", Start + 500ms, Start));
    cr_assert(not(runs.isCallOfRepeat("0b17", Start + 500ms, Start)));
    runs.recordStart(makeRun(2, "other", "55ee", repeat_kind::call));
    cr_assert(runs.isCallOfRepeat("0b17", Start + 500ms, Start), "a call of the other worker");
}

Test(local_runs, without_parent_ids_any_request_that_a_repeated_run_may_make_is_counted)
{
    local_runs runs;
    cr_assert(not(runs.isCallOfRepeat("", Start + 500ms, Start)));
    runs.recordStart(makeRun(1, "w", "", repeat_kind::none));
    cr_assert(not(runs.isCallOfRepeat("", Start + 500ms, Start)));
    runs.recordStart(makeRun(2, "w", "", repeat_kind::retry));
    cr_assert(runs.isCallOfRepeat("", Start + 500ms, Start));
    cr_assert(not(runs.isCallOfRepeat("", Start + 2s, Start)), "a call does not outlive its parent");
    runs.recordEnd({1, 2});
    cr_assert(not(runs.isCallOfRepeat("", Start + 500ms, Start)));
}

// A worker that is no longer waited for goes on with the run and may make calls until the deadline of the run.
Test(local_runs, an_abandoned_repeat_counts_until_its_deadline)
{
    local_runs runs;
    runs.recordStart(makeRun(1, "w", "9c41", repeat_kind::rerun));
    runs.recordAbandoned({1, 1});
    cr_assert(runs.isCallOfRepeat("9c41.1", Start + 900ms, Start + 800ms));
    cr_assert(not(runs.isCallOfRepeat("9c41.2", Start + 5s, Start + 2s)));
}

// Guards against calls that are ordered by the priority of another organisation than that of the request which makes them.
Test(local_runs, a_call_belongs_to_the_organisation_of_the_run_that_it_names)
{
    local_runs runs;
    local_run run = makeRun(1, "w", "9c41", repeat_kind::none);
    run.organisation = "tagdesk";
    runs.recordStart(run);
    run = makeRun(2, "w", "9c41.7", repeat_kind::none);
    run.organisation = "ferry";
    runs.recordStart(run);
    runs.recordStart(makeRun(3, "w", "77aa", repeat_kind::none));
    cr_assert(runs.organisationOfParent("9c41.1") == "tagdesk");
    cr_assert(runs.organisationOfParent("9c41.7.1") == "ferry");
    for (const char *unknown : {"", "9c41", "9c411", "77aa.1", "0b17.1"}) {
        cr_assert(runs.organisationOfParent(unknown).empty(), "%s", unknown);
    }
    runs.recordEnd({1, 1});
    cr_assert(runs.organisationOfParent("9c41.1").empty());
}
