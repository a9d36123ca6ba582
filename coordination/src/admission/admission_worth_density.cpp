// Serves the work with the highest worth per second of slot time that can finish before its deadline, and refuses the rest
// immediately.
//
// Waiting items are ordered by density (worth / expected run time). After each event the queue is planned against the
// expected ends of the running items: an item that cannot finish by its deadline according to the plan is refused now, not
// when the deadline has passed. Long work leaves free the slots that the recently offered short work needs.
//
// Work that cannot end by its target according to the plan gets a reduced worth from then on, which moves it behind work that
// can still end by its target. At a load peak, some callers then get their answer in time, instead of all callers slightly
// too late.
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

constexpr int LongFactor = 8;           // work is long when its expected run time exceeds the typical one by more than this factor
constexpr int RefreshDivisor = 8;       // waiting items are reordered when their cost has changed by more than 1/8
constexpr double MinMarginShare = 0.25; // share of the margin for short work that long work leaves free even at its latest start
constexpr double RanksPerOctave = 4.0;  // ranks per factor of two in density, for the order of the queue
constexpr double LateWorthShare = 0.4;  // share of its worth that an answer has after its target
constexpr double MinDensity = 1e-9;     // worth per second; lower densities have the same rank
constexpr double MaxLoadPerSlot = 16.0; // offered load per slot above which the retry delay grows no further
constexpr std::chrono::milliseconds RetryDelay{500};
constexpr std::chrono::seconds TrialInterval{5}; // minimum time between trials; a trial runs an item that is expected to miss its deadline

double densityOf(const waiting_work &work)
{
    return work.worth * (work.isLate ? LateWorthShare : 1.0) / seconds(std::max(work.cost, microseconds(1)));
}

// Work of similar density has the same rank, because expected run times change slightly with each answer.
int rankOf(const waiting_work &work)
{
    return static_cast<int>(std::floor(std::log2(std::max(work.density, MinDensity)) * RanksPerOctave));
}

// The order of the queue: highest rank first, then earliest deadline. The earliest deadline usually belongs to the work that
// came first or that another worker has refused before.
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
    void enqueue(const work_item &item, state::time_point now, admission_actions &actions) override;
    void processQueue(state::time_point now, admission_actions &actions) override;
    void recordEnd(const running_work &work, work_result result, state::time_point now) override;
    state::time_point retryTime(state::time_point now) override;
    bool isLong(const waiting_work &work) const override;

private:
    microseconds expectedCost(const work_item &item, cost_key key, state::time_point now) const;
    bool allowsTrial(cost_key key, state::time_point now);
    void insert(const waiting_work &work);
    void refreshCosts(cost_key key);
    void demoteLate(state::time_point now);
    bool demoteFirstLate(state::time_point now);
    void refuseTooLate(state::time_point now, admission_actions &actions);
    void startReady(state::time_point now, admission_actions &actions);
    std::optional<std::size_t> findStartable(state::time_point now) const;
    bool mayTakeSlot(const waiting_work &work, state::time_point now) const;
    double slotsForLong(const waiting_work &work, state::time_point now) const;
    std::size_t runningLong(state::time_point now) const;
    void refuseOverflow(state::time_point now, admission_actions &actions);
    void refuseUnservable(state::time_point now, admission_actions &actions);
    void scheduleAdvance(state::time_point now);
    std::vector<state::time_point> freeTimes(state::time_point now) const;

    cost_model m_costs;
    recent_demand m_demand;
    state::time_point m_nextTrialAt;
    std::uint64_t m_offeredArrival = 0; // arrival number of the item being offered; 0 outside offer()
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
    const bool hasNoSlots = plan.nextFree() == state::time_point::max();
    load.expectedWait = hasNoSlots ? microseconds::max() : duration_cast<microseconds>(plan.nextFree() - now);
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
    m_demand.recordOffer({work.cost, work.worth, work.density, isLong(work)}, now);
    m_offeredArrival = work.arrival;
    if (work.cost > item.deadline - now && allowsTrial(work.key, now)) {
        work.cost = duration_cast<microseconds>(item.deadline - now);
    }
    insert(work);
}

// In a class without completed runs, the cost is at least the time for which its running items have run so far.
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

// An estimate that is too high would refuse all work of a class and never be corrected. Therefore an item is run as a trial
// from time to time, although it is expected to miss its deadline: its run corrects the estimate.
bool worth_density::allowsTrial(cost_key key, state::time_point now)
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

void worth_density::processQueue(state::time_point now, admission_actions &actions)
{
    refuseTooLate(now, actions);
    demoteLate(now);
    startReady(now, actions);
    refuseOverflow(now, actions);
    refuseUnservable(now, actions);
    scheduleAdvance(now);
    m_offeredArrival = 0;
}

void worth_density::refuseTooLate(state::time_point now, admission_actions &actions)
{
    for (std::size_t index = 0; index < m_waiting.size();) {
        const waiting_work &work = m_waiting[index];
        if (meetsDeadline(work, now)) {
            ++index;
        } else {
            refuse(index, work.deadline <= now ? refusal_reason::expired_in_queue : refusal_reason::deadline_unreachable, now, actions);
        }
    }
}

// Demotes late items one at a time: each demotion lets other items start earlier, which may then meet their targets.
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

void worth_density::startReady(state::time_point now, admission_actions &actions)
{
    while (hasFreeSlot()) {
        const auto index = findStartable(now);
        if (!index) {
            return;
        }
        start(*index, now, actions);
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
    if (!isLong(work) || !m_demand.hasShortWork(now) || work.density >= m_demand.shortDensity(now)) {
        return true;
    }
    return static_cast<double>(runningLong(now)) + 1.0 <= slotsForLong(work, now);
}

// Slots are reserved for short work: its load plus a margin of the square root of the load, which keeps its waits short for
// any number of slots. Most of the margin is released gradually as the latest start of the long work approaches.
double worth_density::slotsForLong(const waiting_work &work, state::time_point now) const
{
    const double load = m_demand.shortLoad(now);
    const state::time_point latestStart = work.deadline - work.cost;
    const double marginShare
        = std::clamp(seconds(latestStart - now) / seconds(std::max(latestStart - work.offeredAt, state::duration(1))), MinMarginShare, 1.0);
    const double reserved = std::max(1.0, load + marginShare * std::sqrt(load));
    return static_cast<double>(m_limits.slots) - std::min(reserved, static_cast<double>(m_limits.slots));
}

std::size_t worth_density::runningLong(state::time_point now) const
{
    const state::duration threshold = LongFactor * m_costs.typical();
    return static_cast<std::size_t>(
        std::count_if(m_running.begin(), m_running.end(), [&](const auto &entry) { return entry.second.isLong || now - entry.second.startedAt > threshold; }));
}

void worth_density::refuseOverflow(state::time_point now, admission_actions &actions)
{
    while (m_waiting.size() > m_limits.maxQueued) {
        const waiting_work &last = m_waiting.back();
        m_demand.recordLowWorthRefusal(last.density, now);
        refuse(m_waiting.size() - 1, last.arrival == m_offeredArrival ? refusal_reason::queue_full : refusal_reason::low_worth, now, actions);
    }
}

void worth_density::refuseUnservable(state::time_point now, admission_actions &actions)
{
    slot_plan plan(freeTimes(now));
    const wait_forecast forecast(m_demand, m_limits.slots, now);
    const state::time_point firstFree = plan.nextFree();
    std::size_t kept = 0;
    for (const waiting_work &work : m_waiting) {
        const state::time_point start = plan.nextFree();
        if (meetsDeadline(work, forecast.startOf(work, start))) {
            plan.occupyUntil(start + work.cost);
            m_waiting[kept++] = work;
        } else if (meetsDeadline(work, firstFree)) {
            m_demand.recordLowWorthRefusal(work.density, now);
            refuseItem(work.id, refusal_reason::low_worth, now, actions);
        } else {
            refuseItem(work.id, refusal_reason::deadline_unreachable, now, actions);
        }
    }
    m_waiting.resize(kept);
}

void worth_density::scheduleAdvance(state::time_point now)
{
    m_nextAdvanceAt = state::time_point::max();
    for (const waiting_work &work : m_waiting) {
        m_nextAdvanceAt = std::min(m_nextAdvanceAt, work.deadline - work.cost + state::duration(1));
    }
    if (hasFreeSlot() && !m_waiting.empty()) {
        m_nextAdvanceAt = std::min(m_nextAdvanceAt, m_demand.changesAt(now));
    }
}

std::vector<state::time_point> worth_density::freeTimes(state::time_point now) const
{
    std::vector<state::time_point> times;
    times.reserve(std::max<std::size_t>(m_running.size(), m_limits.slots));
    for (const auto &[id, work] : m_running) {
        times.push_back(estimatedEnd(work, now));
    }
    if (times.size() > m_limits.slots) {
        std::sort(times.begin(), times.end(), std::greater<>());
    }
    times.resize(m_limits.slots, now);
    return times;
}

void worth_density::recordEnd(const running_work &work, work_result result, state::time_point now)
{
    const auto planned = duration_cast<microseconds>(work.expectedEnd - work.startedAt);
    const microseconds before = m_costs.estimate(work.key, planned);
    m_costs.learn({work.key, work.startedAt, now, result == work_result::answered});
    const microseconds after = m_costs.estimate(work.key, planned);
    if (after * 2 > before * 3 || before * 2 > after * 3) {
        m_demand.clearDensities();
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
        if (std::chrono::abs(cost - work.cost) * RefreshDivisor > work.cost) {
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
    const double loadPerSlot = m_demand.offeredLoad(now) / std::max(1U, m_limits.slots);
    const auto base = duration_cast<microseconds>(RetryDelay * std::clamp(loadPerSlot, 1.0, MaxLoadPerSlot));
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
