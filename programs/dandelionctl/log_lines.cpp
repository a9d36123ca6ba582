#include "log_lines.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdint>

namespace dandelionctl {

namespace {

constexpr std::array<std::string_view, 3> HeadFields{"node", "event", "name"}; // fields that precede those of the event, in this order
constexpr std::string_view TimePattern = "0000-00-00T00:00:00.000Z";           // a 0 matches any digit

bool isTime(std::string_view text)
{
    if (text.size() < TimePattern.size()) {
        return false;
    }
    for (std::size_t i = 0; i < TimePattern.size(); ++i) {
        const bool fits = TimePattern[i] == '0' ? text[i] >= '0' && text[i] <= '9' : text[i] == TimePattern[i];
        if (!fits) {
            return false;
        }
    }
    return true;
}

std::int32_t parseNumber(std::string_view text, std::size_t from, std::size_t count)
{
    std::int32_t value = 0;
    std::from_chars(text.data() + from, text.data() + from + count, value);
    return value;
}

log_time parseTime(std::string_view text)
{
    const std::chrono::year_month_day day{std::chrono::year(parseNumber(text, 0, 4)),
                                          std::chrono::month(static_cast<unsigned>(parseNumber(text, 5, 2))),
                                          std::chrono::day(static_cast<unsigned>(parseNumber(text, 8, 2)))};
    return std::chrono::sys_days(day) + std::chrono::hours(parseNumber(text, 11, 2)) + std::chrono::minutes(parseNumber(text, 14, 2))
           + std::chrono::seconds(parseNumber(text, 17, 2)) + std::chrono::milliseconds(parseNumber(text, 20, 3));
}

// Removes a value from the front of the text and returns it: up to the next blank, or the part between quotes.
std::string consumeValue(std::string_view &rest)
{
    if (!rest.starts_with('"')) {
        const std::string_view value = rest.substr(0, rest.find(' '));
        rest.remove_prefix(value.size());
        return std::string(value);
    }
    std::string value;
    std::size_t i = 1;
    for (; i < rest.size() && rest[i] != '"'; ++i) {
        if (rest[i] == '\\' && i + 1 < rest.size() && (rest[i + 1] == '"' || rest[i + 1] == '\\')) {
            ++i;
        }
        value += rest[i];
    }
    rest.remove_prefix(std::min(rest.size(), i + 1));
    return value;
}

void parseFields(std::string_view rest, log_line &line)
{
    while (!rest.empty()) {
        rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(' ')));
        const std::size_t equals = rest.find('=');
        if (equals == std::string_view::npos) {
            return;
        }
        std::string name(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        line.fields.insert_or_assign(std::move(name), consumeValue(rest));
    }
}

// Removes a field of the given name from the front of the text; false when the text starts with another field or with none.
bool consumeHeadField(std::string_view &rest, std::string_view name, std::string &value)
{
    rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(' ')));
    if (!rest.starts_with(name) || !rest.substr(name.size()).starts_with('=')) {
        return false;
    }
    rest.remove_prefix(name.size() + 1);
    value = consumeValue(rest);
    return true;
}

} // namespace

std::optional<log_line> parseLogLine(std::string_view text)
{
    std::size_t start = 0;
    while (start < text.size() && !isTime(text.substr(start))) {
        ++start;
    }
    const std::size_t fields = text.find(" node=", start);
    if (start >= text.size() || fields == std::string_view::npos) {
        return std::nullopt;
    }
    log_line line;
    line.time = parseTime(text.substr(start));
    std::string_view rest = text.substr(fields);
    std::array<std::string, HeadFields.size()> head;
    for (std::size_t i = 0; i < HeadFields.size(); ++i) {
        if (!consumeHeadField(rest, HeadFields.at(i), head.at(i))) {
            return std::nullopt;
        }
    }
    line.node = std::move(head[0]);
    line.event = std::move(head[2]);
    rest.remove_prefix(std::min(rest.size(), rest.find_first_not_of(' ')));
    line.text = std::string(rest);
    parseFields(rest, line);
    return line;
}

const std::string &fieldOf(const log_line &line, std::string_view name)
{
    static const std::string missing;
    const auto found = line.fields.find(name);
    return found == line.fields.end() ? missing : found->second;
}

} // namespace dandelionctl
