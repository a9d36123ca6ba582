// Keeps the work that earns most worth per second of slot time before its deadline, refuses the rest at once.
//
// Waiting items are ordered by density (worth / expected run time). After each event the queue is planned against the
// expected ends of the running items: an item that the plan cannot finish by its deadline is refused now, not when the
// deadline has passed. Long work leaves the slots free that the short work of the last moments needs.
//
// Work that the plan cannot end by its target is worth less from then on and goes behind work that still can: at a crest
// the slots go to callers who get their answer in time, and not to all callers a little too late.
#include "admission_demand.h"
#include "admission_plan.h"
#include "admission_slots.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <tuple>

namespace dandelionstall::coordination::detail {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr int LongFactor = 8;          // long work takes more than this many times the typical run time
constexpr int RefreshShare = 8;        // waiting items are reordered when their cost has changed by an eighth
constexpr double MinPatience = 0.25;   // of the margin for short work that long work respects to the end
constexpr double RanksPerOctave = 4.0; // of density, in the order of the queue
constexpr double LateShare = 0.4;      // of its worth, that an answer has after its target
constexpr double MinDensity = 1e-9;    // worth per second
constexpr double MaxPressure = 16.0;   // limits how far retries are spread
constexpr std::chrono::milliseconds RetryDelay{500};
constexpr std::chrono::seconds TrialInterval{5}; // between runs that seem hopeless but refresh the estimate

double densityOf(const waiting_work &work)
{
    return work.worth * (work.isLate ? LateShare : 1.0) / seconds(std::max(work.cost, microseconds(1)));
}

// Work of about the same density counts as equal: expected run times move a little with each answer.
int rankOf(const waiting_work &work)
{
    return static_cast<int>(std::floor(std::log2(std::max(work.density, MinDensity)) * RanksPerOctave));
}

// The order of the queue: densest first, then the earliest deadline, which belongs to the work that came first or that
// another worker has refused before.
bool comesBefore(const waiting_work &left, const waiting_work &right)
{
    const auto orderOf = [](const waiting_work &work) {
        return std::tuple(-rankOf(work), work.deadline, work.arrival);
    };
    return orderOf(left) < orderOf(right);
}

class worth_density final : public slot_queue
{
public:
    worth_density(const admission_limits &limits, std::uint64_t seed)
        : slot_queue(limits, seed)
        , m_costs(cost_limits{})
    { }

    admission_load load(state::time_point now) const override;

protected:
    void enqueue(const work_item &item, state::time_point now, admission_actions &todo) override;
    void settle(state::time_point now, admission_actions &todo) override;
    void noteEnd(const running_work &work, work_result result, state::time_point now) override;
    state::time_point retryTime(state::time_point now) override;
    bool isLong(const waiting_work &work) const override;

private:
    microseconds expectedCost(const work_item &item, cost_key key, state::time_point now) const;
    bool isTrial(cost_key key, state::time_point now);
    void insert(const waiting_work &work);
    void refreshCosts(cost_key key);
    void demoteLate(state::time_point now);
    bool demoteFirstLate(state::time_point now);
    void refuseHopeless(state::time_point now, admission_actions &todo);
    void startReady(state::time_point now, admission_actions &todo);
    std::optional<std::size_t> findStartable(state::time_point now) const;
    bool mayTakeSlot(const waiting_work &work, state::time_point now) const;
    double slotsForLong(const waiting_work &work, state::time_point now) const;
    std::size_t runningLong(state::time_point now) const;
    void refuseOverflow(state::time_point now, admission_actions &todo);
    void refuseUnreachable(state::time_point now, admission_actions &todo);
    void scheduleAdvance(state::time_point now);
    std::vector<state::time_point> freeTimes(state::time_point now) const;

    cost_model m_costs;
    recent_demand m_demand;
    state::time_point m_nextTrialAt;
    std::uint64_t m_offered = 0; // arrival number of the item being offered
};

admission_load worth_density::load(state::time_point now) const
{
    admission_load load{m_limits.slots, static_cast<std::uint32_t>(m_running.size()), static_cast<std::uint32_t>(m_waiting.size()), {}, 0.0};
    double density = 0.0;
    for (const waiting_work &work : m_waiting) {
        density += work.density / static_cast<double>(m_waiting.size());
    }
    slot_plan plan(freeTimes(now));
    for (const waiting_work &work : m_waiting) {
        if (work.density < density || plan.nextFree() == state::time_point::max()) {
            break;
        }
        plan.occupyUntil(plan.nextFree() + work.cost);
    }
    const bool never = plan.nextFree() == state::time_point::max();
    load.expectedWait = never ? microseconds::max() : duration_cast<microseconds>(plan.nextFree() - now);
    load.worthFloor = m_demand.refusedDensity(now);
    return load;
}

void worth_density::enqueue(const work_item &item, state::time_point now, admission_actions &)
{
    waiting_work work = makeWaiting(item, now);
    work.key = costKey(item.route, item.bodyBytes);
    work.cost = expectedCost(item, work.key, now);
    work.isLate = now + work.cost > work.targetAt;
    work.density = densityOf(work);
    m_demand.noteOffer({work.cost, work.worth, work.density, isLong(work)}, now);
    m_offered = work.arrival;
    if (work.cost > item.deadline - now && isTrial(work.key, now)) {
        work.cost = duration_cast<microseconds>(item.deadline - now);
    }
    insert(work);
}

// A class of which nothing has ended yet costs at least the time for which its running items have run.
microseconds worth_density::expectedCost(const work_item &item, cost_key key, state::time_point now) const
{
    microseconds cost = m_costs.estimate(key, item.costHint);
    if (m_costs.learnedAt(key) != state::time_point{}) {
        return cost;
    }
    for (const auto &[id, work] : m_running) {
        if (work.key == key) {
            cost = std::max(cost, duration_cast<microseconds>(now - work.startedAt));
        }
    }
    return cost;
}

// An estimate that refuses all work of a class would never be corrected, so that now and then one item runs nevertheless.
bool worth_density::isTrial(cost_key key, state::time_point now)
{
    if (!hasFreeSlot() || !m_waiting.empty() || now < m_nextTrialAt || now < m_costs.learnedAt(key) + TrialInterval) {
        return false;
    }
    m_nextTrialAt = now + TrialInterval;
    return true;
}

void worth_density::insert(const waiting_work &work)
{
    m_waiting.insert(std::upper_bound(m_waiting.begin(), m_waiting.end(), work, comesBefore), work);
}

void worth_density::settle(state::time_point now, admission_actions &todo)
{
    refuseHopeless(now, todo);
    demoteLate(now);
    startReady(now, todo);
    refuseOverflow(now, todo);
    refuseUnreachable(now, todo);
    scheduleAdvance(now);
    m_offered = 0;
}

void worth_density::refuseHopeless(state::time_point now, admission_actions &todo)
{
    for (std::size_t index = 0; index < m_waiting.size();) {
        const waiting_work &work = m_waiting[index];
        if (fits(work, now)) {
            ++index;
        } else {
            refuse(index, work.deadline <= now ? refusal_reason::expired_in_queue : refusal_reason::deadline_unreachable, now, todo);
        }
    }
}

// One that goes behind leaves its place to others, which may be in time then.
void worth_density::demoteLate(state::time_point now)
{
    while (demoteFirstLate(now)) {
        std::sort(m_waiting.begin(), m_waiting.end(), comesBefore);
    }
}

bool worth_density::demoteFirstLate(state::time_point now)
{
    slot_plan plan(freeTimes(now));
    for (waiting_work &work : m_waiting) {
        const state::time_point start = plan.nextFree();
        if (start == state::time_point::max()) {
            return false;
        }
        if (!work.isLate && start + work.cost > work.targetAt) {
            work.isLate = true;
            work.density = densityOf(work);
            return true;
        }
        plan.occupyUntil(start + work.cost);
    }
    return false;
}

void worth_density::startReady(state::time_point now, admission_actions &todo)
{
    while (hasFreeSlot()) {
        const auto index = findStartable(now);
        if (!index) {
            return;
        }
        start(*index, now, todo);
    }
}

std::optional<std::size_t> worth_density::findStartable(state::time_point now) const
{
    for (std::size_t index = 0; index < m_waiting.size(); ++index) {
        if (mayTakeSlot(m_waiting[index], now)) {
            return index;
        }
    }
    return std::nullopt;
}

bool worth_density::mayTakeSlot(const waiting_work &work, state::time_point now) const
{
    if (!isLong(work) || !m_demand.hasShort(now) || work.density >= m_demand.shortDensity(now)) {
        return true;
    }
    return static_cast<double>(runningLong(now)) + 1.0 <= slotsForLong(work, now);
}

// The short work keeps its load and the square root of it, which keeps its waits short whatever the number of slots.
// Most of the square root is given up by and by as the latest start of the long work comes near.
double worth_density::slotsForLong(const waiting_work &work, state::time_point now) const
{
    const double load = m_demand.shortLoad(now);
    const state::time_point latestStart = work.deadline - work.cost;
    const double patience = std::clamp(seconds(latestStart - now) / seconds(std::max(latestStart - work.offeredAt, state::duration(1))), MinPatience, 1.0);
    const double kept = std::max(1.0, load + patience * std::sqrt(load));
    return static_cast<double>(m_limits.slots) - std::min(kept, static_cast<double>(m_limits.slots));
}

std::size_t worth_density::runningLong(state::time_point now) const
{
    const state::duration threshold = LongFactor * m_costs.typical();
    return static_cast<std::size_t>(
        std::count_if(m_running.begin(), m_running.end(), [&](const auto &entry) { return entry.second.isLong || now - entry.second.startedAt > threshold; }));
}

void worth_density::refuseOverflow(state::time_point now, admission_actions &todo)
{
    while (m_waiting.size() > m_limits.maxQueued) {
        const waiting_work &last = m_waiting.back();
        m_demand.noteLowWorth(last.density, now);
        refuse(m_waiting.size() - 1, last.arrival == m_offered ? refusal_reason::queue_full : refusal_reason::low_worth, now, todo);
    }
}

void worth_density::refuseUnreachable(state::time_point now, admission_actions &todo)
{
    slot_plan plan(freeTimes(now));
    const wait_forecast forecast(m_demand, m_limits.slots, now);
    const state::time_point firstFree = plan.nextFree();
    std::size_t kept = 0;
    for (const waiting_work &work : m_waiting) {
        const state::time_point start = plan.nextFree();
        if (fits(work, forecast.startOf(work, start))) {
            plan.occupyUntil(start + work.cost);
            m_waiting[kept++] = work;
        } else if (fits(work, firstFree)) {
            m_demand.noteLowWorth(work.density, now);
            refuseItem(work.id, refusal_reason::low_worth, now, todo);
        } else {
            refuseItem(work.id, refusal_reason::deadline_unreachable, now, todo);
        }
    }
    m_waiting.resize(kept);
}

void worth_density::scheduleAdvance(state::time_point now)
{
    m_nextDeadline = state::time_point::max();
    for (const waiting_work &work : m_waiting) {
        m_nextDeadline = std::min(m_nextDeadline, work.deadline - work.cost + state::duration(1));
    }
    if (hasFreeSlot() && !m_waiting.empty()) {
        m_nextDeadline = std::min(m_nextDeadline, m_demand.changesAt(now));
    }
}

std::vector<state::time_point> worth_density::freeTimes(state::time_point now) const
{
    std::vector<state::time_point> times;
    times.reserve(std::max<std::size_t>(m_running.size(), m_limits.slots));
    for (const auto &[id, work] : m_running) {
        times.push_back(remainingEnd(work, now));
    }
    if (times.size() > m_limits.slots) {
        std::sort(times.begin(), times.end(), std::greater<>());
    }
    times.resize(m_limits.slots, now);
    return times;
}

void worth_density::noteEnd(const running_work &work, work_result result, state::time_point now)
{
    const auto planned = duration_cast<microseconds>(work.expectedEnd - work.startedAt);
    const microseconds before = m_costs.estimate(work.key, planned);
    m_costs.learn({work.key, work.startedAt, now, result == work_result::answered});
    const microseconds after = m_costs.estimate(work.key, planned);
    if (after * 2 > before * 3 || before * 2 > after * 3) {
        m_demand.forgetDensities();
    }
    refreshCosts(work.key);
}

void worth_density::refreshCosts(cost_key key)
{
    bool changed = false;
    for (waiting_work &work : m_waiting) {
        if (work.key != key) {
            continue;
        }
        const microseconds cost = m_costs.estimate(key, work.cost);
        if (std::chrono::abs(cost - work.cost) * RefreshShare > work.cost) {
            work.cost = cost;
            work.density = densityOf(work);
            changed = true;
        }
    }
    if (changed) {
        std::sort(m_waiting.begin(), m_waiting.end(), comesBefore);
    }
}

state::time_point worth_density::retryTime(state::time_point now)
{
    const double pressure = m_demand.offeredLoad(now) / std::max(1U, m_limits.slots);
    const auto base = duration_cast<microseconds>(RetryDelay * std::clamp(pressure, 1.0, MaxPressure));
    const auto spread = static_cast<std::uint32_t>(2 * base.count());
    return now + base + microseconds(m_random(spread));
}

bool worth_density::isLong(const waiting_work &work) const
{
    return work.cost > LongFactor * m_costs.typical();
}

} // namespace

std::unique_ptr<admission_policy> makeWorthDensity(const admission_limits &limits, std::uint64_t seed)
{
    return std::make_unique<worth_density>(limits, seed);
}

} // namespace dandelionstall::coordination::detail
