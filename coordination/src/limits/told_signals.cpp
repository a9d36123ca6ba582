#include <dandelionstall/coordination/limits/told_signals.h>

#include <algorithm>
#include <tuple>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::minutes UnlistedRetention{10}; // longer than entries of running workers are away while the platform's store is disturbed

const state::pool_worker *findRow(const state::pool_table &table, const worker_identity &who)
{
    const state::pool *pool = state::findPool(table, who.pool);
    if (pool == nullptr) {
        return nullptr;
    }
    const auto row = std::find_if(pool->workers.begin(), pool->workers.end(), [&](const state::pool_worker &worker) { return worker.id == who.worker; });
    return row == pool->workers.end() ? nullptr : &*row;
}

} // namespace

// [SECTION] Learning

told_events told_signals::recordAnswer(const worker_identity &who, std::optional<double> rate, bool leaving, state::time_point now)
{
    told_events events;
    const entry *known = find(who.worker);
    if ((!rate && !leaving) || (known != nullptr && known->who.lifetime > who.lifetime)) {
        return events;
    }
    entry &current = remember(who, now, events);
    if (rate) {
        setRate(current, *rate, now, events);
    }
    if (leaving) {
        setLeaving(current, now, events);
    }
    return events;
}

told_events told_signals::recordReport(const worker_report &report, state::time_point now)
{
    told_events events;
    const entry *known = find(report.worker);
    const bool limited = report.limit == limit_knowledge::limited;
    const bool tells = limited || report.workerLeaving;
    if (known == nullptr && !tells) {
        return events;
    }
    const bool isOlder = known != nullptr && std::tuple(report.incarnation, report.version) < std::tuple(known->incarnation, known->version);
    const bool isEarlierLifetime = known != nullptr && tells && known->who.lifetime > report.lifetime;
    if (isOlder || isEarlierLifetime) {
        return events;
    }
    const std::uint64_t lifetime = tells ? report.lifetime : known->who.lifetime;
    entry &current = remember({report.worker, report.pool, lifetime}, now, events);
    current.incarnation = report.incarnation;
    current.version = report.version;
    if (limited) {
        setRate(current, report.rateLimit, now, events);
        current.noRoomUntil = now + report.roomAfter;
    } else if (report.limit == limit_knowledge::none) {
        endLimit(current, events);
    }
    if (report.workerLeaving) {
        setLeaving(current, now, events);
    }
    return events;
}

told_events told_signals::applyTable(const state::pool_table &table, state::time_point now)
{
    told_events events;
    for (auto &[id, known] : m_entries) {
        const state::pool_worker *row = findRow(table, known.who);
        if (row == nullptr) {
            continue;
        }
        known.listedAt = now;
        if (row->startedAtMs > known.who.lifetime) {
            remember({id, known.who.pool, row->startedAtMs}, now, events);
        }
    }
    std::erase_if(m_entries, [now](const auto &item) { return item.second.listedAt + UnlistedRetention <= now; });
    return events;
}

told_signals::entry &told_signals::remember(const worker_identity &who, state::time_point now, told_events &events)
{
    entry &known = m_entries[who.worker];
    if (known.who.lifetime < who.lifetime) {
        endLimit(known, events);
        if (known.leavingUntil > now) {
            events.push_back({told_change::leaving_ended, who.worker});
        }
        known.leavingUntil = {};
        known.noRoomUntil = {};
    }
    known.who = who;
    known.listedAt = now;
    return known;
}

void told_signals::setRate(entry &known, double rate, state::time_point now, told_events &events)
{
    if (known.gate && known.gate->rate() == rate) {
        return;
    }
    if (known.gate) {
        known.gate->setRate(rate);
    } else {
        known.gate.emplace(rate, now);
    }
    events.push_back({told_change::limit, known.who.worker, rate});
}

void told_signals::setLeaving(entry &known, state::time_point now, told_events &events)
{
    if (known.leavingUntil <= now) {
        events.push_back({told_change::leaving, known.who.worker});
    }
    known.leavingUntil = leavingUntil(known.who.lifetime, now);
}

void told_signals::endLimit(entry &known, told_events &events)
{
    if (known.gate) {
        known.gate.reset();
        known.noRoomUntil = {};
        events.push_back({told_change::limit_ended, known.who.worker});
    }
}

// [SECTION] Use

told_signals::entry *told_signals::find(std::string_view worker)
{
    const auto found = m_entries.find(worker);
    return found == m_entries.end() ? nullptr : &found->second;
}

const told_signals::entry *told_signals::find(std::string_view worker) const
{
    const auto found = m_entries.find(worker);
    return found == m_entries.end() ? nullptr : &found->second;
}

bool told_signals::isLeaving(std::string_view worker, state::time_point now) const
{
    const entry *known = find(worker);
    return known != nullptr && known->leavingUntil > now;
}

std::optional<told_limit> told_signals::limitOf(std::string_view worker) const
{
    const entry *known = find(worker);
    return known != nullptr && known->gate ? std::optional(told_limit{known->gate->rate(), known->who.lifetime}) : std::nullopt;
}

state::time_point told_signals::roomAt(std::string_view worker, state::time_point now) const
{
    const entry *known = find(worker);
    return known != nullptr && known->gate ? std::max(known->gate->roomAt(now), known->noRoomUntil) : now;
}

bool told_signals::mayUse(std::string_view worker, state::time_point now) const
{
    return !isLeaving(worker, now) && roomAt(worker, now) <= now;
}

void told_signals::recordSent(std::string_view worker, state::time_point now)
{
    if (entry *known = find(worker); known != nullptr && known->gate) {
        known->gate->count(now);
    }
}

void told_signals::recordRefused(std::string_view worker)
{
    if (entry *known = find(worker); known != nullptr && known->gate) {
        known->gate->discount();
    }
}

state::time_point told_signals::promiseRoom(std::string_view worker, state::time_point now)
{
    entry *known = find(worker);
    return known != nullptr && known->gate ? std::max(known->gate->promiseRoom(now), known->noRoomUntil) : now;
}

std::size_t told_signals::size() const
{
    return m_entries.size();
}

} // namespace dandelionstall::coordination
