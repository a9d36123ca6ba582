#include "run_log.h"

#include <sstream>
#include <stdexcept>

namespace dandelionstall::standins {

namespace {

struct log_line {
    std::string kind;
    std::string id;
    std::string detail;
    std::int64_t time = 0;
    std::optional<std::chrono::milliseconds> timeLeft; // of a call or an arrival
};

// Returns false for a line that lacks a field; "port=NNNN" is such a line and is skipped by the caller.
bool readLine(const std::string &text, log_line &line)
{
    std::istringstream fields(text);
    const bool isWhole = static_cast<bool>(fields >> line.kind >> line.id >> line.detail >> line.time);
    if (std::int64_t left = 0; fields >> left) {
        line.timeLeft = std::chrono::milliseconds(left);
    }
    return isWhole;
}

} // namespace

void parseRunLog(const std::string &text, const std::string &worker, run_log &log)
{
    std::istringstream lines(text);
    for (std::string each; std::getline(lines, each);) {
        log_line line;
        const bool partial = lines.eof();
        if (each.starts_with("port=") || partial) {
            continue;
        }
        if (!readLine(each, line)) {
            throw std::invalid_argument("malformed line in the log of " + worker + ": " + each);
        }
        if (line.kind == "start") {
            log.runs.push_back({line.id, worker, std::chrono::microseconds(line.time)});
        } else if (line.kind == "call") {
            log.calls.push_back({line.id, line.detail, worker, std::chrono::microseconds(line.time), line.timeLeft.value_or(std::chrono::milliseconds(0))});
        } else if (line.kind == "arrival") {
            log.arrivals.push_back({line.id, line.detail, worker, std::chrono::microseconds(line.time), line.timeLeft});
        } else if (line.kind == "states") {
            log.statements.push_back({line.detail, line.id, worker, std::chrono::microseconds(line.time)});
        } else if (line.kind == "draining") {
            log.leaving.push_back({worker, std::chrono::microseconds(line.time)});
        }
    }
}

std::chrono::microseconds steadyNow()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(state::clock::now().time_since_epoch());
}

} // namespace dandelionstall::standins
