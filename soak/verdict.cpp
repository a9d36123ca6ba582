#include "verdict.h"

#include <limit_check.h>
#include <load_report.h>

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace dandelionstall::soak {

namespace {

using standins::call_record;
using standins::violation;
using std::chrono::microseconds;

constexpr std::chrono::seconds LeavingTime{2}; // a node that has been told that a worker leaves sends it nothing more after this

bool overlaps(const node_span &span, microseconds from, microseconds until)
{
    const bool ongoing = span.until.count() == 0;
    return span.from <= until && (ongoing || span.until >= from);
}

bool isHit(const std::vector<node_span> &spans, std::size_t node, const call_record &call)
{
    return std::any_of(spans.begin(), spans.end(), [&](const node_span &span) { return span.node == node && overlaps(span, call.sent, call.answered); });
}

void checkStops(const soak_evidence &evidence, std::vector<violation> &found)
{
    for (const call_record &call : evidence.observed.calls) {
        const auto calledNode = std::find(evidence.callers.begin(), evidence.callers.end(), call.node);
        const bool endedByCaller = call.reason == "timeout" || call.reason == "left";
        const bool cut = call.status == 0 && call.run.empty() && !endedByCaller;
        if (!cut || calledNode == evidence.callers.end()) {
            continue;
        }
        const auto node = static_cast<std::size_t>(calledNode - evidence.callers.begin());
        if (isHit(evidence.injected.stops, node, call) && !isHit(evidence.injected.disturbances, node, call)) {
            found.push_back({"stop_cut", call.id, fmt::format("sent to {}, ended with {}", call.node, call.reason)});
        }
    }
}

void checkRecovery(const soak_evidence &evidence, std::vector<violation> &found)
{
    if (evidence.callsAfterRecovery.empty()) {
        return;
    }
    for (const auto &[name, each] : standins::summarize(evidence.callsAfterRecovery).classes) {
        const double share = each.requests == 0 ? 1.0 : static_cast<double>(each.useful) / static_cast<double>(each.requests);
        if (share < RecoveredShare) {
            found.push_back({"recovery", name, fmt::format("{:.3f} of {} requests useful after the last fault", share, each.requests)});
        }
    }
}

// Starts of the processes of the nodes, by their addresses for callers.
standins::node_starts startsOf(const soak_evidence &evidence)
{
    standins::node_starts starts;
    for (const std::vector<node_span> *spans : {&evidence.injected.stops, &evidence.injected.disturbances}) {
        for (const node_span &span : *spans) {
            starts[evidence.callers.at(span.node)].push_back(span.from);
        }
    }
    return starts;
}

void checkStatements(const soak_evidence &evidence, std::vector<violation> &found)
{
    std::set<std::string> workers;
    for (const standins::statement &each : evidence.observed.workers.statements) {
        workers.insert(each.worker);
    }
    const standins::node_starts starts = startsOf(evidence);
    for (const std::string &worker : workers) {
        const standins::limit_usage usage = standins::findFullestWindow(evidence.observed, worker, starts);
        if (static_cast<double>(usage.arrivals) > usage.allowed) {
            found.push_back(
                {"rate_limit", "-", fmt::format("{} got {} requests in 4 s, {:.1f} allowed: {}", worker, usage.arrivals, usage.allowed, usage.kinds)});
        }
        for (const standins::arrival &late : standins::findLateArrivals(evidence.observed, worker, LeavingTime, starts)) {
            found.push_back({"leaving_stated", late.id, fmt::format("reached {} although its node had been told", worker)});
        }
    }
}

} // namespace

std::vector<violation> findBrokenPromises(const soak_evidence &evidence)
{
    std::vector<violation> found = standins::findViolations(evidence.observed);
    checkStatements(evidence, found);
    checkStops(evidence, found);
    checkRecovery(evidence, found);
    for (const std::string &line : evidence.injected.unexpectedExits) {
        found.push_back({"died", "-", line});
    }
    for (const std::string &line : evidence.tables) {
        found.push_back({line.substr(0, line.find(' ')), "-", line});
    }
    return found;
}

std::vector<served_second> servedBySecond(const std::vector<call_record> &calls, microseconds start)
{
    std::vector<served_second> seconds;
    for (const call_record &call : calls) {
        const auto index = static_cast<std::size_t>(std::max<std::int64_t>(0, std::chrono::floor<std::chrono::seconds>(call.due - start).count()));
        seconds.resize(std::max(seconds.size(), index + 1));
        ++seconds[index].requests;
        seconds[index].useful += standins::isUseful(call) ? 1 : 0;
        seconds[index].refused += call.run == "not_run" ? 1 : 0;
    }
    return seconds;
}

} // namespace dandelionstall::soak
