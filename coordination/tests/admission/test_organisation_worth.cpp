// Tests of coordination/admission/organisation_worth.h.
#include <dandelionstall/coordination/admission/organisation_worth.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;

// Guards against requests of a less urgent organisation that go before those of a more urgent one, since their route is more urgent.
Test(organisation_worth, the_priority_of_the_organisation_goes_before_that_of_the_route)
{
    constexpr double UrgentRoute = 1.0;
    constexpr double NextRoute = 0.5;
    state::organisation urgent;
    state::organisation less;
    less.priority = 1;
    cr_assert(worthWithin(urgent, NextRoute) > worthWithin(less, UrgentRoute));
    cr_assert(worthWithin(urgent, UrgentRoute) > worthWithin(urgent, NextRoute));
    cr_assert(worthWithin(urgent, UrgentRoute) == UrgentRoute);
    less.priority = state::MaxRoutePriority;
    cr_assert(worthWithin(less, UrgentRoute) > 0.0);
}
