// What a node reports to the coordinators of organisations, and what they answer.
#include <dandelionstall/coordination/rates/rate_client.h>

#include <algorithm>

namespace dandelionstall::coordination {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds ReportInterval{40};        // between two reports to the first coordinator, at least
constexpr std::chrono::milliseconds SecondReportInterval{500}; // to the second one, unless the organisation is limited or the first one is silent
constexpr std::chrono::milliseconds RepeatInterval{100};       // of a report without an answer
constexpr std::uint32_t MaxRepeats = 20;
constexpr std::chrono::milliseconds CautiousTime{2000};   // after the start or a pause, time for coordinators to answer
constexpr std::chrono::milliseconds LimitedInterval{100}; // between reports about an organisation that is over its rate, also without news
constexpr std::chrono::microseconds ToldSpacing{900};     // between two reports at a coordinator, of all nodes without requests of the organisation
constexpr std::chrono::seconds LimitedTime{2};            // after its last request
constexpr std::chrono::seconds IdleTime{10};              // an organisation without requests for so long is forgotten

constexpr std::chrono::milliseconds SilentAfter{250};  // a coordinator without an answer for so long is silent
constexpr std::chrono::milliseconds ContactTime{2000}; // for which a coordinator counts after it was asked
constexpr std::size_t FewSilent = 2;                   // coordinators that are silent for reasons of their own

// Messages to one node.
struct packed_messages {
    std::vector<rate_message> messages;
    std::size_t lastBytes = 0; // of the rows of the last one
};

} // namespace

std::vector<outgoing_rates> rate_client::makeReports(const rate_ring &ring, state::time_point now)
{
    if (now >= m_tickedAt + detail::PauseTime) {
        m_cautiousSince = now;
        m_cautiousUntil = now + CautiousTime;
    }
    m_tickedAt = now;
    std::erase_if(m_entries, [now](const auto &row) { return row.second.usedAt + IdleTime < now; });
    std::erase_if(m_contacts, [now](const auto &row) { return row.second.askedAt + ContactTime < now; });
    std::map<state::node_address, packed_messages> messages;
    for (auto &[organisation, known] : m_entries) {
        follow(known, organisation, ring, now);
        for (std::size_t i = 0; i < known.links.size(); ++i) {
            coordinator_link &link = known.links[i];
            if (!isDue(known, link, i == 0, now)) {
                continue;
            }
            packed_messages &packed = messages[link.node];
            if (packed.messages.empty() || !fitsRates(packed.lastBytes, organisation)) {
                packed.messages.emplace_back();
                packed.lastBytes = 0;
            }
            packed.lastBytes += RateRowBytes + organisation.size();
            packed.messages.back().reports.push_back(makeReport(known, organisation, link, now));
        }
    }
    std::vector<outgoing_rates> out;
    for (auto &[node, packed] : messages) {
        contact &asked = m_contacts[node];
        asked.askedAt = now;
        asked.unansweredSince = asked.unansweredSince == state::time_point{} ? now : asked.unansweredSince;
        for (rate_message &message : packed.messages) {
            out.push_back({node, std::move(message)});
        }
    }
    return out;
}

// A coordinator that moves to another place keeps what it has been sent and has stated.
void rate_client::follow(entry &known, const std::string &organisation, const rate_ring &ring, state::time_point now)
{
    if (known.ringVersion == ring.version()) {
        return;
    }
    known.ringVersion = ring.version();
    known.toldFraction = statedFraction(known, now); // until a new coordinator answers
    known.toldAt = now;
    const std::array<coordinator_link, RateCoordinators> before = known.links;
    const auto coordinators = ring.coordinatorsOf(organisation);
    for (std::size_t i = 0; i < known.links.size(); ++i) {
        const state::node_address node = coordinators[i] == nullptr ? state::node_address{} : *coordinators[i];
        const auto earlier = std::find_if(before.begin(), before.end(), [&](const coordinator_link &link) { return link.node == node; });
        known.links[i] = earlier != before.end() ? *earlier : coordinator_link{.node = node, .answered = known.answered};
    }
}

bool rate_client::isDue(const entry &known, const coordinator_link &link, bool isFirst, state::time_point now) const
{
    if (link.node.port == 0) {
        return false;
    }
    const bool isLimited = statedFraction(known, now) < 1.0;
    if (link.reported == known.counts && isLimited && now < known.usedAt + LimitedTime) {
        return now >= link.reportedAt + limitedInterval(known);
    }
    if (link.reported == known.counts) {
        return link.repeats > 0 && link.repeats <= MaxRepeats && now >= link.reportedAt + RepeatInterval;
    }
    const bool onlyReturned = link.reported.offered == known.counts.offered && link.reported.admitted == known.counts.admitted;
    const bool isSilent = known.counts.admitted > known.answered && now >= known.unansweredSince + RepeatInterval;
    const bool isUrgent = !onlyReturned && (isFirst || isSilent || isLimited);
    return now >= link.reportedAt + (isUrgent ? ReportInterval : SecondReportInterval);
}

// Nodes that were only told of the organisation share a number of reports.
state::duration rate_client::limitedInterval(const entry &known) const
{
    if (known.requestedAt != state::time_point{}) {
        return LimitedInterval;
    }
    return std::max<state::duration>(LimitedInterval, m_knownNodes * ToldSpacing);
}

rate_report rate_client::makeReport(const entry &known, const std::string &organisation, coordinator_link &link, state::time_point now)
{
    link.reported = known.counts;
    link.reportedAt = now;
    ++link.repeats;
    const bool knowsShare = now < known.answeredAt + detail::ShareTime;
    return {organisation,
            known.session,
            known.counts.offered,
            known.counts.admitted,
            known.counts.returned,
            known.counts.admitted - link.answered,
            knowsShare ? static_cast<float>(known.share) : 0.0F};
}

void rate_client::receive(const state::node_address &from, const rate_grant &grant, state::time_point now)
{
    if (grant.session == 0) {
        receiveUnasked(grant, now);
        return;
    }
    const auto asked = m_contacts.find(from);
    if (asked != m_contacts.end()) {
        asked->second.unansweredSince = {};
    }
    const auto found = m_entries.find(grant.organisation);
    if (found == m_entries.end() || found->second.session != grant.session || grant.admitted > found->second.counts.admitted) {
        return;
    }
    entry &known = found->second;
    if (!grant.isYoung || now >= known.answeredAt + detail::ShareTime) { // a young one knows only some of the nodes
        known.share = std::clamp<double>(grant.share, 0.0, 1.0);
    }
    known.answeredAt = now;
    if (grant.admitted > known.answered) {
        known.answered = grant.admitted;
        known.unansweredSince = now;
    }
    for (coordinator_link &link : known.links) {
        if (link.node == from) {
            link.repeats = 0;
            link.answered = std::max(link.answered, grant.admitted);
            link.fraction = std::clamp<double>(grant.fraction, 0.0, 1.0);
            link.fractionAt = now;
            link.isYoung = grant.isYoung;
        }
    }
}

void rate_client::receiveUnasked(const rate_grant &grant, state::time_point now)
{
    const bool isKnown = m_entries.contains(grant.organisation);
    if (!isKnown && grant.fraction >= 1.0F) {
        return;
    }
    entry &known = find(grant.organisation, now);
    known.toldFraction = std::clamp<double>(grant.fraction, 0.0, 1.0);
    known.toldAt = now;
}

double rate_client::answeringShare(state::time_point now) const
{
    std::size_t silent = 0;
    for (const auto &[node, asked] : m_contacts) {
        silent += asked.unansweredSince != state::time_point{} && now >= asked.unansweredSince + SilentAfter ? 1 : 0;
    }
    return silent <= FewSilent ? 1.0 : 1.0 - static_cast<double>(silent) / static_cast<double>(m_contacts.size());
}

} // namespace dandelionstall::coordination
