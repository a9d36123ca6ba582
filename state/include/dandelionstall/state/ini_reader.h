// Reads the keys of INI sections into typed members and refuses what it does not know.
//
// Usage:
//   parse_errors faults(document.source);
//   section_reader reader(section, faults);
//   reader.readCount("slots", pool.slots, 1, MaxSlots);   // keeps the default when the key is absent
//   reader.reportUnknownKeys();                           // unknown keys are faults
//   return faults.status();
//
// Index:
//   [SECTION] Faults
//   [SECTION] Sections
#pragma once

#include <dandelionstall/state/ini.h>

#include <initializer_list>
#include <limits>
#include <span>

namespace dandelionstall::state {

// [SECTION] Faults

// Collects the faults of one document and keeps the one that stands first in it.
class parse_errors
{
public:
    explicit parse_errors(std::string_view source);

    void add(state_error code, std::uint32_t line, std::string_view reason);
    const absl::Status &status() const; // "<source>:<line>: <reason>" of the first fault; OK when there is none

private:
    std::string m_source;
    std::uint32_t m_line = std::numeric_limits<std::uint32_t>::max();
    absl::Status m_status;
};

std::string_view nearestName(std::string_view name, std::span<const std::string_view> known); // empty when none is close
std::string suggestName(std::string_view name, std::span<const std::string_view> known);      // "; did you mean "..."?" or empty
bool isName(std::string_view text);                                                           // 1 to 64 letters, digits, '-' or '_'

// [SECTION] Sections

class section_reader
{
public:
    section_reader(const ini_section &section, parse_errors &faults);

    const ini_entry *findEntry(std::string_view key);               // marks the key as known; nullptr when absent
    void requireKeys(std::initializer_list<std::string_view> keys); // adds a fault for each missing key
    bool readText(std::string_view key, std::string &target);       // true when the key is there and its value is not empty
    bool readName(std::string_view key, std::string &target);       // see isName()
    bool readChoice(std::string_view key, std::string &target, std::span<const std::string_view> choices);
    bool readFlag(std::string_view key, bool &target);
    bool readNumber(std::string_view key, double &target, double min, double max);
    bool readDuration(std::string_view key, std::chrono::milliseconds &target, std::chrono::milliseconds min, std::chrono::milliseconds max);
    bool readAddress(std::string_view key, node_address &target);
    bool readList(std::string_view key, std::vector<std::string> &target);            // comma separated, trimmed
    void addError(const ini_entry &entry, state_error code, std::string_view reason); // "<key>: <reason>" at the entry's line
    void reportUnknownKeys(std::string_view exceptPrefix = {}); // adds a fault for each key never taken, but for keys that start with the prefix

    template<typename integer>
    bool readCount(std::string_view key, integer &target, std::uint64_t min, std::uint64_t max) // whole number within the limits
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
    parse_errors &m_faults;
    std::vector<std::string_view> m_known; // keys asked for
};

} // namespace dandelionstall::state
