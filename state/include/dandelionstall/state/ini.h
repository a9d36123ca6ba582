// Parses INI text into sections and keys with their line numbers; uses the inih library.
//
// Errors have the form "<source>:<line>: <reason>". A duplicate section or key is an error. A line that starts with '#'
// or ';' is a comment; " ;" starts a comment at the end of a line. Leading blanks are ignored.
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <vector>

namespace dandelionstall::state {

struct ini_entry {
    std::string key;        // key as written in the text
    std::string value;      // value without blanks at both ends and without comment
    std::uint32_t line = 0; // line number, counted from 1
};

struct ini_section {
    std::string name;               // text between the brackets, trimmed
    std::uint32_t line = 0;         // line number of the section header, counted from 1
    std::vector<ini_entry> entries; // keys in file order
};

struct ini_document {
    std::string source;                // file name or store key, for error messages
    std::vector<ini_section> sections; // sections in file order
};

inline constexpr std::size_t MaxIniLineBytes = 4'194'304; // longest line in bytes without blanks at both ends; longer lines are an error
inline constexpr std::size_t MaxIniKeyBytes = 120;        // longest key; a longer one is an error

absl::StatusOr<ini_document> parseIni(std::string_view text, std::string_view source);
absl::Status makeIniError(state_error code, std::string_view source, std::uint32_t line, std::string_view reason); // "<source>:<line>: <reason>"

std::string_view reasonOf(const absl::Status &status);     // message without the prefix "state: "
std::vector<std::string> splitList(std::string_view text); // comma separated parts, trimmed
std::string_view trimBlanks(std::string_view text);        // text without blanks, tabs and carriage returns at both ends

// Value parsers. The error message says what was expected.
absl::StatusOr<std::uint64_t> parseUnsigned(std::string_view text, std::uint64_t min, std::uint64_t max);
absl::StatusOr<double> parseNumber(std::string_view text, double min, double max);
absl::StatusOr<bool> parseFlag(std::string_view text);                          // "yes" or "no"
absl::StatusOr<std::chrono::milliseconds> parseDuration(std::string_view text); // "250ms", "2s", "10min"

} // namespace dandelionstall::state
