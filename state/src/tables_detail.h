// Shared by the parsers of the two tables: the [table] section, section names and the digest.
#pragma once

#include <dandelionstall/state/ini_reader.h>
#include <dandelionstall/state/tables.h>

namespace dandelionstall::state::detail {

inline constexpr std::string_view TableSection = "table"; // holds the revision

absl::StatusOr<ini_document> parseTable(std::string_view text, std::string_view source);                // refuses a table over MaxTableBytes
std::uint64_t digestOf(std::string_view text);                                                          // of the whole text
table_revision readRevision(const ini_document &document, parse_errors &faults);                        // from [table]
std::string readSectionName(const ini_section &section, std::string_view prefix, parse_errors &faults); // "pool." -> name; empty when refused

} // namespace dandelionstall::state::detail
