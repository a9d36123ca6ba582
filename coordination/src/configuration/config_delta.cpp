#include <dandelionstall/coordination/configuration/config_delta.h>

#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace dandelionstall::coordination {

namespace {

// Text of a section from its heading up to the next heading. The text before the first heading is a section with an empty name.
struct section {
    std::string_view name;
    std::string_view text;
};

constexpr std::string_view RemoveMark = "-";
constexpr std::string_view ReplaceMark = "=";
constexpr std::string_view InsertMark = "+"; // its name field is the section that the new text follows

std::size_t nextHeading(std::string_view text, std::size_t from)
{
    const std::size_t found = text.find("\n[", from);
    return found == std::string_view::npos ? text.size() : found + 1;
}

std::string_view headingName(std::string_view text)
{
    return text.starts_with('[') ? text.substr(0, text.find('\n')) : std::string_view();
}

std::vector<section> split(std::string_view text)
{
    std::vector<section> result;
    std::size_t from = 0;
    if (text.empty() || text.front() != '[') {
        from = nextHeading(text, 0);
        result.push_back({{}, text.substr(0, from)});
    }
    while (from < text.size()) {
        const std::size_t end = nextHeading(text, from);
        const std::string_view sectionText = text.substr(from, end - from);
        result.push_back({headingName(sectionText), sectionText});
        from = end;
    }
    return result;
}

std::unordered_map<std::string_view, std::string_view> indexOf(const std::vector<section> &sections)
{
    std::unordered_map<std::string_view, std::string_view> result;
    for (const section &row : sections) {
        result.emplace(row.name, row.text);
    }
    return result;
}

// An operation is a line "<mark> <bytes of name> <bytes of text>" followed by the name and the text.
void writeOperation(std::string &delta, std::string_view mark, std::string_view name, std::string_view text)
{
    fmt::format_to(std::back_inserter(delta), "{} {} {}\n{}{}", mark, name.size(), text.size(), name, text);
}

struct operation {
    char mark = 0;
    std::string_view name;
    std::string_view text;
};

std::optional<std::size_t> readNumber(std::string_view &text, char end)
{
    std::size_t value = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const auto consumedBytes = static_cast<std::size_t>(stop - text.data());
    if (error != std::errc() || consumedBytes >= text.size() || text[consumedBytes] != end) {
        return std::nullopt;
    }
    text.remove_prefix(consumedBytes + 1);
    return value;
}

std::optional<operation> readOperation(std::string_view &delta)
{
    if (delta.size() < 2 || delta[1] != ' ') {
        return std::nullopt;
    }
    operation result;
    result.mark = delta[0];
    delta.remove_prefix(2);
    const std::optional<std::size_t> nameBytes = readNumber(delta, ' ');
    const std::optional<std::size_t> textBytes = nameBytes ? readNumber(delta, '\n') : std::nullopt;
    if (!textBytes || *nameBytes > delta.size() || *textBytes > delta.size() - *nameBytes) {
        return std::nullopt;
    }
    result.name = delta.substr(0, *nameBytes);
    result.text = delta.substr(*nameBytes, *textBytes);
    delta.remove_prefix(*nameBytes + *textBytes);
    return result;
}

struct operations {
    std::unordered_set<std::string_view> removed;
    std::unordered_map<std::string_view, std::string_view> replaced;
    std::unordered_map<std::string_view, std::string_view> inserted; // by the name of the section that precedes the text
};

std::optional<operations> readOperations(std::string_view delta)
{
    operations result;
    while (!delta.empty()) {
        const std::optional<operation> next = readOperation(delta);
        if (!next) {
            return std::nullopt;
        }
        if (next->mark == RemoveMark.front()) {
            result.removed.insert(next->name);
        } else if (next->mark == ReplaceMark.front()) {
            result.replaced.emplace(next->name, next->text);
        } else if (next->mark == InsertMark.front()) {
            result.inserted.emplace(next->name, next->text);
        } else {
            return std::nullopt;
        }
    }
    return result;
}

} // namespace

std::uint64_t textDigest(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::optional<std::string> makeDelta(std::string_view before, std::string_view after)
{
    const std::vector<section> oldSections = split(before);
    const std::vector<section> newSections = split(after);
    const auto oldIndex = indexOf(oldSections);
    const auto newIndex = indexOf(newSections);
    std::string delta;
    for (const section &row : oldSections) {
        if (!newIndex.contains(row.name)) {
            writeOperation(delta, RemoveMark, row.name, {});
        }
    }
    std::string_view anchor; // latest section so far that is in both texts
    std::string pending;     // new sections that follow the anchor
    const auto flush = [&] {
        if (!pending.empty()) {
            writeOperation(delta, InsertMark, anchor, pending);
            pending.clear();
        }
    };
    for (const section &row : newSections) {
        const auto previous = oldIndex.find(row.name);
        if (previous == oldIndex.end()) {
            pending += row.text;
            continue;
        }
        flush();
        anchor = row.name;
        if (previous->second != row.text) {
            writeOperation(delta, ReplaceMark, row.name, row.text);
        }
    }
    flush();
    if (delta.size() >= after.size() || applyDelta(before, delta) != after) {
        return std::nullopt;
    }
    return delta;
}

std::optional<std::string> applyDelta(std::string_view before, std::string_view delta)
{
    const std::optional<operations> changes = readOperations(delta);
    if (!changes) {
        return std::nullopt;
    }
    std::string result;
    result.reserve(before.size() + delta.size());
    const auto insertAfter = [&](std::string_view name) {
        if (const auto added = changes->inserted.find(name); added != changes->inserted.end()) {
            result += added->second;
        }
    };
    const std::vector<section> sections = split(before);
    if (sections.empty() || !sections.front().name.empty()) {
        insertAfter({});
    }
    for (const section &row : sections) {
        if (!changes->removed.contains(row.name)) {
            const auto replaced = changes->replaced.find(row.name);
            result += replaced != changes->replaced.end() ? replaced->second : row.text;
        }
        insertAfter(row.name);
    }
    return result;
}

} // namespace dandelionstall::coordination
