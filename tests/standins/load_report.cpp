#include "load_report.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace dandelionstall::standins {

namespace json = boost::json;

namespace {

using latencies = std::vector<std::chrono::microseconds>;

struct class_samples {
    class_report report;
    latencies useful;
};

void addCall(const call_record &call, class_samples &samples)
{
    ++samples.report.requests;
    samples.report.worthOffered += call.worth;
    if (!isUseful(call)) {
        return;
    }
    ++samples.report.useful;
    samples.report.worthUseful += call.worth;
    samples.useful.push_back(call.answered - call.due);
}

class_report finish(const class_samples &samples)
{
    class_report report = samples.report;
    report.p50 = quantile(samples.useful, 0.5);
    report.p99 = quantile(samples.useful, 0.99);
    return report;
}

std::string reasonOf(const call_record &call)
{
    if (!call.reason.empty()) {
        return call.reason;
    }
    return call.status == 200 ? "late" : fmt::format("status_{}", call.status);
}

json::object toJson(const class_report &report)
{
    return {
        {"requests", report.requests},
        {"useful", report.useful},
        {"worth_offered", report.worthOffered},
        {"worth_useful", report.worthUseful},
        {"p50_us", report.p50.count()},
        {"p99_us", report.p99.count()},
    };
}

} // namespace

std::chrono::microseconds quantile(latencies values, double share)
{
    if (values.empty()) {
        return std::chrono::microseconds(0);
    }
    const auto rank = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1) + 0.5);
    std::nth_element(values.begin(), values.begin() + rank, values.end());
    return values[static_cast<std::size_t>(rank)];
}

load_report summarize(const std::vector<call_record> &calls)
{
    std::map<std::string, const call_record *> last;
    for (const call_record &call : calls) {
        last[call.id] = &call;
    }
    load_report report;
    class_samples total;
    std::map<std::string, class_samples> classes;
    for (const auto &[id, call] : last) {
        addCall(*call, total);
        addCall(*call, classes[call->requestClass]);
        report.unanswered += call->status == 0 ? 1 : 0;
        report.foreign += call->status == 200 && call->body != "own" ? 1 : 0;
        if (!isUseful(*call)) {
            ++report.refusals[reasonOf(*call)];
        }
    }
    report.total = finish(total);
    for (const auto &[name, samples] : classes) {
        report.classes[name] = finish(samples);
    }
    return report;
}

std::string formatReport(const load_report &report)
{
    json::object classes;
    for (const auto &[name, each] : report.classes) {
        classes[name] = toJson(each);
    }
    json::object refusals;
    for (const auto &[reason, count] : report.refusals) {
        refusals[reason] = count;
    }
    return json::serialize(json::object{
        {"total", toJson(report.total)},
        {"classes", classes},
        {"refusals", refusals},
        {"unanswered", report.unanswered},
        {"foreign", report.foreign},
    });
}

} // namespace dandelionstall::standins
