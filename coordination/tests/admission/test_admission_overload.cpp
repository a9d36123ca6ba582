// Tests of admission under overload and with long work. Several of them also show that the fifo baseline fails where
// worth_density passes.
#include <dandelionstall/coordination/admission/admission.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <map>

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

namespace {

const state::time_point Start{1h};
constexpr std::uint64_t Seed = 20'261'203;
constexpr auto RunTime = 100ms;
constexpr int PeakSeconds = 10;

// One worker at a load peak: its slot can run one item per 100 ms, while three items arrive, one of which has ten times the
// worth of the others.
class peak_run
{
public:
    explicit peak_run(std::string_view name)
        : m_policy(*makeAdmissionPolicy(name, {1, 16}, Seed))
    { }

    double run()
    {
        const state::time_point end = Start + std::chrono::seconds(PeakSeconds);
        for (state::time_point now = Start; now < end; now += 5ms) {
            finishDue(now);
            if ((now - Start) % (RunTime / 3 / 5ms * 5ms) == 0ms) {
                offer(now);
            }
        }
        return m_worth;
    }

private:
    void offer(state::time_point now)
    {
        const std::uint64_t sequence = ++m_sequence;
        const bool isValuable = sequence % 3 == 0;
        handleActions(m_policy->offer({.id = {1, sequence}, .route = isValuable ? "dear" : "cheap", .worth = worthOf(sequence), .deadline = now + 500ms}, now),
                      now);
    }

    void finishDue(state::time_point now)
    {
        if (!m_ends.empty() && m_ends.begin()->first <= now) {
            const std::uint64_t sequence = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            m_worth += worthOf(sequence);
            handleActions(m_policy->finish({1, sequence}, work_result::answered, now), now);
        }
    }

    void handleActions(const admission_actions &actions, state::time_point now)
    {
        for (const state::attempt_id &id : actions.start) {
            m_ends.emplace(now + RunTime, id.sequence);
        }
    }

    static double worthOf(std::uint64_t sequence)
    {
        return sequence % 3 == 0 ? 10.0 : 1.0;
    }

    std::unique_ptr<admission_policy> m_policy;
    std::uint64_t m_sequence = 0;
    double m_worth = 0.0;
    std::multimap<state::time_point, std::uint64_t> m_ends;
};

// Returns how many of four long items run at the same time at a worker with three slots, with or without recent short work.
std::size_t countLongStarts(std::string_view name, bool withShort)
{
    const auto policy = *makeAdmissionPolicy(name, {3, 16}, Seed);
    state::time_point now = Start;
    for (std::uint64_t sequence = 1; sequence <= 20; ++sequence) {
        now += 40ms;
        policy->offer({.id = {1, sequence}, .route = "short", .deadline = now + 1s, .costHint = 20ms}, now);
        policy->finish({1, sequence}, work_result::answered, now + 20ms);
    }
    now += withShort ? 40ms : 5s;
    std::size_t started = 0;
    for (std::uint64_t sequence = 21; sequence <= 24; ++sequence) {
        started += policy->offer({.id = {1, sequence}, .route = "long", .deadline = now + 60s, .costHint = 2s}, now).start.size();
    }
    return started;
}

struct peak_counts {
    int inTarget = 0;
    int late = 0;
    int refused = 0;
};

// A worker with 3 slots gets a quarter more items of 350 ms than it can run, for one minute. Target 600 ms, deadline 1300 ms.
peak_counts replayOverload(std::string_view name)
{
    constexpr auto Cost = 350ms;
    const auto policy = *makeAdmissionPolicy(name, {3, 64}, Seed);
    std::multimap<state::time_point, std::uint64_t> ends;
    std::map<std::uint64_t, state::time_point> offeredAt;
    peak_counts counts;
    std::uint64_t sequence = 0;
    const auto handleActions = [&](const admission_actions &actions, state::time_point now) {
        for (const state::attempt_id &id : actions.start) {
            ends.emplace(now + Cost, id.sequence);
        }
        counts.refused += static_cast<int>(actions.refuse.size());
    };
    for (state::time_point now = Start; now < Start + 60s; now += 1ms) {
        while (!ends.empty() && ends.begin()->first <= now) {
            const std::uint64_t ended = ends.begin()->second;
            ends.erase(ends.begin());
            (now - offeredAt[ended] <= 600ms ? counts.inTarget : counts.late) += 1;
            handleActions(policy->finish({1, ended}, work_result::answered, now), now);
        }
        if (policy->nextAdvanceAt() <= now) {
            handleActions(policy->advance(now), now);
        }
        if ((now - Start) % 93ms == 0ms) {
            offeredAt[++sequence] = now;
            handleActions(policy->offer({.id = {1, sequence}, .route = "book", .deadline = now + 1300ms, .targetAt = now + 600ms, .costHint = Cost}, now), now);
        }
    }
    return counts;
}

} // namespace

Test(admission_overload, serves_most_work_within_the_target)
{
    const peak_counts worthDensity = replayOverload("worth_density");
    const peak_counts baseline = replayOverload("fifo");
    const int served = worthDensity.inTarget + worthDensity.late;
    cr_assert(served >= (baseline.inTarget + baseline.late) * 95 / 100, "%d items served, %d by the baseline", served, baseline.inTarget + baseline.late);
    cr_assert(worthDensity.inTarget >= served * 90 / 100, "%d of %d served items within the target", worthDensity.inTarget, served);
    cr_assert(baseline.inTarget < (baseline.inTarget + baseline.late) / 2, "the baseline served %d items within the target", baseline.inTarget);
}

Test(admission_overload, earns_the_achievable_worth_at_a_load_peak)
{
    constexpr double Achievable = PeakSeconds * (1s / RunTime) * 10.0; // worth of a slot that runs only work of the highest worth
    cr_assert(peak_run("worth_density").run() >= 0.95 * Achievable);
    cr_assert(peak_run("fifo").run() < 0.95 * Achievable);
}

Test(admission_overload, long_work_leaves_a_slot_free_for_short_work)
{
    const std::size_t started = countLongStarts("worth_density", true);
    cr_assert(started >= 1U);
    cr_assert(started <= 2U);
    cr_assert(countLongStarts("fifo", true) == 3U);
}

Test(admission_overload, long_work_takes_all_slots_when_no_short_work_comes)
{
    cr_assert(countLongStarts("worth_density", false) == 3U);
}

Test(admission_overload, learns_that_a_slow_route_has_become_fast)
{
    const auto policy = *makeAdmissionPolicy("worth_density", {1, 16}, Seed);
    policy->offer({.id = {1, 1}, .route = "a", .deadline = Start + 10s}, Start);
    policy->finish({1, 1}, work_result::answered, Start + 2s);
    std::uint64_t started = 0;
    for (std::uint64_t sequence = 2; sequence < 200; ++sequence) {
        const state::time_point now = Start + 2s + sequence * 100ms;
        if (!policy->offer({.id = {1, sequence}, .route = "a", .deadline = now + 500ms}, now).start.empty()) {
            ++started;
            policy->finish({1, sequence}, work_result::answered, now + 50ms);
        }
    }
    cr_assert(started > 100U);
}

Test(admission_overload, running_items_continue_when_the_number_of_slots_changes)
{
    const auto policy = *makeAdmissionPolicy("worth_density", {2, 16}, Seed);
    for (std::uint64_t sequence = 1; sequence <= 3; ++sequence) {
        policy->offer({.id = {1, sequence}, .route = "a", .deadline = Start + 10s, .costHint = 10ms}, Start);
    }
    cr_assert(policy->setSlots(1, Start).start.empty());
    cr_assert(policy->load(Start).busy == 2U);
    cr_assert(policy->finish({1, 1}, work_result::answered, Start + 10ms).start.empty());
    cr_assert(policy->setSlots(2, Start + 10ms).start.size() == 1U);
}
