// Functions that the parsers of both tables use: the [table] section, section names and the digest.
#pragma once

#include <dandelionstall/state/ini_reader.h>
#include <dandelionstall/state/tables.h>

namespace dandelionstall::state::detail {

inline constexpr std::string_view TableSection = "table"; // name of the section with the key "revision"

absl::StatusOr<ini_document> parseTable(std::string_view text, std::string_view source); // error when the text exceeds MaxTableBytes or is not valid INI text
std::uint64_t digestOf(std::string_view text);                                           // hash of the whole text
table_revision readRevision(const ini_document &document, parse_errors &errors);         // revision from [table]; adds an error and returns 0 when invalid
std::string readSectionName(const ini_section &section, std::string_view prefix, parse_errors &errors); // "pool.a" gives "a" for "pool."; empty on an error

} // namespace dandelionstall::state::detail
