// Decisions. Reports to coordinators: rate_client_reports.cpp.
#include <dandelionstall/coordination/rates/rate_client.h>

#include <algorithm>
#include <cmath>

namespace dandelionstall::coordination {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds AnswerTimeout{200};       // without an answer for so long, this node is on its own
constexpr std::chrono::milliseconds AnswerTime{1000};         // an answer of a coordinator counts before that of a younger one for so long
constexpr double MinCredit = 6;                               // requests without an answer that may be let through
constexpr std::chrono::duration<double> CreditTime = 500ms;   // or those that this node lets through in this time, if more
constexpr std::chrono::duration<double> OwnBurstTime = 500ms; // what it may let through at once then, as time at its own rate
constexpr std::chrono::duration<double> MixSpan = 5s;
constexpr std::chrono::duration<double> LoadSpan = 1s;
constexpr double ReportedPerSecond = 12; // requests of a node that are reported one by one; of more than that, a sample is
constexpr double SparseRate = 4;         // requests per second of one organisation at this node; those with more are reported in full
constexpr double EvenPart = 0.25;        // of what is let through, part that is dealt evenly to all urgencies
constexpr std::chrono::duration<double> ShortestRetry = 250ms;
constexpr std::chrono::duration<double> LongestRetry = 5s;

std::size_t urgencyOf(std::uint32_t priority)
{
    return std::min<std::size_t>(priority, 2);
}

double toUnit(std::uint32_t random)
{
    return static_cast<double>(random) / 4294967296.0;
}

} // namespace

namespace detail {

double effectiveFraction(double stated, state::duration age)
{
    constexpr std::chrono::duration<double> FullTime = 1s;
    constexpr std::chrono::duration<double> FadeTime = 4s;
    const double faded = (std::chrono::duration<double>(age) - FullTime) / FadeTime;
    return stated + (1.0 - stated) * std::clamp(faded, 0.0, 1.0);
}

} // namespace detail

rate_client::rate_client(std::uint64_t seed)
    : m_random(seed)
{ }

void rate_client::setFleet(std::size_t knownNodes, bool isAlone)
{
    m_knownNodes = std::max<std::size_t>(knownNodes, 1);
    m_isAlone = isAlone && knownNodes > 1;
}

rate_client::entry &rate_client::find(std::string_view organisation, state::time_point now)
{
    const auto [found, added] = m_entries.try_emplace(std::string(organisation));
    entry &known = found->second;
    if (added) {
        known.session = m_random() | 1U;
        known.ownTokens = toUnit(m_random()); // so that nodes on their own don't let through one request each at once
        known.ownTokensAt = state::time_point::max();
        std::generate(known.passes.begin(), known.passes.end(), [this] { return toUnit(m_random()); });
        known.usedAt = now;
    }
    return known;
}

rate_decision rate_client::decide(std::string_view organisation, const organisation_limit &limit, std::uint32_t priority, state::time_point now)
{
    rate_decision decision;
    if (limit.rate <= 0.0) {
        return decision;
    }
    entry &known = find(organisation, now);
    known.usedAt = now;
    known.requestedAt = now;
    known.rate = limit.rate;
    m_offeredByUrgency[urgencyOf(priority)].add(1.0, MixSpan, now);
    decision.fraction = statedFraction(known, now);
    known.offeredRate.add(1.0, LoadSpan, now);
    const std::uint64_t weight = drawWeight(decision.fraction < 1.0 || known.offeredRate.at(LoadSpan, now) >= SparseRate, now);
    known.counts.offered += weight;
    decision.onOwnShare = isOnOwn(known, now);
    if (known.answeredAt != state::time_point{}) {
        decision.age = std::chrono::duration_cast<std::chrono::milliseconds>(now - known.answeredAt);
    }
    if (decision.onOwnShare) {
        decision.admitted = takeOwnToken(known, limit, now);
    } else {
        known.ownTokensAt = state::time_point::max();
        decision.admitted = passes(known, decision.fraction, priority, now);
    }
    if (decision.admitted) {
        if (known.counts.admitted == known.answered) {
            known.unansweredSince = now;
        }
        known.counts.admitted += weight;
        return decision;
    }
    const std::chrono::duration<double> wait = std::clamp(ShortestRetry / std::max(decision.fraction, 0.01), ShortestRetry, LongestRetry);
    decision.retryAt = now + std::chrono::duration_cast<state::duration>(wait * (0.5 + toUnit(m_random())));
    return decision;
}

void rate_client::recordNotRun(std::string_view organisation)
{
    const auto found = m_entries.find(std::string(organisation));
    if (found != m_entries.end() && (m_weight <= 1 || m_random(static_cast<std::uint32_t>(m_weight)) == 0)) {
        found->second.counts.returned += m_weight;
    }
}

std::uint64_t rate_client::drawWeight(bool inFull, state::time_point now)
{
    if (inFull) {
        return 1;
    }
    m_sparse.add(1.0, LoadSpan, now);
    m_weight = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(m_sparse.at(LoadSpan, now) / ReportedPerSecond)));
    if (m_weight == 1) {
        return 1;
    }
    return m_random(static_cast<std::uint32_t>(m_weight)) == 0 ? m_weight : 0;
}

// ---- Without a coordinator ----

bool rate_client::isOnOwn(const entry &known, state::time_point now) const
{
    const std::uint64_t unanswered = known.counts.admitted - known.answered;
    const bool isLate = unanswered > 0 && now >= known.unansweredSince + AnswerTimeout;
    const bool isPaused = now >= m_tickedAt + detail::PauseTime;
    const bool isCautious = now < m_cautiousUntil && known.answeredAt <= m_cautiousSince;
    return m_isAlone || isPaused || isCautious || isLate || static_cast<double>(unanswered) >= creditOf(known);
}

double rate_client::creditOf(const entry &known) const
{
    return std::max({MinCredit, 2.0 * static_cast<double>(m_weight), known.share * known.rate * CreditTime.count()});
}

bool rate_client::takeOwnToken(entry &known, const organisation_limit &limit, state::time_point now)
{
    const bool knowsShare = known.share > 0.0 && now < known.answeredAt + detail::ShareTime;
    const double rate = knowsShare ? known.share * limit.rate : limit.rate / static_cast<double>(m_knownNodes);
    if (known.ownTokensAt != state::time_point::max()) {
        known.ownTokens += rate * std::chrono::duration<double>(now - known.ownTokensAt).count();
    }
    known.ownTokensAt = now;
    known.ownTokens = std::min(known.ownTokens, std::max(1.0, rate * OwnBurstTime.count()));
    if (known.ownTokens < 1.0) {
        return false;
    }
    known.ownTokens -= 1.0;
    return true;
}

// ---- With a coordinator ----

// The lowest that a coordinator has stated. What all nodes were told, and what earlier coordinators have stated, counts until one answers
// that knows the organisation.
double rate_client::statedFraction(const entry &known, state::time_point now)
{
    const auto knows = [now](const coordinator_link &link) {
        return !link.isYoung && now < link.fractionAt + AnswerTime;
    };
    const bool anyKnows = std::any_of(known.links.begin(), known.links.end(), knows);
    double fraction = 1.0;
    state::time_point newest;
    for (const coordinator_link &link : known.links) {
        if (link.fractionAt != state::time_point{} && !(link.isYoung && anyKnows)) {
            fraction = std::min(fraction, detail::effectiveFraction(link.fraction, now - link.fractionAt));
            newest = std::max(newest, link.fractionAt);
        }
    }
    const double told = detail::effectiveFraction(known.toldFraction, now - known.toldAt);
    if (known.toldAt > newest) {
        return told;
    }
    return anyKnows ? fraction : std::min(fraction, told);
}

bool rate_client::passes(entry &known, double fraction, std::uint32_t priority, state::time_point now)
{
    if (fraction >= 1.0) {
        return true;
    }
    const std::size_t urgency = urgencyOf(priority);
    double &pass = known.passes[urgency];
    pass += fractionOf(fraction, urgency, now);
    if (pass < 1.0) {
        return false;
    }
    pass -= 1.0;
    return true;
}

// Deals what may pass to the most urgent requests first, by the mix that this node is offered.
double rate_client::fractionOf(double fraction, std::size_t urgency, state::time_point now) const
{
    std::array<double, 3> offered{};
    double total = 0.0;
    for (std::size_t i = 0; i < offered.size(); ++i) {
        offered[i] = m_offeredByUrgency[i].at(MixSpan, now);
        total += offered[i];
    }
    double left = fraction * total * (1.0 - EvenPart);
    for (std::size_t i = 0; i < urgency; ++i) {
        left -= std::min(left, offered[i] * (1.0 - fraction * EvenPart));
    }
    return std::min(1.0, fraction * EvenPart + left / std::max(offered[urgency], 1e-9));
}

std::size_t rate_client::size() const
{
    return m_entries.size();
}

} // namespace dandelionstall::coordination
