#include "repeat_count.h"

#include <algorithm>
#include <map>
#include <vector>

namespace dandelionstall::standins {

namespace {

constexpr std::string_view NoId = "-"; // logged for requests without X-Request-Id, whose runs cannot be told apart

using times = std::vector<std::chrono::microseconds>;

struct repeat_event {
    std::chrono::microseconds at{0};
    bool isCall = false; // first run of a call of a repeated run

    bool operator<(const repeat_event &other) const
    {
        return at < other.at;
    }
};

std::map<std::string, std::vector<run_record>> runsById(const run_log &log)
{
    std::map<std::string, std::vector<run_record>> result;
    for (const run_record &run : log.runs) {
        result[run.id].push_back(run);
    }
    for (auto &[id, runs] : result) {
        std::sort(runs.begin(), runs.end(), [](const run_record &left, const run_record &right) { return left.started < right.started; });
    }
    return result;
}

// True when the call was made by a run that is a repeat: the latest run of its parent at the worker of the call is not the first one.
bool isMadeByRepeat(const call_of_run &call, const std::vector<run_record> &parentRuns)
{
    std::size_t index = 0;
    for (std::size_t i = 0; i < parentRuns.size(); ++i) {
        if (parentRuns[i].worker == call.worker && parentRuns[i].started <= call.sent) {
            index = i;
        }
    }
    return index > 0;
}

std::size_t countBetween(const times &sorted, std::chrono::microseconds from, std::chrono::microseconds until)
{
    return static_cast<std::size_t>(std::lower_bound(sorted.begin(), sorted.end(), until) - std::lower_bound(sorted.begin(), sorted.end(), from));
}

} // namespace

repeat_usage findWorstWindow(const run_log &log, const std::set<std::string> &pool, const repeat_limit &limit)
{
    const auto runs = runsById(log);
    std::vector<repeat_event> repeats;
    times requests;
    for (const call_of_run &call : log.calls) {
        requests.push_back(call.sent);
        const auto own = runs.find(call.id);
        const auto parent = runs.find(call.parent);
        if (own == runs.end() || !pool.contains(own->second.front().worker)) {
            continue;
        }
        if (parent != runs.end() && call.parent != NoId && isMadeByRepeat(call, parent->second)) {
            repeats.push_back({own->second.front().started, true});
        }
        for (std::size_t i = 1; i < own->second.size(); ++i) {
            repeats.push_back({own->second[i].started, false});
        }
    }
    std::sort(requests.begin(), requests.end());
    std::sort(repeats.begin(), repeats.end());
    repeat_usage worst;
    double worstShare = -1.0;
    for (auto first = repeats.begin(); first != repeats.end(); ++first) {
        const auto from = first->at;
        const auto last = std::lower_bound(first, repeats.end(), repeat_event{from + limit.window});
        repeat_usage usage;
        usage.from = from;
        usage.repeats = static_cast<std::size_t>(last - first);
        usage.calls = static_cast<std::size_t>(std::count_if(first, last, [](const repeat_event &event) { return event.isCall; }));
        usage.requests = std::max({countBetween(requests, from, from + limit.window),
                                   countBetween(requests, from - limit.window, from),
                                   countBetween(requests, from - limit.window / 2, from + limit.window / 2)});
        usage.allowed = limit.share * static_cast<double>(usage.requests) + limit.extra;
        const double share = static_cast<double>(usage.repeats) / usage.allowed;
        if (share > worstShare) {
            worst = usage;
            worstShare = share;
        }
    }
    worst.allCalls = static_cast<std::size_t>(std::count_if(repeats.begin(), repeats.end(), [](const repeat_event &event) { return event.isCall; }));
    return worst;
}

} // namespace dandelionstall::standins
