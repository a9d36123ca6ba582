// Parses the organisations of the route table and the rules that hold for all of them.
#include "tables_detail.h"

#include <fmt/format.h>

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace dandelionstall::state::detail {

namespace {

constexpr std::string_view KeysKey = "keys";
constexpr std::string_view MoreKeysPrefix = "keys."; // further lines of an organisation whose digests do not fit into one

// An entry may hold a key where a digest is expected, so that errors do not quote it.
void readKeys(const ini_section &section, section_reader &reader, organisation &row)
{
    reader.requireKeys({KeysKey});
    for (const ini_entry &entry : section.entries) {
        if ((entry.key != KeysKey && !entry.key.starts_with(MoreKeysPrefix)) || entry.value.empty()) {
            continue;
        }
        std::string_view rest = entry.value;
        row.keys.reserve(row.keys.size() + static_cast<std::size_t>(std::count(rest.begin(), rest.end(), ',')) + 1);
        while (true) {
            const std::size_t comma = rest.find(',');
            const absl::StatusOr<key_digest> digest = parseKeyDigest(trimBlanks(rest.substr(0, comma)));
            if (!digest.ok()) {
                return reader.addError(entry, state_error::malformed, reasonOf(digest.status()));
            }
            row.keys.push_back(*digest);
            if (comma == std::string_view::npos) {
                break;
            }
            rest.remove_prefix(comma + 1);
        }
    }
    std::sort(row.keys.begin(), row.keys.end());
    row.keys.erase(std::unique(row.keys.begin(), row.keys.end()), row.keys.end());
}

} // namespace

void readOrganisationRules(section_reader &reader, organisation_rules &target)
{
    reader.readFlag("organisation_keys", target.keysRequired);
    reader.readDuration("organisation_window", target.window, MinOrganisationWindow, MaxOrganisationWindow);
    reader.readNumber("organisation_overrun", target.overrun, 0, MaxOrganisationOverrun);
    reader.readNumber("organisation_slack", target.slack, 0, MaxOrganisationBurst);
}

organisation readOrganisation(const ini_section &section, std::string name, parse_errors &errors)
{
    organisation row;
    row.name = std::move(name);
    row.line = section.line;
    section_reader reader(section, errors);
    readKeys(section, reader, row);
    reader.readCount("priority", row.priority, 0, MaxRoutePriority);
    reader.readNumber("rate", row.rate, 0, MaxOrganisationRate);
    reader.readNumber("burst", row.burst, 0, MaxOrganisationBurst);
    reader.reportUnknownKeys(MoreKeysPrefix);
    return row;
}

void checkOrganisations(const route_table &table, parse_errors &errors)
{
    std::unordered_map<std::string_view, const organisation *> names; // two headings may write one name differently, with and without %XX
    names.reserve(table.organisations.size());
    std::vector<std::pair<key_digest, const organisation *>> keys;
    for (const organisation &row : table.organisations) {
        const auto [first, added] = names.emplace(row.name, &row);
        if (!added) {
            errors.add(state_error::conflict, row.line, fmt::format("organisation \"{}\" is also in line {}", row.name, first->second->line));
        }
        for (const key_digest &digest : row.keys) {
            keys.emplace_back(digest, &row);
        }
    }
    std::sort(keys.begin(), keys.end(), [](const auto &a, const auto &b) { return std::pair(a.first, a.second->line) < std::pair(b.first, b.second->line); });
    for (std::size_t i = 1; i < keys.size(); ++i) {
        const organisation &first = *keys[i - 1].second;
        const organisation &second = *keys[i].second;
        if (keys[i].first == keys[i - 1].first) {
            const std::string reason = fmt::format("organisation \"{}\" has a key of organisation \"{}\" in line {}", second.name, first.name, first.line);
            errors.add(state_error::conflict, second.line, reason);
        }
    }
}

} // namespace dandelionstall::state::detail
