#include "limit_check.h"

#include <fmt/format.h>

#include <algorithm>

namespace dandelionstall::standins {

namespace {

using std::chrono::microseconds;

constexpr double AllowedFactor = 1.5;
constexpr double AllowedExtra = 5.0;
constexpr std::string_view None = "none";

// A time in which a worker stated the same.
struct statement_span {
    std::string text;
    microseconds from{0};
    microseconds until = microseconds::max();
};

std::vector<statement_span> findSpans(const run_log &log, const std::string &worker, std::string_view kind)
{
    std::vector<statement_span> spans;
    for (const statement &each : log.statements) {
        if (each.worker != worker || each.kind != kind) {
            continue;
        }
        if (!spans.empty() && spans.back().until == microseconds::max()) {
            spans.back().until = each.since;
        }
        if (each.text != None) {
            spans.push_back({each.text, each.since, microseconds::max()});
        }
    }
    return spans;
}

// Tells from the callers' log what the nodes had passed on.
class told_nodes
{
public:
    told_nodes(const check_input &input, const std::string &worker, bool call_record::*states, const node_starts &starts)
        : m_starts(starts)
    {
        for (const call_record &call : input.calls) {
            m_calls[call.id] = &call;
            if (call.worker == worker && call.*states) {
                m_told[call.node].push_back(call.answered);
            }
        }
    }

    const call_record *callOf(const arrival &each) const
    {
        const auto call = m_calls.find(each.id);
        return call == m_calls.end() ? nullptr : call->second;
    }

    // True when the node passed on a statement of the span at the latest at that time, and was not started again before `until`.
    bool isTold(const std::string &node, const statement_span &span, microseconds at, microseconds until) const
    {
        const auto told = m_told.find(node);
        return told != m_told.end() && std::any_of(told->second.begin(), told->second.end(), [&](microseconds time) {
                   return time >= span.from && time <= at && !wasStarted(node, time, until);
               });
    }

private:
    bool wasStarted(const std::string &node, microseconds from, microseconds until) const
    {
        const auto starts = m_starts.find(node);
        return starts != m_starts.end()
               && std::any_of(starts->second.begin(), starts->second.end(), [&](microseconds start) { return start >= from && start <= until; });
    }

    const node_starts &m_starts;
    std::map<std::string, const call_record *> m_calls;
    std::map<std::string, std::vector<microseconds>> m_told; // node -> times of answers that state it
};

std::string countKinds(const std::vector<arrival> &arrivals, std::size_t first, std::size_t end)
{
    std::map<std::string, std::size_t> counts;
    for (std::size_t i = first; i < end; ++i) {
        ++counts[arrivals[i].path];
    }
    std::string text;
    for (const auto &[path, count] : counts) {
        text += fmt::format("{} {}, ", count, path);
    }
    return text;
}

double shareOf(const limit_usage &usage)
{
    return usage.allowed > 0.0 ? static_cast<double>(usage.arrivals) / usage.allowed : -1.0;
}

// Keeps in `fullest` the window with the largest share of what is allowed. The arrivals are in order of time.
void compareWindows(const std::vector<arrival> &arrivals, double rate, limit_usage &fullest)
{
    const double allowed = AllowedFactor * rate * std::chrono::duration<double>(LimitWindow).count() + AllowedExtra;
    for (std::size_t first = 0, end = 0; first < arrivals.size(); ++first) {
        while (end < arrivals.size() && arrivals[end].at < arrivals[first].at + LimitWindow) {
            ++end;
        }
        const limit_usage usage{arrivals[first].at, end - first, allowed, fullest.allArrivals, countKinds(arrivals, first, end)};
        if (shareOf(usage) > shareOf(fullest)) {
            fullest = usage;
        }
    }
}

} // namespace

limit_usage findFullestWindow(const check_input &input, const std::string &worker, const node_starts &starts)
{
    const told_nodes told(input, worker, &call_record::statesLimit, starts);
    limit_usage fullest;
    for (const statement_span &span : findSpans(input.workers, worker, "rate_limit")) {
        std::vector<arrival> arrivals;
        for (const arrival &each : input.workers.arrivals) {
            if (each.worker != worker || each.at < span.from + SettlingTime || each.at >= span.until) {
                continue;
            }
            ++fullest.allArrivals;
            const call_record *call = told.callOf(each);
            if (call == nullptr || told.isTold(call->node, span, each.at - ToldTime, each.at)) {
                arrivals.push_back(each);
            }
        }
        std::sort(arrivals.begin(), arrivals.end(), [](const arrival &left, const arrival &right) { return left.at < right.at; });
        compareWindows(arrivals, std::stod(span.text), fullest);
    }
    return fullest;
}

std::vector<arrival> findLateArrivals(const check_input &input, const std::string &worker, microseconds after, const node_starts &starts)
{
    const told_nodes told(input, worker, &call_record::statesLeaving, starts);
    std::vector<arrival> late;
    for (const statement_span &span : findSpans(input.workers, worker, "leaving")) {
        for (const arrival &each : input.workers.arrivals) {
            const call_record *call = told.callOf(each);
            const bool inSpan = each.worker == worker && each.at >= span.from && each.at < span.until;
            if (inSpan && call != nullptr && told.isTold(call->node, span, call->sent - after, each.at)) {
                late.push_back(each);
            }
        }
    }
    return late;
}

} // namespace dandelionstall::standins
