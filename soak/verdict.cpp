#include "verdict.h"

#include <load_report.h>

#include <fmt/format.h>

#include <algorithm>

namespace dandelionstall::soak {

namespace {

using standins::call_record;
using standins::violation;
using std::chrono::microseconds;

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
        const bool cut = call.status == 0 && call.run.empty() && call.reason != "timeout";
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

} // namespace

std::vector<violation> findBrokenPromises(const soak_evidence &evidence)
{
    std::vector<violation> found = standins::findViolations(evidence.observed);
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
