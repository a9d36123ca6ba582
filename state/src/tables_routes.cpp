#include "tables_detail.h"

#include <absl/strings/ascii.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <unordered_map>

namespace dandelionstall::state {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view RoutePrefix = "route.";
constexpr double MinWorth = 0.000001;
constexpr double MaxWorth = 1'000'000;
constexpr milliseconds MinTimeout{1};
constexpr std::string_view AnyHost = "*";
constexpr std::string_view CallersSection = "callers";
constexpr std::array<std::string_view, 4> KnownSections{detail::TableSection, CallersSection, RoutePrefix, detail::OrganisationPrefix};

void readHost(section_reader &reader, route &row)
{
    const ini_entry *entry = reader.findEntry("host");
    if (!reader.readText("host", row.host)) {
        return;
    }
    absl::AsciiStrToLower(&row.host);
    if (row.host == AnyHost) {
        row.host.clear();
    } else if (row.host != detail::normalizeHost(row.host)) {
        reader.addError(*entry, state_error::malformed, fmt::format("expected a host name without port or \"*\", got \"{}\"", entry->value));
    }
}

bool isPathCharacter(char c)
{
    return static_cast<unsigned char>(c) > ' ' && c != '\x7f' && c != '?' && c != '#';
}

void readPath(section_reader &reader, route &row)
{
    const ini_entry *entry = reader.findEntry("path");
    if (!reader.readText("path", row.pathPrefix)) {
        return;
    }
    const std::string &path = row.pathPrefix;
    const bool isPath = path.starts_with('/') && std::all_of(path.begin(), path.end(), isPathCharacter);
    if (!isPath) {
        reader.addError(*entry, state_error::malformed, fmt::format("expected a path that starts with \"/\" and has no query, got \"{}\"", entry->value));
        row.pathPrefix = std::string(1, '/');
        return;
    }
    const std::size_t last = path.find_last_not_of('/');
    row.pathPrefix.resize(last == std::string::npos ? 1 : last + 1); // "/tags/" is treated like "/tags"
}

bool isMethod(const std::string &text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= 'A' && c <= 'Z'; });
}

void readMethods(section_reader &reader, route &row)
{
    const ini_entry *entry = reader.findEntry("methods");
    if (!reader.readList("methods", row.methods)) {
        return;
    }
    if (!std::all_of(row.methods.begin(), row.methods.end(), isMethod)) {
        reader.addError(*entry,
                        state_error::malformed,
                        fmt::format("expected methods in capital letters separated by commas, such as GET, POST, got \"{}\"", entry->value));
    }
}

// Reads one pool such as "catalogue", or several with weights such as "catalogue 90, dressing-order 10".
void readPools(section_reader &reader, route &row)
{
    const ini_entry *entry = reader.findEntry("pool");
    std::vector<std::string> items;
    if (!reader.readList("pool", items)) {
        return;
    }
    for (const std::string &item : items) {
        const std::size_t blank = item.find(' ');
        pool_share share;
        if (blank != std::string::npos) {
            const absl::StatusOr<std::uint64_t> weight = parseUnsigned(item.substr(item.find_first_not_of(' ', blank)), 0, MaxPoolWeight);
            if (!weight.ok()) {
                return reader.addError(*entry, state_error::malformed, reasonOf(weight.status()));
            }
            share.weight = static_cast<std::uint32_t>(*weight);
        }
        absl::StatusOr<std::string> pool = parseLabel(std::string_view(item).substr(0, blank));
        if (!pool.ok()) {
            return reader.addError(
                *entry, state_error::malformed, fmt::format("expected pool names separated by commas, each with an optional weight, got \"{}\"", entry->value));
        }
        share.pool = *std::move(pool);
        row.poolShares.push_back(std::move(share));
    }
    row.pool = row.poolShares.front().pool;
    if (row.poolShares.size() == 1) {
        row.poolShares.clear();
    }
}

void readCallers(const ini_section &section, parse_errors &errors, route_table &table)
{
    caller_limits &target = table.callers;
    section_reader reader(section, errors);
    reader.readCount("max_header_bytes", target.maxHeaderBytes, 1, MaxCallerBytes);
    reader.readCount("max_body_bytes", target.maxBodyBytes, 1, MaxCallerBytes);
    reader.readDuration("header_timeout", target.headerTimeout, MinTimeout, MaxRouteTime);
    reader.readDuration("idle_timeout", target.idleTimeout, MinTimeout, MaxRouteTime);
    detail::readOrganisationRules(reader, table.organisationRules);
    reader.reportUnknownKeys();
}

route readRoute(const ini_section &section, std::string name, parse_errors &errors)
{
    route row;
    row.name = std::move(name);
    row.line = section.line;
    section_reader reader(section, errors);
    reader.requireKeys({"pool", "idempotent"});
    reader.readFlag("subpaths_only", row.subpathsOnly);
    readHost(reader, row);
    readPath(reader, row);
    readMethods(reader, row);
    readPools(reader, row);
    reader.readFlag("idempotent", row.idempotent);
    reader.readNumber("worth", row.worth, MinWorth, MaxWorth);
    reader.readCount("priority", row.priority, 0, MaxRoutePriority);
    reader.readCount("max_attempts", row.maxAttempts, 1, MaxRouteAttempts);
    reader.readDuration("target", row.targetLatency, milliseconds(0), MaxRouteTime);
    reader.readDuration("timeout", row.timeout, MinTimeout, MaxRouteTime);
    reader.readDuration("cost_hint", row.costHint, milliseconds(0), MaxRouteTime);
    reader.readFlag("public", row.isPublic);
    reader.readNumber("organisation_rate", row.organisationRate, 0, MaxOrganisationRate);
    reader.reportUnknownKeys();
    return row;
}

// Reports routes with the same host, path and methods as an earlier route, because the earlier route takes precedence.
void checkMatches(const route_table &table, parse_errors &errors)
{
    std::unordered_map<std::string, const route *> seen;
    for (const route &row : table.routes) {
        std::vector<std::string> methods = row.methods;
        std::sort(methods.begin(), methods.end());
        methods.erase(std::unique(methods.begin(), methods.end()), methods.end());
        const auto [first, added] = seen.emplace(fmt::format("{} {} {}", row.host, row.pathPrefix, fmt::join(methods, ",")), &row);
        if (!added) {
            const route &other = *first->second;
            errors.add(state_error::conflict,
                       row.line,
                       fmt::format("route \"{}\" has the same host, path and methods as route \"{}\" in line {}", row.name, other.name, other.line));
        }
    }
}

} // namespace

absl::StatusOr<route_table> parseRouteTable(std::string_view text, std::string_view source)
{
    const absl::StatusOr<ini_document> document = detail::parseTable(text, source);
    if (!document.ok()) {
        return document.status();
    }
    parse_errors errors(source);
    route_table table;
    table.source = source;
    table.digest = detail::digestOf(text);
    table.revision = detail::readRevision(*document, errors);
    for (const ini_section &section : document->sections) {
        if (section.name == detail::TableSection) {
            continue;
        }
        if (section.name == CallersSection) {
            readCallers(section, errors, table);
            continue;
        }
        const bool isOrganisation = section.name.starts_with(detail::OrganisationPrefix);
        std::string name = detail::readSectionName(section, isOrganisation ? detail::OrganisationPrefix : RoutePrefix, KnownSections, errors);
        if (name.empty()) {
            continue;
        }
        if (isOrganisation) {
            table.organisations.push_back(detail::readOrganisation(section, std::move(name), errors));
        } else {
            table.routes.push_back(readRoute(section, std::move(name), errors));
        }
    }
    checkMatches(table, errors);
    detail::checkOrganisations(table, errors);
    if (!errors.status().ok()) {
        return errors.status();
    }
    return table;
}

} // namespace dandelionstall::state
