#include <dandelionstall/coordination/rates/rate_coordinator.h>

#include <algorithm>

namespace dandelionstall::coordination {

using namespace std::chrono_literals;

namespace {

constexpr double BurstPart = 0.80; // of the burst, and of the allowed excess: what may be let through at once
constexpr double ExcessPart = 0.05;
constexpr double ReservePart = 0.02;                       // of the burst: what is left when not all may pass any more
constexpr double UnknownLoadTimes = 2;                     // the rate: what a coordinator takes for offered when it begins
constexpr double SurgeTimes = 2.5;                         // the rate: when more is offered, the level is used up slowly
constexpr std::chrono::duration<double> DrainTime = 800ms; // in which the level may be used up
constexpr std::chrono::duration<double> LongSpan = 500ms;  // averaging times of the offered rate
constexpr std::chrono::duration<double> ShortestSpan = 150ms;
constexpr std::chrono::duration<double> LongestShortSpan = 1s;
constexpr double RequestsOfShortSpan = 8;               // at the rate
constexpr std::chrono::duration<double> ShareSpan = 1s; // for the parts of the reporters
constexpr std::chrono::seconds GapTime{2};              // after a longer gap, a node has reported to others meanwhile
constexpr std::chrono::seconds IdleTime{10};
constexpr std::chrono::milliseconds NoticeInterval{300};
constexpr std::chrono::seconds WindowTime{5};         // at least the window of the rule
constexpr std::chrono::milliseconds YoungTime{2000};  // in which all nodes learn of the same change of members
constexpr std::chrono::milliseconds SilentAfter{250}; // two intervals of reports and their delay
constexpr std::chrono::milliseconds SilentTime{2000}; // by then, the members show who is lost
constexpr std::chrono::milliseconds PartInterval{50};

std::chrono::duration<double> shortSpanOf(const organisation_limit &limit)
{
    return std::clamp(std::chrono::duration<double>(RequestsOfShortSpan / limit.rate), ShortestSpan, LongestShortSpan);
}

double depthOf(const organisation_limit &limit)
{
    return BurstPart * limit.burst + ExcessPart * limit.excess;
}

} // namespace

void rate_coordinator::setShare(double share, std::size_t knownNodes, state::time_point now)
{
    m_share = std::clamp(share, 0.0, 1.0);
    m_knownNodes = std::max<std::size_t>(knownNodes, 1);
    for (auto &[name, known] : m_entries) {
        refill(known, now);
        updatePart(known, now);
    }
}

void rate_coordinator::recordRoleChange(state::time_point now)
{
    m_roleSince = now;
    for (auto &[name, known] : m_entries) {
        known.knowsAllFrom = now + WindowTime;
    }
}

double rate_coordinator::share() const
{
    return m_share;
}

rate_coordinator::entry &rate_coordinator::find(const std::string &organisation, const organisation_limit &limit, state::time_point now)
{
    const auto [found, added] = m_entries.try_emplace(organisation);
    entry &known = found->second;
    if (added) {
        const double since = std::chrono::duration<double>(now - m_roleSince - YoungTime).count();
        known.limit = limit;
        known.part = m_share;
        known.level = m_share * std::min(depthOf(limit), ExcessPart * limit.excess + limit.rate * std::max(0.0, since));
        known.levelAt = now;
        known.youngUntil = m_roleSince + YoungTime;
        known.knowsAllFrom = m_roleSince + WindowTime;
        if (now < known.youngUntil) { // of the load, too, it knows nothing yet
            known.offeredLong.add(UnknownLoadTimes * limit.rate * LongSpan.count(), LongSpan, now);
        }
        known.nextNoticeAt = state::time_point::max();
    }
    refill(known, now);
    if (known.limit != limit) {
        known.limit = limit;
        known.level = std::min(known.level, known.part * depthOf(known.limit));
    }
    return known;
}

void rate_coordinator::refill(entry &known, state::time_point now)
{
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - known.levelAt).count());
    known.level = std::min(known.level + refillRate(known, now) * seconds, known.part * depthOf(known.limit));
    known.levelAt = now;
}

// An organisation that has used up its burst may use rate and burst in each window again, as long as this coordinator can have missed
// nothing: it has been one for a window, and no node is lost.
double rate_coordinator::refillRate(const entry &known, state::time_point now)
{
    const bool knowsAll = known.part >= 1.0 && now >= known.knowsAllFrom;
    return knowsAll && known.level <= ReservePart * known.limit.burst ? known.limit.fullRate : known.part * known.limit.rate;
}

// ---- Which part of rate and burst this coordinator has ----

// A young coordinator doesn't know yet whether others have been chosen beside it: it has the part of the nodes that report to it. Later,
// nodes that have just gone silent may be on the other side of a partition and keep to their own parts.
void rate_coordinator::updatePart(entry &known, state::time_point now) const
{
    const double before = known.part;
    known.partAt = now;
    known.part = std::min(m_share, 1.0 - silentShare(known, now));
    known.knownPart = now < known.youngUntil ? reportedShare(known) : 1.0;
    if (known.part < before && known.level > 0.0) {
        known.level *= known.part / before; // the others have a level, too
    }
}

double rate_coordinator::reportedShare(const entry &known) const
{
    double sum = 0.0;
    for (const auto &[node, sender] : known.reporters) {
        sum += sender.share > 0.0 ? sender.share : 1.0 / static_cast<double>(m_knownNodes);
    }
    return std::min(sum, 1.0);
}

// While the organisation is over its rate, all nodes with requests of it report in LimitedInterval of rate_client.
double rate_coordinator::silentShare(const entry &known, state::time_point now)
{
    const double all = known.admitted.at(ShareSpan, now);
    if (known.fraction >= 1.0 || all <= 0.0) {
        return 0.0;
    }
    double silent = 0.0;
    for (const auto &[node, sender] : known.reporters) {
        const bool isSilent = now >= std::max(sender.reportedAt, known.limitedSince) + SilentAfter && now < sender.reportedAt + SilentTime;
        silent += isSilent ? sender.admittedRate.at(ShareSpan, sender.reportedAt) : 0.0;
    }
    return std::min(1.0, silent / std::max(all, silent));
}

// ---- Reports ----

rate_coordinator::report_counts rate_coordinator::countNew(reporter &sender, const rate_report &report, state::time_point now)
{
    report_counts counts;
    const bool continues = sender.session == report.session && sender.reportedAt + GapTime > now;
    if (continues) {
        counts.over = now - sender.reportedAt;
        counts.offered = static_cast<double>(report.offered - std::min(report.offered, sender.offered));
        counts.admitted = static_cast<double>(report.admitted - std::min(report.admitted, sender.admitted));
        counts.returned = static_cast<double>(report.returned - std::min(report.returned, sender.returned));
        sender.offered = std::max(sender.offered, report.offered);
        sender.admitted = std::max(sender.admitted, report.admitted);
        sender.returned = std::max(sender.returned, report.returned);
    } else {
        counts.admitted = static_cast<double>(std::min(report.unanswered, report.admitted));
        counts.offered = counts.admitted;
        sender.session = report.session;
        sender.offered = report.offered;
        sender.admitted = report.admitted;
        sender.returned = report.returned;
    }
    sender.reportedAt = now;
    sender.admittedRate.addSpread(counts.admitted, counts.over, ShareSpan, now);
    return counts;
}

rate_grant rate_coordinator::record(const state::node_address &from, const rate_report &report, const organisation_limit &limit, state::time_point now)
{
    rate_grant grant{report.organisation, report.session, report.admitted, 1.0F, 0.0F, false};
    if (limit.rate <= 0.0) {
        return grant;
    }
    entry &known = find(report.organisation, limit, now);
    reporter &sender = known.reporters[from];
    const report_counts counts = countNew(sender, report, now);
    sender.share = report.share;
    known.reportedAt = now;
    if (now >= known.partAt + PartInterval) {
        updatePart(known, now);
    }
    known.offeredLately.addSpread(counts.offered, counts.over, shortSpanOf(limit), now);
    known.offeredLong.addSpread(counts.offered, counts.over, LongSpan, now);
    known.admitted.addSpread(counts.admitted, counts.over, ShareSpan, now);
    const double givenBack = counts.returned * std::min(1.0, known.part * limit.rate / std::max(offeredRate(known, now), 1e-9));
    known.level = std::clamp(known.level - counts.admitted + givenBack, -known.part * limit.excess, known.part * depthOf(known.limit));
    updateFraction(known, now);
    grant.fraction = static_cast<float>(known.fraction);
    grant.isYoung = now < known.youngUntil;
    const double all = known.admitted.at(ShareSpan, now);
    const double share = all > 0.0 ? std::min(1.0, sender.admittedRate.at(ShareSpan, now) / all) : 0.0;
    grant.share = static_cast<float>(known.part * share);
    return grant;
}

double rate_coordinator::offeredRate(const entry &known, state::time_point now)
{
    return std::max(known.offeredLately.at(shortSpanOf(known.limit), now), known.offeredLong.at(LongSpan, now));
}

void rate_coordinator::updateFraction(entry &known, state::time_point now)
{
    const double before = known.fraction;
    const double rate = refillRate(known, now);
    const double allowed = known.knownPart * (rate + known.level / DrainTime.count());
    const double offered = offeredRate(known, now);
    const bool hasRoom = known.level >= known.part * ReservePart * known.limit.burst && offered <= SurgeTimes * known.knownPart * rate;
    known.fraction = hasRoom ? 1.0 : std::clamp(allowed / std::max(offered, 1e-9), 0.0, 1.0);
    if (before >= 1.0 && known.fraction < 1.0) {
        known.limitedSince = now;
    }
    if ((before < 1.0) != (known.fraction < 1.0)) {
        known.nextNoticeAt = std::min(known.nextNoticeAt, now); // also when all may pass again
    }
}

std::vector<rate_grant> rate_coordinator::consumeNotices(state::time_point now)
{
    std::vector<rate_grant> notices;
    for (auto &[organisation, known] : m_entries) {
        if (known.nextNoticeAt > now) {
            continue;
        }
        refill(known, now);
        updateFraction(known, now);
        notices.push_back({organisation, 0, 0, static_cast<float>(known.fraction), 0.0F, false});
        known.nextNoticeAt = known.fraction < 1.0 ? now + NoticeInterval : state::time_point::max();
    }
    return notices;
}

void rate_coordinator::expire(state::time_point now)
{
    std::erase_if(m_entries, [now](const auto &row) { return row.second.reportedAt + IdleTime < now; });
    for (auto &[organisation, known] : m_entries) {
        std::erase_if(known.reporters, [now](const auto &row) { return row.second.reportedAt + IdleTime < now; });
    }
}

std::size_t rate_coordinator::size() const
{
    return m_entries.size();
}

} // namespace dandelionstall::coordination
