// Tests of coordination/repeats/repeat_budget.h: the budgets of all workers of a pool together keep the pool's retry allowance.
#include <dandelionstall/coordination/repeats/repeat_budget.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <vector>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

using times = std::vector<state::time_point>; // in order of time

const state::retry_allowance Allowance{0.2, 56.0, 10s, true};
const state::time_point Start{1h};

double countBetween(const times &sorted, state::time_point from, state::time_point until)
{
    return static_cast<double>(std::lower_bound(sorted.begin(), sorted.end(), until) - std::lower_bound(sorted.begin(), sorted.end(), from));
}

// Repeats that the allowance admits in the window that begins at the given time.
double allowedFrom(const times &requests, state::time_point from)
{
    const double inWindow = countBetween(requests, from, from + Allowance.window);
    const double inWindowBefore = countBetween(requests, from - Allowance.window, from);
    const double halfEarlier = countBetween(requests, from - Allowance.window / 2, from + Allowance.window / 2);
    return Allowance.share * std::max({inWindow, inWindowBefore, halfEarlier}) + Allowance.extraPerWindow;
}

// The workers of one pool, each with its budget, and all that has reached them.
class pool_model
{
public:
    explicit pool_model(std::uint32_t workers, state::time_point servedSince = Start - 1h)
    {
        for (std::uint32_t i = 0; i < workers; ++i) {
            addWorker(servedSince);
        }
        announce(servedSince);
    }

    void addWorker(state::time_point now)
    {
        m_budgets.push_back(std::make_unique<repeat_budget>(now));
    }

    void removeWorker(std::size_t index)
    {
        m_budgets.erase(m_budgets.begin() + static_cast<std::ptrdiff_t>(index));
    }

    void restartSidecar(std::size_t index, state::time_point now)
    {
        m_budgets[index] = std::make_unique<repeat_budget>(now);
        m_budgets[index]->recordWorkers(static_cast<std::uint32_t>(m_budgets.size()), now);
    }

    // All workers learn how many they are.
    void announce(state::time_point now)
    {
        for (const auto &budget : m_budgets) {
            budget->recordWorkers(static_cast<std::uint32_t>(m_budgets.size()), now);
        }
    }

    repeat_budget &worker(std::size_t index)
    {
        return *m_budgets.at(index);
    }

    std::size_t size() const
    {
        return m_budgets.size();
    }

    void sendRequest(std::size_t index, state::time_point now)
    {
        m_budgets.at(index)->recordRequest(Allowance, now);
        m_requests.push_back(now);
    }

    bool sendRepeat(std::size_t index, state::time_point now, repeat_kind kind = repeat_kind::retry)
    {
        const bool admitted = m_budgets.at(index)->count(kind, Allowance, now).admitted;
        if (admitted) {
            m_repeats.push_back(now);
        }
        return admitted;
    }

    // Sends repeats to the worker until it admits no more.
    void sendRepeats(std::size_t index, state::time_point now)
    {
        while (sendRepeat(index, now)) { }
    }

    const times &requests() const
    {
        return m_requests;
    }

    const times &repeats() const
    {
        return m_repeats;
    }

    // Repeats above the allowance in the worst window; negative when every window keeps it.
    double worstExcess() const
    {
        double worst = -Allowance.extraPerWindow;
        for (const state::time_point from : m_repeats) {
            worst = std::max(worst, countBetween(m_repeats, from, from + Allowance.window) - allowedFrom(m_requests, from));
        }
        return worst;
    }

private:
    std::vector<std::unique_ptr<repeat_budget>> m_budgets;
    times m_requests;
    times m_repeats;
};

} // namespace

// Nodes receive different parts of the load and count the workers of the pool slightly differently. All workers together stay
// within the allowance, also while nodes restart continually, as in a rolling replacement of all nodes.
Test(retry_allowance, holds_for_the_whole_fleet_in_every_window)
{
    constexpr std::uint32_t RestartGap = 25; // requests between two restarts, on average
    cr_assert(rc::check("retries in any window stay within share and extra", [] {
        const auto nodes = *rc::gen::inRange<std::uint32_t>(3, 40);
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        pcg32 random(seed);
        pool_model pool(nodes);
        std::vector<std::uint32_t> countedNodes;
        for (std::uint32_t i = 0; i < nodes; ++i) {
            countedNodes.push_back(nodes - random(std::max(1U, nodes / 8)));
            pool.worker(i).recordWorkers(countedNodes.back(), Start - 30min);
        }
        for (state::time_point now = Start; now < Start + 30s; now += 12ms) {
            const std::uint32_t node = std::min(random(nodes), random(nodes)); // uneven distribution: nodes with low indices get more requests
            if (random(RestartGap) == 0) {
                const std::uint32_t restarted = random(nodes);
                pool.restartSidecar(restarted, now);
                pool.worker(restarted).recordWorkers(countedNodes[restarted], now);
            }
            pool.sendRequest(node, now);
            if (random(2) == 0) {
                pool.sendRepeat(node, now);
            }
        }
        const auto within = [](const times &all, state::time_point from) {
            return countBetween(all, from, from + 10s);
        };
        for (state::time_point from = Start; from < Start + 20s; from += 1s) {
            RC_ASSERT(within(pool.repeats(), from) <= 0.2 * within(pool.requests(), from) + 56.0);
        }
    }));
}

// Only repeats that reach a worker use the allowance; other attempts are free.
Test(retry_allowance, is_consumed_only_by_attempts_that_may_have_reached_a_worker)
{
    pool_model pool(1000);
    for (int i = 0; i < 200; ++i) {
        cr_assert(pool.worker(0).check(repeat_kind::none, Allowance, Start).admitted);
        cr_assert(pool.worker(0).count(repeat_kind::none, Allowance, Start).admitted);
    }
    int granted = 0;
    for (int i = 0; i < 200; ++i) {
        granted += pool.sendRepeat(0, Start) ? 1 : 0;
    }
    cr_assert(granted <= 2);
}

// Parts of less than one repeat must not be rounded up: 3,400 workers would make 3,400 repeats of 56.
Test(retry_allowance, idle_workers_of_a_large_pool_do_not_exceed_the_extra_repeats)
{
    for (const std::uint32_t workers : {1U, 6U, 56U, 57U, 3400U}) {
        pool_model pool(workers);
        for (std::size_t i = 0; i < pool.size(); ++i) {
            pool.sendRepeats(i, Start);
        }
        cr_assert_leq(pool.worstExcess(), 0.0, "%u workers: %zu repeats", workers, pool.repeats().size());
    }
}

// Workers use their parts of the extra repeats and are lost. The others must not share these parts again in the same window.
Test(retry_allowance, parts_of_lost_workers_are_not_used_twice_in_a_window)
{
    pool_model pool(6);
    for (std::size_t i = 0; i < pool.size(); ++i) {
        pool.sendRepeats(i, Start);
    }
    for (state::time_point now = Start + 1s; now < Start + 30s; now += 500ms) {
        if (pool.size() > 1) {
            pool.removeWorker(0);
            pool.announce(now);
        }
        for (std::size_t i = 0; i < pool.size(); ++i) {
            pool.sendRepeats(i, now);
        }
    }
    cr_assert_leq(pool.worstExcess(), 0.0, "%f repeats above the allowance", pool.worstExcess());
    cr_assert_geq(countBetween(pool.repeats(), Start + 15s, Start + 30s), 40.0, "the last worker gets the whole extra after a window");
}

// All workers are replaced within a window, each by a new one that knows nothing of the repeats before.
Test(retry_allowance, replaced_workers_add_no_extra_repeats)
{
    pool_model pool(6);
    for (int step = 0; step < 60; ++step) {
        const state::time_point now = Start + step * 500ms;
        for (std::size_t i = 0; i < pool.size(); ++i) {
            pool.sendRepeats(i, now);
        }
        pool.removeWorker(0);
        pool.addWorker(now);
        pool.announce(now);
    }
    cr_assert_leq(pool.worstExcess(), 0.0, "%f repeats above the allowance", pool.worstExcess());
}

// Callers move to the other half of the workers. Each half could use the allowance of its own requests in one window.
Test(retry_allowance, load_that_moves_between_workers_is_not_counted_twice)
{
    constexpr std::size_t Half = 3;
    pool_model pool(2 * Half);
    for (int i = 0; i < 3000; ++i) {
        const state::time_point now = Start + i * 10ms;
        const std::size_t first = now < Start + 14s ? 0 : Half;
        pool.sendRequest(first + static_cast<std::size_t>(i) % Half, now);
        if (now < Start + 13s) {
            continue; // no worker fails until then
        }
        for (std::size_t worker = 0; worker < pool.size(); ++worker) {
            pool.sendRepeats(worker, now);
        }
    }
    cr_assert_leq(pool.worstExcess(), 0.0, "%f repeats above the allowance", pool.worstExcess());
}

// Loads that come, go and move, workers that join, leave and restart, and repeats whenever one is admitted.
Test(retry_allowance, holds_under_changing_loads_and_workers)
{
    cr_assert(rc::check("repeats in any window stay within the allowance", [] {
        pcg32 random(*rc::gen::arbitrary<std::uint64_t>());
        pool_model pool(1 + random(20));
        std::uint32_t gapMs = 20;
        std::size_t spread = pool.size();
        for (state::time_point now = Start; now < Start + 60s; now += std::chrono::milliseconds(1 + random(gapMs))) {
            if (random(400) == 0) {
                gapMs = 1U << random(12); // from 1 ms to 2 s between requests
                spread = 1 + random(static_cast<std::uint32_t>(pool.size()));
            }
            if (random(300) == 0) {
                random(2) == 0 || pool.size() == 1 ? pool.addWorker(now) : pool.removeWorker(random(static_cast<std::uint32_t>(pool.size())));
                pool.announce(now);
            }
            if (random(300) == 0) {
                pool.restartSidecar(random(static_cast<std::uint32_t>(pool.size())), now);
            }
            pool.sendRequest(random(static_cast<std::uint32_t>(std::min(spread, pool.size()))), now);
            if (random(3) == 0) {
                pool.sendRepeats(random(static_cast<std::uint32_t>(pool.size())), now);
            }
        }
        RC_ASSERT(pool.worstExcess() <= 0.0);
    }));
}

// Under a steady load, at least three quarters of the allowance can be used: the bound is not kept by refusing everything.
Test(retry_allowance, most_of_it_can_be_used)
{
    pool_model pool(6);
    for (int i = 0; i < 3000; ++i) {
        const state::time_point now = Start + i * 10ms;
        pool.sendRequest(static_cast<std::size_t>(i) % pool.size(), now);
        pool.sendRepeat(static_cast<std::size_t>(i + 1) % pool.size(), now);
    }
    const double used = countBetween(pool.repeats(), Start + 15s, Start + 25s);
    cr_assert_geq(used, 0.75 * allowedFrom(pool.requests(), Start + 15s), "%f repeats", used);
}

// A call of a repeated run cannot be told from other repeats by the pool that is called.
Test(retry_allowance, calls_of_repeated_runs_use_it_like_retries)
{
    pool_model pool(1);
    while (pool.sendRepeat(0, Start, repeat_kind::call) && pool.repeats().size() < 1000) { }
    cr_assert_leq(pool.worstExcess(), 0.0, "%zu calls of repeated runs", pool.repeats().size());
    cr_assert(not(pool.sendRepeat(0, Start, repeat_kind::retry)));
}

// The counts of a window of another length do not apply any more; the worker counts as one that is served anew.
Test(retry_allowance, a_changed_window_does_not_hand_out_the_extra_repeats_again)
{
    pool_model pool(1);
    pool.sendRepeats(0, Start);
    state::retry_allowance changed = Allowance;
    changed.window = 5s;
    cr_assert(not(pool.worker(0).count(repeat_kind::retry, changed, Start + 1s).admitted));
    cr_assert(pool.worker(0).count(repeat_kind::retry, changed, Start + 10s).admitted);
}

Test(retry_allowance, pools_without_one_are_not_limited_here)
{
    pool_model pool(1);
    const state::retry_allowance none;
    for (int i = 0; i < 1000; ++i) {
        cr_assert(pool.worker(0).count(repeat_kind::rerun, none, Start).admitted);
    }
}

Test(recent_maximum, keeps_the_largest_value_of_the_period)
{
    recent_maximum workers;
    cr_assert(eq(u32, workers.since(Start), 0));
    workers.record(6, Start);
    workers.record(3, Start + 10s);
    workers.record(4, Start + 20s);
    cr_assert(eq(u32, workers.since(Start + 5s), 6));
    cr_assert(eq(u32, workers.since(Start + 10s), 4));
    cr_assert(eq(u32, workers.since(Start + 30s), 4));
    workers.forgetBefore(Start + 12s);
    cr_assert(eq(u32, workers.since(Start + 12s), 4));
}

Test(retry_allowance, without_extra_repeats_only_the_share_may_be_repeated)
{
    constexpr int Requests = 200;
    const state::retry_allowance share{0.2, 0.0, 10s, true};
    repeat_budget budget(Start - 1h);
    budget.recordWorkers(1, Start - 1h);
    for (int i = 0; i < Requests; ++i) {
        budget.recordRequest(share, Start + i * 10ms);
    }
    int repeats = 0;
    while (repeats < Requests && budget.count(repeat_kind::retry, share, Start + Requests * 10ms).admitted) {
        ++repeats;
    }
    cr_assert(0 < repeats && repeats <= share.share * Requests, "%d repeats", repeats);
}

// A fleet starts for the first time, and its callers come some seconds later, when unhealthy workers are still unknown.
Test(retry_allowance, the_extra_can_be_used_soon_after_the_first_start_of_a_fleet)
{
    constexpr std::uint32_t Workers = 20;
    const auto repeatsOf = [](earlier_repeats earlier) {
        std::size_t repeats = 0;
        for (std::uint32_t i = 0; i < Workers; ++i) {
            repeat_budget budget(Start, earlier);
            budget.recordWorkers(Workers, Start);
            while (budget.count(repeat_kind::retry, Allowance, Start + 8s).admitted) {
                ++repeats;
            }
            while (budget.count(repeat_kind::retry, Allowance, Start + 17s).admitted) {
                ++repeats;
            }
        }
        return repeats;
    };
    cr_assert(repeatsOf(earlier_repeats::possible) <= Allowance.extraPerWindow);
    const std::size_t repeats = repeatsOf(earlier_repeats::none);
    cr_assert(repeats <= Allowance.extraPerWindow, "%zu repeats in one window", repeats);
    cr_assert(repeats >= Allowance.extraPerWindow / 2, "%zu repeats", repeats);
    repeat_budget first(Start, earlier_repeats::none);
    first.recordWorkers(Workers, Start);
    cr_assert(first.count(repeat_kind::retry, Allowance, Start + 8s).admitted, "callers have just come");
    repeat_budget restarted(Start, earlier_repeats::possible);
    restarted.recordWorkers(Workers, Start);
    cr_assert(not(restarted.count(repeat_kind::retry, Allowance, Start + 8s).admitted), "nothing is known of the window before its start");
    repeat_budget preceded(Start, earlier_repeats::none);
    preceded.recordWorkers(Workers, Start);
    preceded.expectEarlierRepeats();
    cr_assert(not(preceded.count(repeat_kind::retry, Allowance, Start + 8s).admitted), "there is a sign of an earlier process");
    repeat_budget early(Start, earlier_repeats::none);
    early.recordWorkers(Workers, Start);
    cr_assert(not(early.count(repeat_kind::retry, Allowance, Start + 3s).admitted), "the workers may not all be known yet");
}
