#include "limit_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <stdexcept>

namespace dandelionstall::standins {

namespace {

using std::chrono::microseconds;

constexpr double AllowedFactor = 1.5;
constexpr double AllowedExtra = 5.0;
constexpr std::string_view ProbePath = "/healthz";

struct limit_span {
    double rate = 0.0;
    microseconds from{0};
    microseconds until = microseconds::max();
};

limit_span findLimit(const run_log &log, const std::string &worker)
{
    limit_span span;
    for (const statement &each : log.statements) {
        if (each.worker != worker || each.kind != "rate_limit") {
            continue;
        }
        if (span.from.count() == 0 && each.text != "none") {
            span = {std::stod(each.text), each.since + SettlingTime, microseconds::max()};
        } else if (each.text == "none") {
            span.until = each.since;
        }
    }
    if (span.from.count() == 0) {
        throw std::invalid_argument(worker + " has stated no rate limit");
    }
    return span;
}

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

} // namespace

limit_usage findFullestWindow(const run_log &log, const std::string &worker)
{
    const limit_span span = findLimit(log, worker);
    std::vector<arrival> arrivals;
    std::copy_if(log.arrivals.begin(), log.arrivals.end(), std::back_inserter(arrivals), [&](const arrival &each) {
        return each.worker == worker && each.at >= span.from && each.at < span.until;
    });
    std::sort(arrivals.begin(), arrivals.end(), [](const arrival &left, const arrival &right) { return left.at < right.at; });
    limit_usage fullest;
    fullest.allowed = AllowedFactor * span.rate * std::chrono::duration<double>(LimitWindow).count() + AllowedExtra;
    fullest.allArrivals = arrivals.size();
    for (std::size_t first = 0, end = 0; first < arrivals.size(); ++first) {
        while (end < arrivals.size() && arrivals[end].at < arrivals[first].at + LimitWindow) {
            ++end;
        }
        if (end - first > fullest.arrivals) {
            fullest.arrivals = end - first;
            fullest.from = arrivals[first].at;
            fullest.kinds = countKinds(arrivals, first, end);
        }
    }
    return fullest;
}

std::vector<arrival> findArrivalsAfterLeaving(const run_log &log, const std::string &worker, microseconds after)
{
    const auto stated = std::find_if(log.statements.begin(), log.statements.end(), [&](const statement &each) {
        return each.worker == worker && each.kind == "leaving" && each.text == "1";
    });
    if (stated == log.statements.end()) {
        throw std::invalid_argument(worker + " has not stated that it leaves");
    }
    std::vector<arrival> late;
    std::copy_if(log.arrivals.begin(), log.arrivals.end(), std::back_inserter(late), [&](const arrival &each) {
        return each.worker == worker && each.path != ProbePath && each.at > stated->since + after;
    });
    return late;
}

} // namespace dandelionstall::standins
