#include "retry_check.h"

#include <fmt/format.h>

#include <algorithm>

namespace dandelionstall::standins {

namespace {

using std::chrono::microseconds;
using times = std::vector<microseconds>;
using arrivals_by_id = std::map<std::string, std::vector<arrival>>;

struct repeat_event {
    microseconds at{0};
    bool isCall = false; // first arrival of a call of a repeated run

    bool operator<(const repeat_event &other) const
    {
        return at < other.at;
    }
};

arrivals_by_id arrivalsById(const run_log &log)
{
    arrivals_by_id result;
    for (const arrival &each : log.arrivals) {
        result[each.id].push_back(each);
    }
    for (auto &[id, list] : result) {
        std::sort(list.begin(), list.end(), [](const arrival &left, const arrival &right) { return left.at < right.at; });
    }
    return result;
}

// True when the run that made the call is a repeat: the latest arrival of its request at the worker of the call is not the first one.
bool isMadeByRepeat(const sent_request &call, const arrivals_by_id &arrivals)
{
    const auto parent = arrivals.find(call.parent);
    if (call.parent.empty() || parent == arrivals.end()) {
        return false;
    }
    std::size_t index = 0;
    for (std::size_t i = 0; i < parent->second.size(); ++i) {
        if (parent->second[i].worker == call.madeBy && parent->second[i].at <= call.sent) {
            index = i;
        }
    }
    return index > 0;
}

std::string poolOf(const retry_traffic &traffic, const arrival &each)
{
    const auto found = traffic.pool.find(each.worker);
    return found == traffic.pool.end() ? std::string() : found->second;
}

std::vector<repeat_event> repeatsAt(const retry_traffic &traffic, const std::string &pool, const arrivals_by_id &arrivals)
{
    std::vector<repeat_event> repeats;
    for (const sent_request &request : traffic.requests) {
        const auto own = arrivals.find(request.id);
        if (own == arrivals.end()) {
            continue;
        }
        const bool isCallOfRepeat = isMadeByRepeat(request, arrivals);
        for (std::size_t i = isCallOfRepeat ? 0 : 1; i < own->second.size(); ++i) {
            if (poolOf(traffic, own->second[i]) == pool) {
                repeats.push_back({own->second[i].at, i == 0});
            }
        }
    }
    std::sort(repeats.begin(), repeats.end());
    return repeats;
}

std::size_t countBetween(const times &sorted, microseconds from, microseconds until)
{
    return static_cast<std::size_t>(std::lower_bound(sorted.begin(), sorted.end(), until) - std::lower_bound(sorted.begin(), sorted.end(), from));
}

repeat_usage usageOf(microseconds from, const std::vector<repeat_event> &repeats, const times &requests, const repeat_limit &limit)
{
    const auto first = std::lower_bound(repeats.begin(), repeats.end(), repeat_event{from});
    const auto last = std::lower_bound(first, repeats.end(), repeat_event{from + limit.window});
    repeat_usage usage;
    usage.from = from;
    usage.repeats = static_cast<std::size_t>(last - first);
    usage.calls = static_cast<std::size_t>(std::count_if(first, last, [](const repeat_event &event) { return event.isCall; }));
    usage.requests = std::max({countBetween(requests, from, from + limit.window),
                               countBetween(requests, from - limit.window, from),
                               countBetween(requests, from - limit.window / 2, from + limit.window / 2)});
    usage.allowed = limit.share * static_cast<double>(usage.requests) + limit.extra;
    return usage;
}

// Starts of the windows that can be the worst one: those that begin or end with a repeat. The requests of the windows between two of
// these starts differ, so that windows in between are tried as well.
times windowStarts(const std::vector<repeat_event> &repeats, const repeat_limit &limit)
{
    constexpr microseconds Step{50'000};
    times starts;
    for (const repeat_event &event : repeats) {
        starts.push_back(event.at);
        starts.push_back(event.at - limit.window + microseconds(1));
    }
    if (!repeats.empty()) {
        for (microseconds at = repeats.front().at - limit.window; at < repeats.back().at; at += Step) {
            starts.push_back(at);
        }
    }
    return starts;
}

void judgeWorkers(const retry_traffic &traffic, retry_verdict &verdict)
{
    std::map<std::string, std::set<std::string>> workers;
    for (const run_record &run : traffic.workers.runs) {
        if (!traffic.excusedWorkers.contains(run.worker)) {
            workers[run.id].insert(run.worker);
        }
    }
    for (const sent_request &request : traffic.requests) {
        const auto found = workers.find(request.id);
        if (!request.parent.empty() || found == workers.end()) {
            continue;
        }
        verdict.mostWorkers = std::max(verdict.mostWorkers, found->second.size());
        verdict.overspread += found->second.size() > request.maxAttempts ? 1 : 0;
    }
}

// Excess of the time that one arrival was handed over what was left then; nullopt when it was handed none.
std::optional<microseconds> excessOf(const sent_request &request, const arrival &first, const arrival &each)
{
    if (!each.handed) {
        return std::nullopt;
    }
    const microseconds overStated = microseconds(*each.handed) - request.timeLeft;
    if (&each == &first || !first.handed || each.at - first.at <= TimeSlack) {
        return overStated;
    }
    const microseconds end = each.at + *each.handed;
    const microseconds lastEnd = std::max(first.at + *first.handed, request.sent + request.timeLeft);
    return std::max(overStated, end - lastEnd);
}

void judgeTime(const sent_request &request, const std::vector<arrival> &arrivals, time_usage &usage)
{
    bool isGenerous = false;
    bool isUnstated = false;
    bool isSentLate = false;
    for (const arrival &each : arrivals) {
        const std::optional<microseconds> excess = excessOf(request, arrivals.front(), each);
        isUnstated = isUnstated || !excess;
        isGenerous = isGenerous || !excess || *excess > TimeSlack;
        isSentLate = isSentLate || each.at - arrivals.front().at > TimeSlack;
        const auto excessMs = std::chrono::duration_cast<std::chrono::milliseconds>(excess.value_or(microseconds(0)));
        if (excessMs > usage.worst) {
            usage.worst = excessMs;
            usage.worstId = request.id;
        }
    }
    usage.generous += isGenerous ? 1 : 0;
    usage.unstated += isUnstated ? 1 : 0;
    usage.judged += isGenerous || isSentLate ? 1 : 0;
}

} // namespace

repeat_usage findWorstWindow(const retry_traffic &traffic, const std::string &pool, const repeat_limit &limit)
{
    const arrivals_by_id arrivals = arrivalsById(traffic.workers);
    const std::vector<repeat_event> repeats = repeatsAt(traffic, pool, arrivals);
    times requests;
    for (const sent_request &request : traffic.requests) {
        if (request.pool == pool) {
            requests.push_back(request.sent);
        }
    }
    std::sort(requests.begin(), requests.end());
    repeat_usage worst;
    double worstShare = -1.0;
    for (const microseconds from : windowStarts(repeats, limit)) {
        const repeat_usage usage = usageOf(from, repeats, requests, limit);
        const double share = usage.allowed > 0.0 ? static_cast<double>(usage.repeats) / usage.allowed : static_cast<double>(usage.repeats);
        if (share > worstShare) {
            worst = usage;
            worstShare = share;
        }
    }
    worst.allCalls = static_cast<std::size_t>(std::count_if(repeats.begin(), repeats.end(), [](const repeat_event &event) { return event.isCall; }));
    return worst;
}

retry_verdict judgeRetries(const retry_traffic &traffic, const repeat_limit &limit)
{
    retry_verdict verdict;
    std::set<std::string> pools;
    for (const auto &[worker, pool] : traffic.pool) {
        pools.insert(pool);
    }
    for (const std::string &pool : pools) {
        verdict.repeats[pool] = findWorstWindow(traffic, pool, limit);
    }
    judgeWorkers(traffic, verdict);
    const arrivals_by_id arrivals = arrivalsById(traffic.workers);
    for (const sent_request &request : traffic.requests) {
        const auto own = arrivals.find(request.id);
        if (own != arrivals.end() && !request.isDownload) {
            judgeTime(request, own->second, verdict.time);
        }
    }
    return verdict;
}

std::vector<violation> violationsOf(const retry_verdict &verdict)
{
    std::vector<violation> found;
    for (const auto &[pool, usage] : verdict.repeats) {
        if (static_cast<double>(usage.repeats) > usage.allowed) {
            found.push_back({"retry_allowance", pool, fmt::format("{} repeats of {:.1f} allowed, {} requests", usage.repeats, usage.allowed, usage.requests)});
        }
    }
    if (verdict.overspread > MaxOverspread) {
        found.push_back({"retry_workers", "-", fmt::format("{} requests ran at more workers than allowed", verdict.overspread)});
    }
    const time_usage &time = verdict.time;
    if (time.generous > MaxGenerous && static_cast<double>(time.generous) > MaxGenerousShare * static_cast<double>(time.judged)) {
        found.push_back({"retry_time_left", "-", fmt::format("{} of {} requests were handed on with more time than is left", time.generous, time.judged)});
    }
    return found;
}

std::string describeRetries(const retry_verdict &verdict)
{
    std::string text;
    for (const auto &[pool, usage] : verdict.repeats) {
        text += fmt::format("{}: {} repeats of {:.1f} allowed, {} of them calls of repeated runs, {} requests\n",
                            pool,
                            usage.repeats,
                            usage.allowed,
                            usage.calls,
                            usage.requests);
    }
    text += fmt::format("workers of one request: at most {}, {} requests at more than their routes allow\n", verdict.mostWorkers, verdict.overspread);
    return text
           + fmt::format("time left: {} of {} handed too much, {} of them without any, largest excess {} ms {}\n",
                         verdict.time.generous,
                         verdict.time.judged,
                         verdict.time.unstated,
                         verdict.time.worst.count(),
                         verdict.time.worstId);
}

} // namespace dandelionstall::standins
