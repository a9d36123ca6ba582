#include "tables_detail.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <unordered_set>

namespace dandelionstall::state {

namespace detail {

absl::StatusOr<ini_document> parseTable(std::string_view text, std::string_view source)
{
    if (text.size() > MaxTableBytes) {
        return makeIniError(state_error::out_of_range, source, 1, fmt::format("table of {} bytes, expected at most {}", text.size(), MaxTableBytes));
    }
    return parseIni(text, source);
}

std::uint64_t digestOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

table_revision readRevision(const ini_document &document, parse_errors &errors)
{
    const auto isTable = [](const ini_section &section) {
        return section.name == TableSection;
    };
    const auto section = std::find_if(document.sections.begin(), document.sections.end(), isTable);
    if (section == document.sections.end()) {
        errors.add(state_error::malformed, 1, "section [table] with the key \"revision\" is missing");
        return 0;
    }
    table_revision revision = 0;
    section_reader reader(*section, errors);
    reader.requireKeys({"revision"});
    reader.readCount("revision", revision, 1, std::numeric_limits<std::int64_t>::max());
    reader.reportUnknownKeys();
    return revision;
}

std::string readSectionName(const ini_section &section, std::string_view prefix, std::span<const std::string_view> known, parse_errors &errors)
{
    if (!section.name.starts_with(prefix)) {
        std::string expected;
        for (const std::string_view name : known) {
            const std::string_view separator = name == known.front() ? "" : name == known.back() ? " or " : ", ";
            expected += fmt::format("{}[{}{}]", separator, name, name.ends_with('.') ? "<name>" : "");
        }
        const std::string hint = suggestName(section.name.substr(0, section.name.find('.') + 1), known);
        errors.add(state_error::unknown_key, section.line, fmt::format("unknown section [{}], expected {}{}", section.name, expected, hint));
        return {};
    }
    absl::StatusOr<std::string> name = parseLabel(std::string_view(section.name).substr(prefix.size()));
    if (!name.ok()) {
        errors.add(state_error::malformed, section.line, fmt::format("invalid name in [{}]: {}", section.name, reasonOf(name.status())));
        return {};
    }
    return *std::move(name);
}

} // namespace detail

absl::Status checkPoolReferences(const route_table &routes, const pool_table &pools)
{
    std::vector<std::string_view> names;
    std::unordered_set<std::string_view> known;
    for (const pool &candidate : pools.pools) {
        names.push_back(candidate.name);
        known.insert(candidate.name);
    }
    for (const route &row : routes.routes) {
        std::vector<std::string_view> poolNames{row.pool};
        for (const pool_share &share : row.poolShares) {
            poolNames.push_back(share.pool);
        }
        for (const std::string_view name : poolNames) {
            if (!known.contains(name)) {
                const std::string reason
                    = fmt::format("route \"{}\" names the pool \"{}\", which is not in the pool table{}", row.name, name, suggestName(name, names));
                return makeIniError(state_error::unresolved, routes.source, row.line, reason);
            }
        }
    }
    return absl::OkStatus();
}

const pool *findPool(const pool_table &table, std::string_view name)
{
    const auto found = std::find_if(table.pools.begin(), table.pools.end(), [&](const pool &candidate) { return candidate.name == name; });
    return found == table.pools.end() ? nullptr : &*found;
}

} // namespace dandelionstall::state
