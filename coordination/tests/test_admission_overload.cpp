// Failure tests of admission under overload and beside long work. Each shows that the baseline fails where the chosen policy holds.
#include <dandelionstall/coordination/admission.h>

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
constexpr int CrestSeconds = 10;

// One worker at a crest: every 100 ms a slot could run one item, and three come, one of them worth ten times the others.
class crest_run
{
public:
    explicit crest_run(std::string_view name)
        : m_policy(*makeAdmissionPolicy(name, {1, 16}, Seed))
    { }

    double run()
    {
        const state::time_point end = Start + std::chrono::seconds(CrestSeconds);
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
        const bool isDear = sequence % 3 == 0;
        take(m_policy->offer({.id = {1, sequence}, .route = isDear ? "dear" : "cheap", .worth = worthOf(sequence), .deadline = now + 500ms}, now), now);
    }

    void finishDue(state::time_point now)
    {
        if (!m_ends.empty() && m_ends.begin()->first <= now) {
            const std::uint64_t sequence = m_ends.begin()->second;
            m_ends.erase(m_ends.begin());
            m_worth += worthOf(sequence);
            take(m_policy->finish({1, sequence}, work_result::answered, now), now);
        }
    }

    void take(const admission_actions &todo, state::time_point now)
    {
        for (const state::attempt_id &id : todo.start) {
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

// How many of four long items run at once at a worker of three slots, with or without short work just before.
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

} // namespace

Test(admission_overload, earns_the_achievable_worth_at_a_crest)
{
    constexpr double Achievable = CrestSeconds * (1s / RunTime) * 10.0; // the slot filled with the work of highest worth
    cr_assert(crest_run("worth_density").run() >= 0.95 * Achievable);
    cr_assert(crest_run("fifo").run() < 0.95 * Achievable);
}

Test(admission_overload, long_work_leaves_a_slot_to_short_work)
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

Test(admission_overload, learns_again_that_a_route_has_become_quick)
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

Test(admission_overload, runs_on_when_slots_are_taken_away_and_given_back)
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
