// Functions that the parsers of both tables use: the [table] section, section names and the digest.
#pragma once

#include <dandelionstall/state/ini_reader.h>
#include <dandelionstall/state/tables.h>

namespace dandelionstall::state::detail {

inline constexpr std::string_view TableSection = "table"; // name of the section with the key "revision"

absl::StatusOr<ini_document> parseTable(std::string_view text, std::string_view source); // error when the text exceeds MaxTableBytes or is not valid INI text
std::uint64_t digestOf(std::string_view text);                                           // hash of the whole text
table_revision readRevision(const ini_document &document, parse_errors &errors);         // revision from [table]; adds an error and returns 0 when invalid

// Returns the unescaped name of a section: "pool.a" gives "a" for the prefix "pool.". Empty on an error, which suggests one of the known
// sections of the table; a known section that ends with a dot is a prefix.
std::string readSectionName(const ini_section &section, std::string_view prefix, std::span<const std::string_view> known, parse_errors &errors);

// tables_organisations.cpp
inline constexpr std::string_view OrganisationPrefix = "organisation.";
void readOrganisationRules(section_reader &reader, organisation_rules &target); // keys of [callers]
organisation readOrganisation(const ini_section &section, std::string name, parse_errors &errors);
void checkOrganisations(const route_table &table, parse_errors &errors); // reports names and digests that are listed twice

} // namespace dandelionstall::state::detail
