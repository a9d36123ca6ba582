#include "check.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>

namespace dandelionstall::standins {

namespace {

constexpr std::size_t MaxDescribed = 20; // violations listed in a description

using runs_by_id = std::multimap<std::string, run_record>;
using calls_by_id = std::multimap<std::string, call_record>;

void checkAnswers(const check_input &input, std::vector<violation> &found)
{
    for (const call_record &call : input.calls) {
        if (call.status == 200 && call.body != "own") {
            found.push_back({"whole_and_own", call.id, fmt::format("body is {}", call.body)});
        }
        if (!input.cutsAllowed && call.status == 0) {
            found.push_back({"no_cut", call.id, fmt::format("no answer from {}: {}", call.node, call.reason)});
        }
    }
}

void checkAtMostOnce(const calls_by_id &calls, const runs_by_id &runs, std::vector<violation> &found)
{
    for (auto call = calls.begin(); call != calls.end(); call = calls.upper_bound(call->first)) {
        const std::size_t count = runs.count(call->first);
        if (!call->second.idempotent && count > 1) {
            found.push_back({"at_most_once", call->first, fmt::format("started {} times", count)});
        }
    }
}

// Returns whether the caller retried the request after it received the refusal and before the run started.
bool wasRetried(const calls_by_id &calls, const call_record &refusal, const run_record &run)
{
    const auto [first, last] = calls.equal_range(refusal.id);
    return std::any_of(first, last, [&](const auto &entry) { return entry.second.sent >= refusal.answered && entry.second.sent <= run.started; });
}

void checkNotRun(const calls_by_id &calls, const runs_by_id &runs, std::vector<violation> &found)
{
    for (const auto &[id, call] : calls) {
        if (call.run != "not_run") {
            continue;
        }
        const auto [first, last] = runs.equal_range(id);
        for (auto run = first; run != last; ++run) {
            const bool earlier = run->second.started < call.sent; // the run belongs to an earlier attempt of the same request
            if (!earlier && !wasRetried(calls, call, run->second)) {
                found.push_back(
                    {"not_run", id, fmt::format("{} answered as not run ({}), but started at {}", call.requestClass, call.reason, run->second.worker)});
            }
        }
    }
}

void checkLeaving(const check_input &input, const calls_by_id &calls, std::vector<violation> &found)
{
    const auto nodeOf = [&](const std::string &id) {
        const auto call = calls.find(id);
        return call == calls.end() ? "unknown" : call->second.node;
    };
    for (const leaving_mark &mark : input.workers.leaving) {
        for (const run_record &run : input.workers.runs) {
            const auto after = run.started - mark.since;
            if (run.worker == mark.worker && after > LeavingLimit) {
                found.push_back(
                    {"leaving", run.id, fmt::format("sent to {}, started at {} {} us after it began to drain", nodeOf(run.id), run.worker, after.count())});
            }
        }
    }
}

} // namespace

std::vector<violation> findViolations(const check_input &input)
{
    runs_by_id runs;
    for (const run_record &run : input.workers.runs) {
        runs.emplace(run.id, run);
    }
    calls_by_id calls;
    for (const call_record &call : input.calls) {
        calls.emplace(call.id, call);
    }
    std::vector<violation> found;
    checkAnswers(input, found);
    checkAtMostOnce(calls, runs, found);
    checkNotRun(calls, runs, found);
    checkLeaving(input, calls, found);
    return found;
}

std::string describeViolations(const std::vector<violation> &violations)
{
    std::string text = fmt::format("{} violations\n", violations.size());
    for (std::size_t i = 0; i < std::min(violations.size(), MaxDescribed); ++i) {
        fmt::format_to(std::back_inserter(text), "{} {}: {}\n", violations[i].rule, violations[i].id, violations[i].detail);
    }
    return text;
}

} // namespace dandelionstall::standins
