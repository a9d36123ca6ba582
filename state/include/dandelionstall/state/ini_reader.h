// Reads the keys of INI sections into typed variables and reports invalid values and unknown keys as errors.
//
// Usage:
//   parse_errors errors(document.source);
//   section_reader reader(section, errors);
//   reader.readCount("slots", pool.slots, 1, MaxSlots);   // keeps the default when the key is absent
//   reader.reportUnknownKeys();                           // reports the keys that were not read
//   return errors.status();
//
// Index:
//   [SECTION] Errors
//   [SECTION] Sections
#pragma once

#include <dandelionstall/state/ini.h>

#include <initializer_list>
#include <limits>
#include <span>

namespace dandelionstall::state {

// [SECTION] Errors

// Collects the errors of one document and keeps the one with the lowest line number.
class parse_errors
{
public:
    explicit parse_errors(std::string_view source);

    void add(state_error code, std::uint32_t line, std::string_view reason);
    const absl::Status &status() const; // "<source>:<line>: <reason>" of the first error; OK when there is none

private:
    std::string m_source;
    std::uint32_t m_line = std::numeric_limits<std::uint32_t>::max();
    absl::Status m_status;
};

std::string_view nearestName(std::string_view name, std::span<const std::string_view> known); // empty when no known name is similar
std::string suggestName(std::string_view name, std::span<const std::string_view> known);      // "; did you mean "..."?", or empty when no name is similar
bool isName(std::string_view text);                                                           // 1 to 64 letters, digits, '-' or '_'

// Names of routes and pools are any text of 1 to MaxLabelBytes bytes without control characters. In a table, bytes other than letters,
// digits, '-', '_' and '.' are written as %XX, in hexadecimal.
inline constexpr std::size_t MaxLabelBytes = 1024;
std::string escapeLabel(std::string_view label);               // the label as written in a table
absl::StatusOr<std::string> parseLabel(std::string_view text); // the label that is written like this; state_error::malformed with what was expected
bool isLabel(std::string_view text);                           // whether the text, not escaped, is a label

// [SECTION] Sections

// Reads the keys of one section. Each read function returns true when it sets the target. When the key is absent or its
// value is invalid, it leaves the target as it is and returns false; an invalid value also adds an error.
class section_reader
{
public:
    section_reader(const ini_section &section, parse_errors &errors);

    const ini_entry *findEntry(std::string_view key);               // marks the key as known; nullptr when the section lacks it
    void requireKeys(std::initializer_list<std::string_view> keys); // adds an error for each missing key
    bool readText(std::string_view key, std::string &target);       // an empty value is an error
    bool readName(std::string_view key, std::string &target);       // accepts the names that isName() accepts
    bool readLabel(std::string_view key, std::string &target);      // accepts the texts that isLabel() accepts; nothing is escaped
    bool readChoice(std::string_view key, std::string &target, std::span<const std::string_view> choices);
    bool readFlag(std::string_view key, bool &target);
    bool readNumber(std::string_view key, double &target, double min, double max);
    bool readDuration(std::string_view key, std::chrono::milliseconds &target, std::chrono::milliseconds min, std::chrono::milliseconds max);
    bool readAddress(std::string_view key, node_address &target);
    bool readList(std::string_view key, std::vector<std::string> &target);            // comma-separated values, each without blanks at both ends
    void addError(const ini_entry &entry, state_error code, std::string_view reason); // "<key>: <reason>" at the entry's line
    void reportUnknownKeys(std::string_view exceptPrefix = {}); // adds an error for each key that was not read, except keys that start with the prefix

    template<typename integer>
    bool readCount(std::string_view key, integer &target, std::uint64_t min, std::uint64_t max) // whole number from min to max
    {
        std::uint64_t value = 0;
        const bool found = readUnsigned(key, value, min, max);
        if (found) {
            target = static_cast<integer>(value);
        }
        return found;
    }

private:
    template<typename value, typename parser>
    bool readParsed(std::string_view key, value &target, const parser &parse);
    bool readUnsigned(std::string_view key, std::uint64_t &target, std::uint64_t min, std::uint64_t max);

    const ini_section &m_section;
    parse_errors &m_errors;
    std::vector<std::string_view> m_known; // keys that were read or required
};

} // namespace dandelionstall::state
