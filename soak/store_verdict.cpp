#include "store_verdict.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>

namespace dandelionstall::soak {

using standins::violation;

namespace {

constexpr double RecoveredShare = 0.95;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusNoRoute = 404;

// Time from which on the store holds what was written at this time, as seen at the time `until`: later when a rewind has lost it.
steady_time heldSince(const store_evidence &evidence, steady_time writtenAt, steady_time until)
{
    for (const store_rewind &rewind : evidence.rewinds) {
        const bool lost = rewind.at >= writtenAt - RewriteTime && rewind.at <= until && rewind.at - rewind.age <= writtenAt;
        writtenAt = lost ? std::max(writtenAt, rewind.at + RewriteTime) : writtenAt;
    }
    return writtenAt;
}

const config_write *lastWriteBefore(const store_evidence &evidence, steady_time at)
{
    const auto after
        = std::upper_bound(evidence.writes.begin(), evidence.writes.end(), at, [](steady_time time, const config_write &each) { return time < each.begunAt; });
    return after == evidence.writes.begin() ? nullptr : &*std::prev(after);
}

void checkRuns(const store_evidence &evidence, std::vector<violation> &found)
{
    std::map<std::string, unsigned> starts;
    for (const auto &runs : evidence.runs) {
        for (const standins::run_record &run : runs) {
            if (run.id.starts_with("book-") && ++starts[run.id] == 2) {
                found.push_back({"at_most_once", run.id, "started twice"});
            }
        }
    }
    for (const worker_leaving &leaving : evidence.leavings) {
        for (const standins::run_record &run : evidence.runs[leaving.place]) {
            if (run.started < leaving.until && run.started > heldSince(evidence, leaving.since, run.started) + InForceTime) {
                found.push_back({"leaving", run.id, fmt::format("{} us after worker {} announced it", (run.started - leaving.since).count(), leaving.place)});
            }
        }
    }
}

void checkConfigurations(const store_evidence &evidence, std::vector<violation> &found)
{
    std::map<std::pair<std::size_t, unsigned>, std::uint64_t> served; // highest version by node and incarnation
    std::map<std::pair<std::size_t, unsigned>, steady_time> readyAt;
    for (const node_start &start : evidence.starts) {
        readyAt[{start.node, start.incarnation}] = start.readyAt;
    }
    std::map<std::pair<std::size_t, unsigned>, steady_time> servedSince; // end of the first call that showed that version
    for (const store_call &call : evidence.calls) {
        const auto who = std::pair(call.node, call.incarnation);
        const bool after = call.sent > servedSince[who];
        if (call.status == StatusOk && call.version < served[who] && after) {
            found.push_back({"config_back", "", fmt::format("node {} served version {} after {}", call.node, call.version, served[who])});
        }
        const config_write *newest = lastWriteBefore(evidence, call.ended);
        const bool refusesNewest = call.status == StatusNoRoute && newest != nullptr && newest->version == call.version;
        if (refusesNewest && call.version == served[who] && after) {
            found.push_back({"config_back", "", fmt::format("node {} refused version {} after it had served it", call.node, call.version)});
        }
        const auto ready = readyAt.find(who);
        const bool due
            = refusesNewest && ready != readyAt.end() && call.sent > std::max(heldSince(evidence, newest->writtenAt, call.sent), ready->second) + InForceTime;
        if (due) {
            found.push_back(
                {"config_late",
                 "",
                 fmt::format("node {} refused version {}, written {} us before", call.node, call.version, (call.sent - newest->writtenAt).count())});
        }
        if (call.status == StatusOk && call.version > served[who]) {
            served[who] = call.version;
            servedSince[who] = call.ended;
        }
    }
}

void checkOrganisationRate(const store_evidence &evidence, std::vector<violation> &found)
{
    const standins::organisation_window fullest = standins::findFullestWindow(evidence.organisationRuns, evidence.organisationRate.window);
    const double allowed = standins::allowedRuns(evidence.organisationRate);
    if (static_cast<double>(fullest.runs) > allowed) {
        found.push_back({"organisation_rate", "", fmt::format("{} requests run from {} us on, {} allowed", fullest.runs, fullest.from.count(), allowed)});
    }
}

void checkRecovery(const store_evidence &evidence, std::vector<violation> &found)
{
    const steady_time since = evidence.endedAt - RecoverySpan;
    double sent = 0;
    double ok = 0;
    for (const store_call &call : evidence.calls) {
        const config_write *newest = lastWriteBefore(evidence, call.ended);
        if (call.sent > since && newest != nullptr && newest->version == call.version) {
            ++sent;
            ok += call.status == StatusOk ? 1 : 0;
        }
    }
    if (sent == 0 || ok < RecoveredShare * sent) {
        found.push_back({"recovery", "", fmt::format("{} of {} requests served at the end", ok, sent)});
    }
    for (std::size_t place = 0; place < evidence.runs.size(); ++place) {
        const auto &runs = evidence.runs[place];
        if (std::none_of(runs.begin(), runs.end(), [&](const standins::run_record &run) { return run.started > since; })) {
            found.push_back({"recovery", "", fmt::format("no request reached the worker of node {} at the end", place)});
        }
    }
}

} // namespace

std::vector<violation> findStoreViolations(const store_evidence &evidence)
{
    std::vector<violation> found;
    checkRuns(evidence, found);
    checkConfigurations(evidence, found);
    checkOrganisationRate(evidence, found);
    checkRecovery(evidence, found);
    return found;
}

} // namespace dandelionstall::soak
