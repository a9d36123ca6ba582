// Tests of coordination/limits/told_signals.h.
#include <dandelionstall/coordination/limits/told_signals.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const state::time_point Start{std::chrono::hours(1)};
const worker_identity First{"w1", "orders", 100};

worker_report reportOf(state::incarnation incarnation, std::uint64_t version, limit_knowledge limit, double rate = 0.0)
{
    worker_report report;
    report.worker = "w1";
    report.pool = "orders";
    report.incarnation = incarnation;
    report.version = version;
    report.limit = limit;
    report.rateLimit = rate;
    report.lifetime = limit == limit_knowledge::limited ? 100 : 0;
    return report;
}

state::pool_table tableWith(std::uint64_t lifetime)
{
    state::pool pool;
    pool.name = "orders";
    state::pool_worker row;
    row.id = "w1";
    row.startedAtMs = lifetime;
    pool.workers.push_back(row);
    state::pool_table table;
    table.pools.push_back(pool);
    return table;
}

} // namespace

Test(told_signals, an_answer_binds_the_node_that_passes_it_on)
{
    told_signals told;
    const told_events events = told.recordAnswer(First, 2.0, false, Start);
    cr_assert(events.size() == 1 && events.front().change == told_change::limit && events.front().rate == 2.0);
    cr_assert(not told.mayUse("w1", Start));
    cr_assert(told.mayUse("w2", Start));
    const state::time_point later = Start + milliseconds(500);
    cr_assert(told.roomAt("w1", Start) == later && told.mayUse("w1", later));
    told.recordSent("w1", later);
    cr_assert(not told.mayUse("w1", later));
    told.recordRefused("w1");
    cr_assert(told.mayUse("w1", later));
    cr_assert(told.limitOf("w1")->rate == 2.0 && told.limitOf("w1")->lifetime == 100);
    cr_assert(told.recordAnswer(First, 2.0, false, later).empty());
}

Test(told_signals, a_sidecar_that_knows_nothing_ends_no_limit)
{
    told_signals told;
    told.recordReport(reportOf(7, 3, limit_knowledge::limited, 1.0), Start);
    told.recordReport(reportOf(8, 1, limit_knowledge::unknown), Start);
    cr_assert(told.limitOf("w1").has_value());
    told.recordReport(reportOf(7, 4, limit_knowledge::none), Start); // older than the report of the sidecar that was started later
    cr_assert(told.limitOf("w1").has_value());
    const told_events events = told.recordReport(reportOf(8, 2, limit_knowledge::none), Start);
    cr_assert(events.size() == 1 && events.front().change == told_change::limit_ended);
    cr_assert(not told.limitOf("w1") && told.mayUse("w1", Start));
}

Test(told_signals, a_late_report_does_not_bring_an_ended_limit_back)
{
    told_signals told;
    told.recordReport(reportOf(7, 3, limit_knowledge::limited, 1.0), Start);
    told.recordReport(reportOf(7, 9, limit_knowledge::none), Start);
    cr_assert(told.recordReport(reportOf(7, 5, limit_knowledge::limited, 1.0), Start).empty());
    cr_assert(told.mayUse("w1", Start));
}

Test(told_signals, does_not_end_by_time)
{
    told_signals told;
    told.recordAnswer(First, 0.5, true, Start);
    const state::pool_table table = tableWith(100);
    for (int minutes = 0; minutes < 120; ++minutes) {
        told.applyTable(table, Start + std::chrono::minutes(minutes));
    }
    cr_assert(told.limitOf("w1").has_value() && told.isLeaving("w1", Start + std::chrono::hours(3)));
}

Test(told_signals, limit_and_leaving_end_with_the_lifetime)
{
    told_signals told;
    told.recordAnswer(First, 0.5, true, Start);
    cr_assert(not told.mayUse("w1", Start + seconds(100)));
    const told_events events = told.applyTable(tableWith(200), Start + seconds(100));
    cr_assert(events.size() == 2 && events[0].change == told_change::limit_ended && events[1].change == told_change::leaving_ended);
    cr_assert(told.mayUse("w1", Start + seconds(100)) && not told.limitOf("w1"));
    // What was said in the earlier lifetime no longer counts, however late it arrives.
    cr_assert(told.recordAnswer(First, 0.5, true, Start + seconds(101)).empty());
    cr_assert(told.recordReport(reportOf(7, 3, limit_knowledge::limited, 1.0), Start + seconds(101)).empty());
    cr_assert(told.mayUse("w1", Start + seconds(101)));
}

Test(told_signals, an_entry_that_is_away_for_a_while_ends_nothing)
{
    told_signals told;
    told.recordAnswer(First, std::nullopt, true, Start);
    told.applyTable({}, Start + std::chrono::minutes(9));
    told.applyTable(tableWith(100), Start + std::chrono::minutes(9));
    cr_assert(told.isLeaving("w1", Start + std::chrono::hours(3)));
    told.applyTable({}, Start + std::chrono::minutes(20));
    cr_assert(told.size() == 0);
}

Test(told_signals, workers_without_statements_are_not_remembered)
{
    told_signals told;
    told.recordAnswer(First, std::nullopt, false, Start);
    told.recordReport(reportOf(7, 3, limit_knowledge::none), Start);
    told.recordReport(reportOf(7, 4, limit_knowledge::unknown), Start);
    cr_assert(told.size() == 0);
}

Test(told_signals, the_room_that_a_report_names_is_kept)
{
    told_signals told;
    worker_report report = reportOf(7, 3, limit_knowledge::limited, 10.0);
    report.roomAfter = milliseconds(700);
    told.recordReport(report, Start);
    cr_assert(not told.mayUse("w1", Start + milliseconds(600)));
    cr_assert(told.mayUse("w1", Start + milliseconds(700)));
    cr_assert(told.promiseRoom("w1", Start) == Start + milliseconds(700));
}

Test(told_signals, a_leaving_worker_without_an_announced_lifetime_is_tried_again)
{
    told_signals told;
    told.recordAnswer({"w1", "orders", 0}, std::nullopt, true, Start);
    cr_assert(not told.mayUse("w1", Start + UnnamedLifetime - milliseconds(1)));
    cr_assert(told.mayUse("w1", Start + UnnamedLifetime));
    const told_events events = told.recordAnswer({"w1", "orders", 0}, std::nullopt, true, Start + UnnamedLifetime);
    cr_assert(events.size() == 1 && events.front().change == told_change::leaving);
    cr_assert(not told.mayUse("w1", Start + UnnamedLifetime));
}
