#include "trace.h"

#include "log_lines.h"

#include <dandelionstall/transport/events.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <iostream>
#include <set>
#include <vector>

namespace dandelionctl {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxLines = 2000;           // kept of each kind, whatever the size of the files
constexpr std::chrono::seconds BeliefTime{10};   // before the first line of the request
constexpr std::chrono::seconds AftermathTime{1}; // after its last line
constexpr std::string_view RequestField = "request";

// Changes of what a node believes; a field of each names the worker or node in question.
constexpr std::array Beliefs{
    "worker_judged",
    "worker_doubtful",
    "worker_draining",
    "worker_known",
    "worker_gone",
    "member_alive",
    "member_dead",
    "member_leaving",
    "config_accepted",
    "config_refused",
    "config_held",
    "watch_failed",
    "node_started",
    "node_stopping",
    "self_doubt",
    "reader_changed",
    "watch_recovered",
    "member_suspected",
};

struct trace_result {
    std::vector<log_line> request; // lines that name the request
    std::vector<log_line> beliefs; // changes of belief that bear on it
    bool cut = false;              // more lines than are kept
};

// The workers and nodes that the request met.
struct trace_subjects {
    std::set<std::string, std::less<>> nodes;   // that wrote lines of the request
    std::set<std::string, std::less<>> members; // addresses of nodes asked
    std::set<std::string, std::less<>> workers; // tried
    log_time from;                              // beliefs from here on
    log_time until;
};

using line_handler = std::function<void(const std::string &text)>;

void readLines(std::istream &stream, const line_handler &handle)
{
    for (std::string text; std::getline(stream, text);) {
        handle(text);
    }
}

bool readFiles(const std::vector<std::string> &files, const line_handler &handle)
{
    for (const std::string &file : files) {
        std::ifstream stream(file);
        if (!stream) {
            std::cerr << "dandelionctl: " << file << ": cannot be read\n";
            return false;
        }
        readLines(stream, handle);
    }
    return true;
}

void keep(std::vector<log_line> &lines, log_line line, trace_result &result)
{
    if (lines.size() < MaxLines) {
        line.order = lines.size();
        lines.push_back(std::move(line));
    } else {
        result.cut = true;
    }
}

void takeRequestLine(const std::string &text, const std::string &id, trace_result &result)
{
    if (text.find(id) == std::string::npos) {
        return; // most lines; parsing them all would take long
    }
    std::optional<log_line> line = parseLogLine(text);
    if (line && fieldOf(*line, RequestField) == id) {
        keep(result.request, *std::move(line), result);
    }
}

trace_subjects subjectsOf(const std::vector<log_line> &lines)
{
    trace_subjects subjects;
    subjects.from = lines.front().time - BeliefTime;
    subjects.until = lines.back().time + AftermathTime;
    for (const log_line &line : lines) {
        subjects.nodes.insert(line.node);
        subjects.workers.insert(fieldOf(line, "worker"));
        subjects.members.insert(fieldOf(line, "node"));
        subjects.members.insert(fieldOf(line, "asked"));
    }
    subjects.workers.erase("");
    subjects.members.erase("");
    return subjects;
}

// What the nodes of the request believed of its workers and of each other, and what happened to these nodes.
bool bearsOn(const log_line &line, const trace_subjects &subjects)
{
    if (std::find(Beliefs.begin(), Beliefs.end(), line.event) == Beliefs.end() || !subjects.nodes.contains(line.node)) {
        return false;
    }
    const std::string &worker = fieldOf(line, "worker");
    const std::string &member = fieldOf(line, "member");
    const bool aboutOther = (!worker.empty() && !subjects.workers.contains(worker)) || (!member.empty() && !subjects.members.contains(member));
    return !aboutOther && line.time >= subjects.from && line.time <= subjects.until;
}

void sortByTime(std::vector<log_line> &lines)
{
    std::sort(lines.begin(), lines.end(), [](const log_line &a, const log_line &b) { return std::pair(a.time, a.order) < std::pair(b.time, b.order); });
}

void printLines(const std::vector<log_line> &lines, log_time start)
{
    for (const log_line &line : lines) {
        const double seconds = std::chrono::duration<double>(line.time - start).count();
        std::cout << fmt::format("  {:+9.3f} {:<16} {:<17} {}\n", seconds, line.node, line.event, line.text);
    }
}

std::string_view meaningOf(const log_line &line)
{
    for (const transport::event_info &info : transport::eventCatalogue()) {
        if (info.name == line.event) {
            return info.meaning;
        }
    }
    return "not in the catalogue of this version";
}

void printText(const std::string &id, const trace_result &result)
{
    const log_time start = result.request.front().time;
    std::set<std::string> nodes;
    for (const log_line &line : result.request) {
        nodes.insert(line.node);
    }
    std::cout << fmt::format("request {}: {} lines of {} nodes; seconds after the first one\n", id, result.request.size(), nodes.size());
    printLines(result.request, start);
    const log_line &last = result.request.back();
    std::cout << fmt::format("last line: {}: {}\n", last.event, meaningOf(last));
    if (!result.beliefs.empty()) {
        std::cout << fmt::format("what these nodes came to believe, from {} s before\n", BeliefTime.count());
        printLines(result.beliefs, start);
    }
    if (result.cut) {
        std::cout << fmt::format("only the first {} lines of a kind are shown\n", MaxLines);
    }
}

json::array toJson(const std::vector<log_line> &lines)
{
    json::array rows;
    for (const log_line &line : lines) {
        json::object fields;
        for (const auto &[name, value] : line.fields) {
            fields[name] = value;
        }
        rows.push_back(json::object{{"at_ms", line.time.time_since_epoch().count()}, {"node", line.node}, {"event", line.event}, {"fields", fields}});
    }
    return rows;
}

} // namespace

int runTrace(const command_line &line)
{
    if (line.arguments.empty()) {
        std::cerr << "dandelionctl: trace needs the id of a request; see --help\n";
        return ExitUsage;
    }
    const std::string &id = line.arguments.front();
    const std::vector<std::string> files(line.arguments.begin() + 1, line.arguments.end());
    trace_result result;
    const line_handler takeRequest = [&](const std::string &text) {
        takeRequestLine(text, id, result);
    };
    if (files.empty()) {
        readLines(std::cin, takeRequest);
    } else if (!readFiles(files, takeRequest)) {
        return ExitUnreadable;
    }
    if (result.request.empty()) {
        std::cerr << "dandelionctl: no line names request " << id << "\n";
        return ExitFault;
    }
    sortByTime(result.request);
    const trace_subjects subjects = subjectsOf(result.request);
    const bool read = readFiles(files, [&](const std::string &text) {
        std::optional<log_line> belief = parseLogLine(text);
        if (belief && bearsOn(*belief, subjects)) {
            keep(result.beliefs, *std::move(belief), result);
        }
    });
    if (!read) {
        return ExitUnreadable;
    }
    sortByTime(result.beliefs);
    if (line.json) {
        std::cout << json::serialize(json::object{{"request", toJson(result.request)}, {"beliefs", toJson(result.beliefs)}, {"cut", result.cut}}) << '\n';
    } else {
        printText(id, result);
    }
    return ExitOk;
}

} // namespace dandelionctl
