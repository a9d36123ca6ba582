// Tests of coordination/admission/cost.h.
#include <dandelionstall/coordination/admission/cost.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point Start{1h};

void learn(cost_model &model, cost_key key, std::chrono::microseconds cost, bool answered = true)
{
    model.learn({key, Start, Start + cost, answered});
}

} // namespace

Test(cost, uses_the_hint_until_the_first_run)
{
    cost_model model({});
    const auto key = costKey("a", 0);
    cr_assert(model.estimate(key, 70ms) == 70ms);
    learn(model, key, 20ms);
    cr_assert(model.estimate(key, 70ms) == 20ms);
    cr_assert(model.estimate(costKey("b", 0), 0us) == 20ms);
}

Test(cost, ignores_stragglers_and_follows_a_change)
{
    cost_model model({});
    const auto key = costKey("a", 0);
    for (int run = 0; run < 20; ++run) {
        learn(model, key, run % 5 == 0 ? 2s : 20ms);
    }
    cr_assert(model.estimate(key, 0us) == 20ms);
    for (int run = 0; run < 8; ++run) {
        learn(model, key, 200ms);
    }
    cr_assert(model.estimate(key, 0us) == 200ms);
}

Test(cost, learns_only_a_lower_bound_from_unanswered_work)
{
    cost_model model({});
    const auto key = costKey("a", 0);
    learn(model, key, 20ms);
    learn(model, key, 1ms, false);
    cr_assert(model.estimate(key, 0us) == 20ms);
    learn(model, key, 2s, false);
    learn(model, key, 2s, false);
    cr_assert(model.estimate(key, 0us) == 2s);
}

Test(cost, separates_size_classes)
{
    cr_assert(costKey("a", 100) != costKey("a", 1'000'000));
    cr_assert(costKey("a", 100) == costKey("a", 101));
}

Test(cost, number_of_classes_stays_bounded_for_any_routes)
{
    cr_assert(rc::check("classes stay bounded", [](const std::vector<std::uint16_t> &routes) {
        cost_model model({.maxClasses = 8});
        for (const auto route : routes) {
            const auto key = costKey(std::to_string(route), 0);
            learn(model, key, 5ms);
            RC_ASSERT(model.size() <= 8U);
            RC_ASSERT(model.estimate(key, 0us) == 5ms);
        }
    }));
}
