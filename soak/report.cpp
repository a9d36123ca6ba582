#include "report.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <numeric>
#include <stdexcept>

namespace dandelionstall::soak {

namespace {

// Measures of the plot, in pixels.
constexpr double Left = 60;
constexpr double Top = 20;
constexpr double SecondWidth = 24;
constexpr double PlotHeight = 200;
constexpr double StepHeight = 14;

double shareOf(std::size_t part, std::size_t whole)
{
    return whole == 0 ? 1.0 : static_cast<double>(part) / static_cast<double>(whole);
}

std::string drawLine(const std::vector<served_second> &served, std::string_view colour, std::size_t served_second::*part)
{
    std::string points;
    for (std::size_t i = 0; i < served.size(); ++i) {
        const double x = Left + (static_cast<double>(i) + 0.5) * SecondWidth;
        const double y = Top + PlotHeight * (1.0 - shareOf(served[i].*part, served[i].requests));
        fmt::format_to(std::back_inserter(points), "{:.1f},{:.1f} ", x, y);
    }
    return fmt::format("<polyline fill=\"none\" stroke=\"{}\" points=\"{}\"/>\n", colour, points);
}

std::string drawStep(const fault_step &step, std::size_t row)
{
    const double x = Left + std::chrono::duration<double>(step.at).count() * SecondWidth;
    const double width = std::max(3.0, std::chrono::duration<double>(step.duration).count() * SecondWidth);
    const double y = Top + PlotHeight + StepHeight * (static_cast<double>(row) + 1.0);
    return fmt::format("<rect x=\"{:.1f}\" y=\"{:.1f}\" width=\"{:.1f}\" height=\"8\" fill=\"#c60\"/><text x=\"{:.1f}\" y=\"{:.1f}\">{} {}</text>\n",
                       x,
                       y,
                       width,
                       x + width + 4,
                       y + 8,
                       kindName(step.kind),
                       step.target);
}

void writeFile(const std::filesystem::path &path, const std::string &text)
{
    std::ofstream file(path);
    file << text;
    if (!file) {
        throw std::runtime_error("cannot write " + path.string());
    }
}

} // namespace

std::string formatResult(const soak_result &result)
{
    const auto add = [](std::size_t sum, std::size_t value) {
        return sum + value;
    };
    const auto sumOf = [&](std::size_t served_second::*part) {
        return std::accumulate(
            result.served.begin(), result.served.end(), std::size_t{0}, [&](std::size_t sum, const served_second &second) { return add(sum, second.*part); });
    };
    const std::size_t requests = sumOf(&served_second::requests);
    std::string text = fmt::format("seed {}: {} nodes, {} faults, {} requests, {:.3f} useful, {:.3f} refused and not run, {}\n",
                                   result.plan.seed,
                                   result.plan.nodes,
                                   result.plan.steps.size(),
                                   requests,
                                   shareOf(sumOf(&served_second::useful), requests),
                                   shareOf(sumOf(&served_second::refused), requests),
                                   result.broken.empty() ? "all promises kept" : fmt::format("{} broken", result.broken.size()));
    text += result.repeats;
    return result.broken.empty() ? text : text + standins::describeViolations(result.broken);
}

std::string drawServed(const soak_result &result)
{
    const double width = Left + SecondWidth * static_cast<double>(result.served.size()) + 160;
    const double height = Top + PlotHeight + StepHeight * static_cast<double>(result.plan.steps.size() + 2);
    std::string text
        = fmt::format("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{:.0f}\" height=\"{:.0f}\" font-size=\"10\" font-family=\"sans-serif\">\n"
                      "<text x=\"4\" y=\"12\">seed {}: shares of useful answers (blue) and of requests refused and not run (grey) by second</text>\n",
                      width,
                      height,
                      result.plan.seed);
    for (int percent = 0; percent <= 100; percent += 25) {
        const double y = Top + PlotHeight * (1.0 - percent / 100.0);
        fmt::format_to(std::back_inserter(text),
                       "<line x1=\"{0}\" x2=\"{1:.0f}\" y1=\"{2:.1f}\" y2=\"{2:.1f}\" stroke=\"#ddd\"/><text x=\"20\" y=\"{2:.1f}\">{3}%</text>\n",
                       Left,
                       width,
                       y,
                       percent);
    }
    text += drawLine(result.served, "#999", &served_second::refused) + drawLine(result.served, "#05a", &served_second::useful);
    for (std::size_t i = 0; i < result.plan.steps.size(); ++i) {
        text += drawStep(result.plan.steps[i], i);
    }
    return text + "</svg>\n";
}

void writeReport(const soak_result &result, const std::string &directory)
{
    const std::filesystem::path base = std::filesystem::path(directory) / fmt::format("seed-{}", result.plan.seed);
    std::filesystem::create_directories(base);
    writeFile(base / "plan.txt", formatPlan(result.plan));
    writeFile(base / "served.svg", drawServed(result));
    writeFile(base / "summary.txt", formatResult(result) + result.load + "\n");
    if (!result.logs.empty()) {
        writeFile(base / "nodes.log", result.logs);
    }
}

} // namespace dandelionstall::soak
