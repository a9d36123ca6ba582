// Reads INI text into sections and keys that remember their line, on top of inih.
//
// Errors name the place: "<source>:<line>: <reason>". A section or key that stands twice is an error. A comment takes a
// whole line after '#' or ';', or the end of a line after " ;". Leading blanks carry no meaning.
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <vector>

namespace dandelionstall::state {

struct ini_entry {
    std::string key;        // as written
    std::string value;      // trimmed
    std::uint32_t line = 0; // 1-based
};

struct ini_section {
    std::string name;               // text between the brackets
    std::uint32_t line = 0;         // line of its header
    std::vector<ini_entry> entries; // in file order
};

struct ini_document {
    std::string source;                // file name or key, for messages
    std::vector<ini_section> sections; // in file order
};

inline constexpr std::size_t MaxIniLineBytes = 190; // longer lines are refused

absl::StatusOr<ini_document> parseIni(std::string_view text, std::string_view source);
absl::Status makeIniError(state_error code, std::string_view source, std::uint32_t line, std::string_view reason); // "<source>:<line>: <reason>"

std::string_view reasonOf(const absl::Status &status);     // message without the "state: " in front
std::vector<std::string> splitList(std::string_view text); // comma separated parts, trimmed
std::string_view trimBlanks(std::string_view text);        // without blanks at both ends

// Value parsers; the error text says what was expected.
absl::StatusOr<std::uint64_t> parseUnsigned(std::string_view text, std::uint64_t min, std::uint64_t max);
absl::StatusOr<double> parseNumber(std::string_view text, double min, double max);
absl::StatusOr<bool> parseFlag(std::string_view text);                          // "yes" or "no"
absl::StatusOr<std::chrono::milliseconds> parseDuration(std::string_view text); // "250ms", "2s", "10min"

} // namespace dandelionstall::state
