// Tests of soak/fault_plan.h.
#include "fault_plan.h"

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

using namespace dandelionstall::soak;
using namespace std::chrono_literals;

Test(fault_plan, the_same_seed_gives_the_same_plan_and_text_reads_back)
{
    cr_assert(rc::check("round trip", [] {
        plan_options options;
        options.seed = *rc::gen::arbitrary<std::uint32_t>();
        options.nodes = *rc::gen::inRange<std::size_t>(2, 90);
        options.length = std::chrono::milliseconds(*rc::gen::inRange(1000, 60'000));
        const fault_plan plan = generatePlan(options);
        RC_ASSERT(formatPlan(plan) == formatPlan(generatePlan(options)));
        const auto read = parsePlan(formatPlan(plan));
        RC_ASSERT(read.ok());
        RC_ASSERT(formatPlan(*read) == formatPlan(plan));
    }));
}

Test(fault_plan, steps_are_sorted_end_within_the_length_and_name_two_nodes)
{
    cr_assert(rc::check("steps", [] {
        plan_options options;
        options.seed = *rc::gen::arbitrary<std::uint32_t>();
        const fault_plan plan = generatePlan(options);
        RC_ASSERT(!plan.steps.empty());
        std::chrono::milliseconds before{0};
        for (const fault_step &step : plan.steps) {
            RC_ASSERT(step.at >= before);
            RC_ASSERT(step.at + step.duration <= options.length);
            RC_ASSERT(step.target != step.peer && step.target < options.nodes && step.peer < options.nodes);
            before = step.at;
        }
    }));
}

Test(fault_plan, steps_can_be_removed)
{
    const fault_plan plan = generatePlan({});
    cr_assert_eq(withoutSteps(plan, 1, 2).steps.size(), plan.steps.size() - 2);
    cr_assert(formatStep(withoutSteps(plan, 0, 1).steps.front()) == formatStep(plan.steps[1]));
    cr_assert(withoutSteps(plan, 0, 1000).steps.empty());
}

Test(fault_plan, malformed_text_is_refused_with_its_line)
{
    const std::string head = "plan seed=1 nodes=6 length_ms=1000\n";
    const std::string good = "kind=node_kill at_ms=1 lasts_ms=2 target=0 peer=1 strength=0.5\n";
    cr_assert(parsePlan(head + good).ok());
    for (const std::string &bad : {std::string(),
                                   good,
                                   head + "kind=nothing at_ms=1 lasts_ms=2 target=0 peer=1 strength=0.5\n",
                                   head + "kind=node_kill at_ms=-1 lasts_ms=2 target=0 peer=1 strength=0.5\n",
                                   head + "kind=node_kill at_ms=1 lasts_ms=2 target=6 peer=1 strength=0.5\n"}) {
        cr_assert_not(parsePlan(bad).ok(), "%s", bad.c_str());
    }
    cr_assert(parsePlan(head + "kind=nothing\n").status().message().find("line 2") != std::string::npos);
}
