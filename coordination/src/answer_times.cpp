#include <dandelionstall/coordination/answer_times.h>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

using seconds = std::chrono::duration<double>;

constexpr std::uint32_t LeastAnswers = 10;          // fewer tell less than the worker's report
constexpr double Quantile = 0.95;                   // of the answers take less than the usual time
constexpr double Step = 0.05;                       // by which one answer moves the estimate, as a share of it
constexpr double StartFactor = 2.0;                 // of the first answer
constexpr int ReportFactor = 2;                     // from a typical run time to the usual time of an answer
constexpr double LateFactor = 2.5;                  // times the usual time, an attempt is late
constexpr std::chrono::milliseconds LateMargin{30}; // on top, for short work
constexpr double RunFactor = 1.2;                   // times the usual time, another attempt needs
constexpr seconds LeastTime{0.001};                 // of the estimate

} // namespace

void answer_times::noteAnswer(std::string_view route, state::duration time)
{
    const double sample = seconds(time).count();
    auto known = m_routes.find(route);
    if (known == m_routes.end()) {
        known = m_routes.emplace(route, route_times{0, sample * StartFactor}).first;
    }
    route_times &times = known->second;
    if (sample > times.high) {
        times.high += Step * Quantile * std::max(times.high, sample - times.high); // far off, it follows in a few answers
    } else {
        times.high *= 1.0 - Step * (1.0 - Quantile);
    }
    times.high = std::max(times.high, LeastTime.count());
    ++times.answers;
}

state::duration answer_times::usual(std::string_view route) const
{
    const auto known = m_routes.find(route);
    const bool learned = known != m_routes.end() && known->second.answers >= LeastAnswers;
    return learned ? std::chrono::duration_cast<state::duration>(seconds(known->second.high)) : state::duration::zero();
}

state::time_point answer_times::lateAt(const running_attempt &attempt) const
{
    const state::duration learned = usual(attempt.route);
    const state::duration reported = attempt.runTime; // of all routes: a route that has become longer shows there first
    const state::duration time = learned > state::duration::zero() ? std::max(learned, reported) : reported * ReportFactor;
    if (time == state::duration::zero()) {
        return state::time_point::max();
    }
    const auto patience = std::chrono::duration_cast<state::duration>(time * LateFactor);
    const state::time_point late = attempt.placedAt + attempt.expectedWait + patience + LateMargin;
    const auto another = std::chrono::duration_cast<state::duration>(time * RunFactor);
    return late + another <= attempt.deadline ? late : state::time_point::max();
}

} // namespace dandelionstall::coordination
