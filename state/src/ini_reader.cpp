#include <dandelionstall/state/ini_reader.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <charconv>
#include <numeric>
#include <optional>

namespace dandelionstall::state {

namespace {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MaxSuggestionDistance = 3; // largest number of edits between an unknown name and a suggested one

std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); i++) {
        std::size_t diagonal = row[0]; // edit distance of the two prefixes without their last characters
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); j++) {
            const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            diagonal = row[j + 1];
            row[j + 1] = std::min({replaced, row[j] + 1, diagonal + 1});
        }
    }
    return row.back();
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_';
}

} // namespace

std::string escapeLabel(std::string_view label)
{
    std::string out;
    for (const char c : label) {
        out += isNameCharacter(c) || c == '.' ? std::string(1, c) : fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return out;
}

namespace {

constexpr std::size_t EscapeBytes = 3; // "%XX"

// Returns the byte that an escape at the begin of the text stands for, if there is one.
std::optional<char> parseEscape(std::string_view text)
{
    if (text.size() < EscapeBytes || !text.starts_with('%')) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(1, EscapeBytes - 1);
    unsigned code = 0;
    const auto parsed = std::from_chars(digits.begin(), digits.end(), code, 16);
    return parsed.ptr == digits.end() ? std::optional(static_cast<char>(code)) : std::nullopt;
}

} // namespace

absl::StatusOr<std::string> parseLabel(std::string_view text)
{
    std::string label;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (const std::optional<char> escaped = parseEscape(text.substr(i))) {
            label += *escaped;
            i += EscapeBytes - 1;
        } else if (isNameCharacter(text[i]) || text[i] == '.') {
            label += text[i];
        } else {
            return makeError(state_error::malformed, "expected letters, digits, \"-\", \"_\", \".\" or %XX for another byte");
        }
    }
    if (!isLabel(label)) {
        return makeError(state_error::malformed, fmt::format("expected 1 to {} bytes without control characters", MaxLabelBytes));
    }
    return label;
}

bool isLabel(std::string_view text)
{
    const auto isControl = [](char c) {
        return static_cast<unsigned char>(c) < 0x20 || c == '\x7f';
    };
    return !text.empty() && text.size() <= MaxLabelBytes && std::none_of(text.begin(), text.end(), isControl);
}

parse_errors::parse_errors(std::string_view source)
    : m_source(source)
{ }

void parse_errors::add(state_error code, std::uint32_t line, std::string_view reason)
{
    if (line < m_line) {
        m_line = line;
        m_status = makeIniError(code, m_source, line, reason);
    }
}

const absl::Status &parse_errors::status() const
{
    return m_status;
}

std::string_view nearestName(std::string_view name, std::span<const std::string_view> known)
{
    std::string_view nearest;
    std::size_t nearestDistance = std::min(MaxSuggestionDistance, name.size() / 2) + 1;
    for (const std::string_view candidate : known) {
        const std::size_t distance = editDistance(name, candidate);
        if (distance < nearestDistance) {
            nearest = candidate;
            nearestDistance = distance;
        }
    }
    return nearest;
}

std::string suggestName(std::string_view name, std::span<const std::string_view> known)
{
    const std::string_view nearest = nearestName(name, known);
    return nearest.empty() ? std::string() : fmt::format("; did you mean \"{}\"?", nearest);
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameBytes && std::all_of(text.begin(), text.end(), isNameCharacter);
}

section_reader::section_reader(const ini_section &section, parse_errors &errors)
    : m_section(section)
    , m_errors(errors)
{ }

const ini_entry *section_reader::findEntry(std::string_view key)
{
    m_known.push_back(key);
    for (const ini_entry &entry : m_section.entries) {
        if (entry.key == key) {
            return &entry;
        }
    }
    return nullptr;
}

void section_reader::requireKeys(std::initializer_list<std::string_view> keys)
{
    for (const std::string_view key : keys) {
        if (findEntry(key) == nullptr) {
            m_errors.add(state_error::malformed, m_section.line, fmt::format("[{}] needs the key \"{}\"", m_section.name, key));
        }
    }
}

template<typename value, typename parser>
bool section_reader::readParsed(std::string_view key, value &target, const parser &parse)
{
    const ini_entry *entry = findEntry(key);
    if (entry == nullptr) {
        return false;
    }
    absl::StatusOr<value> parsed = parse(std::string_view(entry->value));
    if (!parsed.ok()) {
        addError(*entry, state_error::out_of_range, reasonOf(parsed.status()));
        return false;
    }
    target = std::move(*parsed);
    return true;
}

bool section_reader::readText(std::string_view key, std::string &target)
{
    return readParsed(key, target, [](std::string_view text) -> absl::StatusOr<std::string> {
        if (text.empty()) {
            return makeError(state_error::malformed, "expected a value, got an empty one");
        }
        return std::string(text);
    });
}

bool section_reader::readName(std::string_view key, std::string &target)
{
    return readParsed(key, target, [](std::string_view text) -> absl::StatusOr<std::string> {
        if (!isName(text)) {
            return makeError(state_error::malformed, fmt::format("expected 1 to {} letters, digits, \"-\" or \"_\", got \"{}\"", MaxNameBytes, text));
        }
        return std::string(text);
    });
}

bool section_reader::readLabel(std::string_view key, std::string &target)
{
    return readParsed(key, target, [](std::string_view text) -> absl::StatusOr<std::string> {
        if (!isLabel(text)) {
            return makeError(state_error::malformed, fmt::format("expected 1 to {} bytes without control characters", MaxLabelBytes));
        }
        return std::string(text);
    });
}

bool section_reader::readChoice(std::string_view key, std::string &target, std::span<const std::string_view> choices)
{
    return readParsed(key, target, [&](std::string_view text) -> absl::StatusOr<std::string> {
        if (std::find(choices.begin(), choices.end(), text) == choices.end()) {
            const std::string hint = suggestName(text, choices);
            return makeError(state_error::out_of_range, fmt::format("expected one of {}, got \"{}\"{}", fmt::join(choices, ", "), text, hint));
        }
        return std::string(text);
    });
}

bool section_reader::readFlag(std::string_view key, bool &target)
{
    return readParsed(key, target, parseFlag);
}

bool section_reader::readNumber(std::string_view key, double &target, double min, double max)
{
    return readParsed(key, target, [&](std::string_view text) { return parseNumber(text, min, max); });
}

bool section_reader::readUnsigned(std::string_view key, std::uint64_t &target, std::uint64_t min, std::uint64_t max)
{
    return readParsed(key, target, [&](std::string_view text) { return parseUnsigned(text, min, max); });
}

bool section_reader::readDuration(std::string_view key, std::chrono::milliseconds &target, std::chrono::milliseconds min, std::chrono::milliseconds max)
{
    return readParsed(key, target, [&](std::string_view text) -> absl::StatusOr<std::chrono::milliseconds> {
        absl::StatusOr<std::chrono::milliseconds> span = parseDuration(text);
        if (span.ok() && (*span < min || *span > max)) {
            return makeError(state_error::out_of_range, fmt::format("expected a duration from {}ms to {}ms, got \"{}\"", min.count(), max.count(), text));
        }
        return span;
    });
}

bool section_reader::readAddress(std::string_view key, node_address &target)
{
    return readParsed(key, target, parseNodeAddress);
}

bool section_reader::readList(std::string_view key, std::vector<std::string> &target)
{
    return readParsed(key, target, [](std::string_view text) -> absl::StatusOr<std::vector<std::string>> {
        std::vector<std::string> parts = splitList(text);
        if (std::any_of(parts.begin(), parts.end(), [](const std::string &part) { return part.empty(); })) {
            return makeError(state_error::malformed, fmt::format("expected values separated by commas, got \"{}\"", text));
        }
        return parts;
    });
}

void section_reader::addError(const ini_entry &entry, state_error code, std::string_view reason)
{
    m_errors.add(code, entry.line, fmt::format("{}: {}", entry.key, reason));
}

void section_reader::reportUnknownKeys(std::string_view exceptPrefix)
{
    for (const ini_entry &entry : m_section.entries) {
        if (!exceptPrefix.empty() && entry.key.starts_with(exceptPrefix)) {
            continue;
        }
        if (std::find(m_known.begin(), m_known.end(), entry.key) == m_known.end()) {
            m_errors.add(
                state_error::unknown_key, entry.line, fmt::format("unknown key \"{}\" in [{}]{}", entry.key, m_section.name, suggestName(entry.key, m_known)));
        }
    }
}

} // namespace dandelionstall::state
