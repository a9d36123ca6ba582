// Tests of coordination/configuration/config_store.h.
#include "membership/gossip_simulation.h"

#include <dandelionstall/state/text.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

using namespace dandelionstall;
using namespace dandelionstall::coordination;

namespace {

offer_verdict offer(config_store &store, table_kind kind, const std::string &text)
{
    return store.offer(kind, text, "test").verdict;
}

} // namespace

Test(config_store, rejects_older_revisions_and_conflicting_content)
{
    config_store store;
    cr_assert(offer(store, table_kind::pools, poolsText(5)) == offer_verdict::accepted);
    cr_assert(offer(store, table_kind::pools, poolsText(5)) == offer_verdict::unchanged);
    cr_assert(offer(store, table_kind::pools, poolsText(4)) == offer_verdict::stale);
    cr_assert(offer(store, table_kind::pools, poolsText(5, 1)) == offer_verdict::conflict);
    cr_assert(store.inForce(table_kind::pools).revision == 5);
    cr_assert(store.pools()->pools[0].slots == 3);
}

Test(config_store, keeps_routes_pending_until_their_pool_is_known)
{
    config_store store;
    offer(store, table_kind::pools, poolsText(1));
    cr_assert(offer(store, table_kind::routes, routesText(1)) == offer_verdict::accepted);
    const offer_result pending = store.offer(table_kind::routes, routesText(2, "p3"), "service");
    cr_assert(pending.verdict == offer_verdict::held);
    cr_assert(state::messageOf(pending.reason).find("routes@service:") != std::string_view::npos);
    cr_assert(store.routes()->revision == 1);
    cr_assert(store.newestKnown(table_kind::routes).revision == 2);
    cr_assert(offer(store, table_kind::pools, poolsText(2, 0, 4)) == offer_verdict::accepted);
    cr_assert(store.routes()->revision == 2);
}

Test(config_store, keeps_pools_pending_that_remove_a_pool_in_use)
{
    config_store store;
    offer(store, table_kind::pools, poolsText(1, 0, 3));
    offer(store, table_kind::routes, routesText(1, "p2"));
    cr_assert(offer(store, table_kind::pools, poolsText(2, 0, 2)) == offer_verdict::held);
    cr_assert(store.pools()->revision == 1);
    cr_assert(offer(store, table_kind::routes, routesText(2, "p1")) == offer_verdict::accepted);
    cr_assert(store.pools()->revision == 2);
}

Test(config_store, reports_the_location_and_reason_of_a_parse_error)
{
    config_store store;
    offer(store, table_kind::pools, poolsText(1));
    const offer_result result = store.offer(table_kind::pools, "[table]\nrevision = 2\n[pool.p]\nslots = none\nworker.w = 10.0.0.1:7400 thika\n", "service");
    cr_assert(result.verdict == offer_verdict::broken);
    cr_assert(state::messageOf(result.reason).find("pools@service:4") != std::string_view::npos);
    cr_assert(store.inForce(table_kind::pools).revision == 1);
}

Test(config_store, accepts_an_older_table_while_the_newest_is_pending)
{
    config_store store;
    cr_assert(offer(store, table_kind::routes, routesText(9, "p9")) == offer_verdict::held);
    offer(store, table_kind::pools, poolsText(1));
    cr_assert(offer(store, table_kind::routes, routesText(3)) == offer_verdict::accepted);
    cr_assert(store.routes()->revision == 3);
    cr_assert(store.newestKnown(table_kind::routes).revision == 9);
}

Test(config_store, never_puts_an_older_revision_in_force_in_any_order)
{
    cr_assert(rc::check("revisions in force only grow and the highest matching pair is in force", [] {
        config_store store;
        const auto offers = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(0, 2), rc::gen::inRange(1, 12)));
        state::table_revision highestPools = 0;
        state::table_revision highestRoutes = 0;
        for (const auto &[kind, number] : offers) {
            const auto revision = static_cast<state::table_revision>(number);
            const table_version routesBefore = store.inForce(table_kind::routes);
            const table_version poolsBefore = store.inForce(table_kind::pools);
            if (kind == 0) {
                offer(store, table_kind::routes, routesText(revision));
                highestRoutes = std::max(highestRoutes, revision);
            } else {
                offer(store, table_kind::pools, poolsText(revision));
                highestPools = std::max(highestPools, revision);
            }
            RC_ASSERT(store.inForce(table_kind::routes).revision >= routesBefore.revision);
            RC_ASSERT(store.inForce(table_kind::pools).revision >= poolsBefore.revision);
        }
        RC_ASSERT(store.inForce(table_kind::pools).revision == highestPools);
        RC_ASSERT(store.inForce(table_kind::routes).revision == (highestPools == 0 ? 0 : highestRoutes));
    }));
}
