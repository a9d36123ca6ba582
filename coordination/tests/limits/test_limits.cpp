// Tests of coordination/limits/limits.h.
#include <dandelionstall/coordination/limits/limits.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <vector>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point Start{1h};
constexpr std::uint64_t Seed = 20'261'203;

// Checks the bound stated in docs/design/admission.md: in every interval between two admissions, at most the burst plus the
// rate times the interval.
void checkRate(const std::vector<state::time_point> &admitted, double localRate)
{
    const double burst = std::max(3.0, localRate);
    for (std::size_t from = 0; from < admitted.size(); ++from) {
        for (std::size_t to = from; to < admitted.size(); ++to) {
            const double span = std::chrono::duration<double>(admitted[to] - admitted[from]).count();
            RC_ASSERT(static_cast<double>(to - from + 1) <= burst + localRate * span + 1e-3);
        }
    }
}

} // namespace

Test(limits, unlimited_routes_take_no_memory)
{
    const auto limiter = makeOrganisationLimiter(8, Seed);
    for (int count = 0; count < 100; ++count) {
        cr_assert(limiter->admit({"org", "route", 0.0, 1}, Start).admitted);
    }
    cr_assert(limiter->trackedPairs() == 0U);
}

Test(limits, returns_the_earliest_time_at_which_a_request_is_admitted)
{
    const auto limiter = makeOrganisationLimiter(8, Seed);
    const limit_request request{"org", "route", 10.0, 2};
    limit_verdict verdict;
    while ((verdict = limiter->admit(request, Start)).admitted) { }
    cr_assert(verdict.retryAt > Start);
    cr_assert(not(limiter->admit(request, verdict.retryAt - 1ns).admitted));
    cr_assert(limiter->admit(request, verdict.retryAt).admitted);
}

Test(limits, limits_each_pair_of_route_and_organisation_separately)
{
    const auto limiter = makeOrganisationLimiter(8, Seed);
    while (limiter->admit({"org", "route", 1.0, 1}, Start).admitted) { }
    cr_assert(limiter->admit({"org", "other", 1.0, 1}, Start).admitted);
    cr_assert(limiter->admit({"other", "route", 1.0, 1}, Start).admitted);
}

Test(limits, keeps_rates_and_memory_bounded_with_more_organisations_than_entries)
{
    cr_assert(rc::check("rates and memory stay bounded", [] {
        const auto maxTracked = *rc::gen::inRange<std::uint32_t>(1, 6);
        const auto nodes = *rc::gen::inRange<std::uint32_t>(1, 4);
        const auto limiter = makeOrganisationLimiter(maxTracked, Seed);
        std::map<int, std::vector<state::time_point>> admitted;
        state::time_point now = Start;
        for (int step = 0; step < 150; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 200));
            const int organisation = *rc::gen::inRange(0, 10);
            const double rate = 1.0 + organisation;
            if (limiter->admit({std::to_string(organisation), "route", rate, nodes}, now).admitted) {
                admitted[organisation].push_back(now);
            }
            RC_ASSERT(limiter->trackedPairs() <= maxTracked);
        }
        for (const auto &[organisation, times] : admitted) {
            checkRate(times, (1.0 + organisation) / nodes);
        }
    }));
}
