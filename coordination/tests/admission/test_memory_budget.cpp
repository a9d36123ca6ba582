// Tests of coordination/admission/memory_budget.h.
#include <dandelionstall/coordination/admission/memory_budget.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <optional>
#include <thread>
#include <vector>

using namespace dandelionstall::coordination;

Test(memory_budget, small_bodies_find_room_beside_large_ones)
{
    memory_budget budget(800'000);
    memory_grant large(budget);
    cr_assert(not(large.resize(700'001)));
    cr_assert(large.resize(700'000));
    memory_grant another(budget);
    cr_assert(not(another.resize(SmallBodyBytes + 1)));
    cr_assert(another.resize(SmallBodyBytes));
    cr_assert(eq(sz, budget.usedBytes(), 700'000 + SmallBodyBytes));
    cr_assert(not(another.resize(100'001)));
    cr_assert(eq(sz, another.bytes(), SmallBodyBytes + 0), "a refused change leaves the grant as it was");
}

// Guards against bodies that together exceed the memory of a node, and against room that is never returned.
Test(memory_budget, grants_never_exceed_the_budget_and_are_returned)
{
    cr_assert(rc::check("any order of changes", [](const std::vector<std::pair<std::uint8_t, std::uint32_t>> &changes) {
        memory_budget budget(1'000'000);
        {
            std::vector<memory_grant> grants;
            for (int i = 0; i < 8; ++i) {
                grants.emplace_back(budget);
            }
            for (const auto &[index, bytes] : changes) {
                memory_grant &grant = grants[index % grants.size()];
                const std::size_t before = grant.bytes();
                const std::size_t wanted = bytes % 1'200'000;
                const bool granted = grant.resize(wanted);
                RC_ASSERT(grant.bytes() == (granted ? wanted : before));
                RC_ASSERT(granted || wanted > before);
                RC_ASSERT(budget.usedBytes() <= budget.capacityBytes());
                grants.push_back(std::move(grant));
                grants.erase(grants.begin() + index % 8);
            }
        }
        RC_ASSERT(budget.usedBytes() == 0);
    }));
}

Test(memory_budget, threads_share_one_budget)
{
    memory_budget budget(1'000'000);
    std::vector<std::thread> threads;
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&budget] {
            for (std::size_t n = 0; n < 50'000; ++n) {
                memory_grant grant(budget);
                grant.resize(n * 7 % 400'000);
            }
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    cr_assert(eq(sz, budget.usedBytes(), 0));
}

Test(memory_budget, a_grant_without_a_budget_holds_nothing)
{
    memory_grant grant;
    cr_assert(not(grant.resize(1)));
    cr_assert(grant.resize(0));
}
