#include "expect.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

namespace dandelionstall::testing {

namespace {

constexpr std::size_t LogTailBytes = 6000;

std::string tailOf(const std::string &text)
{
    return text.substr(text.size() - std::min(text.size(), LogTailBytes));
}

} // namespace

std::string classText(const std::string &name, const class_settings &settings)
{
    std::string text = fmt::format("[class.{}]\n", name);
    for (const auto &[key, value] : settings) {
        text += fmt::format("{}={}\n", key, value);
    }
    return text;
}

std::string lookups(const class_settings &changes)
{
    class_settings settings = changes;
    settings.merge(class_settings{
        {"share", "0.6"}, {"path", "/lookup"}, {"idempotent", "yes"}, {"cost_ms", "10"}, {"cost_sigma", "0.3"}, {"deadline_ms", "2000"}, {"bytes", "700"}});
    return classText("lookup", settings);
}

std::string bookings(const class_settings &changes)
{
    class_settings settings = changes;
    settings.merge(class_settings{{"share", "0.4"},
                                  {"path", "/book"},
                                  {"method", "POST"},
                                  {"idempotent", "no"},
                                  {"cost_ms", "20"},
                                  {"cost_sigma", "0.3"},
                                  {"deadline_ms", "2000"},
                                  {"worth", "5"}});
    return classText("book", settings);
}

std::string phase(double seconds, double rate, const std::string &name)
{
    return fmt::format("[phase.{}]\nseconds={}\nrate={}\n", name, seconds, rate);
}

std::string mixedLoad(double seconds, double rate, const class_settings &changes)
{
    return phase(seconds, rate) + lookups(changes) + bookings(changes);
}

void expectClean(const fleet &fleet, const standins::check_input &evidence)
{
    const auto found = standins::findViolations(evidence);
    if (found.empty()) {
        return;
    }
    const std::string report = standins::formatReport(standins::summarize(evidence.calls));
    cr_assert_fail("%s%s\n%s", standins::describeViolations(found).c_str(), report.c_str(), tailOf(fleet.nodeLogs()).c_str());
}

void expectUseful(const std::vector<standins::call_record> &calls, const std::string &requestClass, double share)
{
    const standins::load_report report = standins::summarize(calls);
    const standins::class_report &each = report.classes.at(requestClass);
    const double useful = static_cast<double>(each.useful) / static_cast<double>(each.requests);
    cr_assert_geq(useful, share, "%s useful: %.3f, expected %.3f\n%s", requestClass.c_str(), useful, share, standins::formatReport(report).c_str());
}

void expectStarted(const standins::check_input &evidence, std::size_t atLeast)
{
    const std::string report = standins::formatReport(standins::summarize(evidence.calls));
    cr_assert_geq(evidence.workers.runs.size(), atLeast, "workers started only %zu runs\n%s", evidence.workers.runs.size(), report.c_str());
}

} // namespace dandelionstall::testing
