#include "tables_detail.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>
#include <unordered_map>

namespace dandelionstall::state {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view PoolPrefix = "pool.";
constexpr std::string_view WorkerPrefix = "worker.";
constexpr std::array<std::string_view, 2> KnownSections{detail::TableSection, PoolPrefix};
constexpr std::uint32_t MaxSlots = 10'000;                      // largest number of slots of one worker
constexpr milliseconds MaxPoolDuration = std::chrono::hours(1); // largest value of drain_time and retry_window
constexpr double MaxRetryExtra = 1'000'000;
constexpr milliseconds MinRetryWindow{100};
constexpr std::size_t MinWorkerFields = 2; // node address, data centre
constexpr std::size_t MaxWorkerFields = 3; // node address, data centre, slots

std::vector<std::string> splitBlanks(const std::string &text)
{
    std::istringstream stream(text);
    std::vector<std::string> fields;
    for (std::string field; stream >> field;) {
        fields.push_back(field);
    }
    return fields;
}

// Parses "<node address:port> <data centre> [slots]".
absl::StatusOr<pool_worker> parseWorker(std::string_view id, const std::string &value)
{
    const std::vector<std::string> fields = splitBlanks(value);
    if (fields.size() < MinWorkerFields || fields.size() > MaxWorkerFields) {
        return makeError(state_error::malformed, fmt::format("expected <node address:port> <data centre> [slots], got \"{}\"", value));
    }
    if (!isName(id)) {
        return makeError(state_error::malformed, "expected a worker id of 1 to 64 letters, digits, \"-\" or \"_\"");
    }
    const absl::StatusOr<node_address> node = parseNodeAddress(fields[0]);
    if (!node.ok()) {
        return node.status();
    }
    if (!isName(fields[1])) {
        return makeError(state_error::malformed, fmt::format("expected a data centre of 1 to 64 letters, digits, \"-\" or \"_\", got \"{}\"", fields[1]));
    }
    pool_worker worker;
    worker.id = id;
    worker.dataCentre = fields[1];
    worker.node = *node;
    if (fields.size() == MaxWorkerFields) {
        const absl::StatusOr<std::uint64_t> slots = parseUnsigned(fields[2], 1, MaxSlots);
        if (!slots.ok()) {
            return slots.status();
        }
        worker.slots = static_cast<std::uint32_t>(*slots);
    }
    return worker;
}

using worker_lines = std::unordered_map<std::string, std::uint32_t>; // worker id -> line number of its first use

void readWorkers(const ini_section &section, section_reader &reader, worker_lines &seen, pool &row)
{
    for (const ini_entry &entry : section.entries) {
        const std::string_view key = entry.key;
        if (!key.starts_with(WorkerPrefix)) {
            continue;
        }
        absl::StatusOr<pool_worker> worker = parseWorker(key.substr(WorkerPrefix.size()), entry.value);
        if (!worker.ok()) {
            reader.addError(entry, state_error::malformed, reasonOf(worker.status()));
            continue;
        }
        const auto [first, added] = seen.emplace(worker->id, entry.line);
        if (!added) {
            reader.addError(entry, state_error::conflict, fmt::format("duplicate worker id, first used in line {}", first->second));
            continue;
        }
        row.workers.push_back(std::move(*worker));
    }
}

pool readPool(const ini_section &section, std::string name, worker_lines &seen, parse_errors &errors)
{
    pool row;
    row.name = std::move(name);
    row.line = section.line;
    section_reader reader(section, errors);
    reader.requireKeys({"slots"});
    reader.readCount("slots", row.slots, 1, MaxSlots);
    reader.readFlag("discovered", row.hasDiscoveredWorkers);
    reader.readNumber("retry_share", row.retryAllowance.share, 0, 1);
    row.retryAllowance.isLimited = reader.readNumber("retry_extra", row.retryAllowance.extraPerWindow, 0, MaxRetryExtra);
    reader.readDuration("retry_window", row.retryAllowance.window, MinRetryWindow, MaxPoolDuration);
    reader.readNumber("floor", row.floor, 0, 1);
    reader.readChoice("balancer", row.balancer, BalancerNames);
    reader.readChoice("ejector", row.ejector, EjectorNames);
    reader.readChoice("admission", row.admission, AdmissionNames);
    reader.readChoice("retry", row.retry, RetryNames);
    reader.readChoice("guard", row.guard, GuardNames);
    reader.readDuration("drain_time", row.drainTime, milliseconds(0), MaxPoolDuration);
    readWorkers(section, reader, seen, row);
    reader.reportUnknownKeys(WorkerPrefix);
    const auto isWorker = [](const ini_entry &entry) {
        return entry.key.starts_with(WorkerPrefix);
    };
    const bool hasRows = std::any_of(section.entries.begin(), section.entries.end(), isWorker);
    if (!hasRows && !row.hasDiscoveredWorkers) {
        errors.add(state_error::malformed, section.line, fmt::format("[{}] needs at least one line \"worker.<id> = ...\"", section.name));
    }
    if (hasRows && row.hasDiscoveredWorkers) {
        errors.add(state_error::conflict,
                   section.line,
                   fmt::format("[{}] has \"discovered = yes\" and lines \"worker.<id> = ...\", expected only one of the two", section.name));
    }
    return row;
}

} // namespace

absl::StatusOr<pool_table> parsePoolTable(std::string_view text, std::string_view source)
{
    const absl::StatusOr<ini_document> document = detail::parseTable(text, source);
    if (!document.ok()) {
        return document.status();
    }
    parse_errors errors(source);
    worker_lines seen;
    pool_table table;
    table.digest = detail::digestOf(text);
    table.revision = detail::readRevision(*document, errors);
    for (const ini_section &section : document->sections) {
        if (section.name == detail::TableSection) {
            continue;
        }
        std::string name = detail::readSectionName(section, PoolPrefix, KnownSections, errors);
        if (!name.empty()) {
            table.pools.push_back(readPool(section, std::move(name), seen, errors));
        }
    }
    if (!errors.status().ok()) {
        return errors.status();
    }
    return table;
}

} // namespace dandelionstall::state
