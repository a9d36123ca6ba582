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

constexpr std::size_t MaxLines = 2000;         // limit for the lines kept of each kind, so that memory use does not depend on the size of the files
constexpr std::chrono::seconds TimeBefore{10}; // state changes are shown from this long before the first line of the request
constexpr std::chrono::seconds TimeAfter{1};   // state changes are shown until this long after the last line of the request
constexpr std::string_view RequestField = "request";

// Events that report a change of a node's state or of its view of a worker or another node; the field "worker" or "member"
// names the subject.
constexpr std::array StateChangeEvents{
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
    std::vector<log_line> request;      // lines whose field "request" is the request's id
    std::vector<log_line> stateChanges; // state changes that may explain the outcome of the request
    bool truncated = false;             // more lines were found than are kept
};

// The workers and nodes that were involved in the request, and the period of interest.
struct trace_subjects {
    std::set<std::string, std::less<>> nodes;   // names of nodes that wrote lines of the request
    std::set<std::string, std::less<>> members; // addresses of nodes that attempts or outcome queries were sent to
    std::set<std::string, std::less<>> workers; // ids of workers that attempts were sent to
    log_time from;                              // start of the period for state changes
    log_time until;                             // end of the period for state changes
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

void addLine(std::vector<log_line> &lines, log_line line, trace_result &result)
{
    if (lines.size() < MaxLines) {
        line.order = lines.size();
        lines.push_back(std::move(line));
    } else {
        result.truncated = true;
    }
}

void addRequestLine(const std::string &text, const std::string &id, trace_result &result)
{
    if (text.find(id) == std::string::npos) {
        return; // most lines do not contain the id, and parsing all of them would be slow
    }
    std::optional<log_line> line = parseLogLine(text);
    if (line && fieldOf(*line, RequestField) == id) {
        addLine(result.request, *std::move(line), result);
    }
}

trace_subjects subjectsOf(const std::vector<log_line> &lines)
{
    trace_subjects subjects;
    subjects.from = lines.front().time - TimeBefore;
    subjects.until = lines.back().time + TimeAfter;
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

// True for a state change that was logged by a node of the request in the period, unless it is about a worker or node that was
// not involved.
bool isRelevant(const log_line &line, const trace_subjects &subjects)
{
    if (std::find(StateChangeEvents.begin(), StateChangeEvents.end(), line.event) == StateChangeEvents.end() || !subjects.nodes.contains(line.node)) {
        return false;
    }
    const std::string &worker = fieldOf(line, "worker");
    const std::string &member = fieldOf(line, "member");
    const bool concernsOther = (!worker.empty() && !subjects.workers.contains(worker)) || (!member.empty() && !subjects.members.contains(member));
    return !concernsOther && line.time >= subjects.from && line.time <= subjects.until;
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
    if (!result.stateChanges.empty()) {
        std::cout << fmt::format("state changes logged by these nodes, from {} s before the first line\n", TimeBefore.count());
        printLines(result.stateChanges, start);
    }
    if (result.truncated) {
        std::cout << fmt::format("only the first {} lines of each kind are shown\n", MaxLines);
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
        std::cerr << "dandelionctl: trace requires the id of a request; see --help\n";
        return ExitUsage;
    }
    const std::string &id = line.arguments.front();
    const std::vector<std::string> files(line.arguments.begin() + 1, line.arguments.end());
    trace_result result;
    const line_handler handleRequestLine = [&](const std::string &text) {
        addRequestLine(text, id, result);
    };
    if (files.empty()) {
        readLines(std::cin, handleRequestLine);
    } else if (!readFiles(files, handleRequestLine)) {
        return ExitUnreadable;
    }
    if (result.request.empty()) {
        std::cerr << "dandelionctl: no log line found for request " << id << "\n";
        return ExitFault;
    }
    sortByTime(result.request);
    const trace_subjects subjects = subjectsOf(result.request);
    const bool read = readFiles(files, [&](const std::string &text) {
        std::optional<log_line> change = parseLogLine(text);
        if (change && isRelevant(*change, subjects)) {
            addLine(result.stateChanges, *std::move(change), result);
        }
    });
    if (!read) {
        return ExitUnreadable;
    }
    sortByTime(result.stateChanges);
    if (line.json) {
        std::cout << json::serialize(json::object{{"request", toJson(result.request)}, {"beliefs", toJson(result.stateChanges)}, {"cut", result.truncated}})
                  << '\n';
    } else {
        printText(id, result);
    }
    return ExitOk;
}

} // namespace dandelionctl
