#include <dandelionstall/state/ini.h>
#include <dandelionstall/state/text.h>

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <array>

namespace dandelionstall::state {

namespace {

struct duration_unit {
    std::string_view suffix;
    std::chrono::milliseconds length;
};

// Longest suffix first, so that "5ms" is not parsed with the unit "s".
constexpr std::array DurationUnits{
    duration_unit{"min", std::chrono::minutes(1)},
    duration_unit{"ms", std::chrono::milliseconds(1)},
    duration_unit{"s", std::chrono::seconds(1)},
};

constexpr std::uint64_t MaxDurationCount = 1'000'000'000; // keeps the product with the longest unit within 64 bits

} // namespace

std::string_view reasonOf(const absl::Status &status)
{
    constexpr std::string_view LayerPrefix = "state: ";
    std::string_view message = messageOf(status);
    if (message.starts_with(LayerPrefix)) {
        message.remove_prefix(LayerPrefix.size());
    }
    return message;
}

std::string_view trimBlanks(std::string_view text)
{
    constexpr std::string_view Blanks = " \t\r";
    const std::size_t begin = text.find_first_not_of(Blanks);
    if (begin == std::string_view::npos) {
        return {};
    }
    return text.substr(begin, text.find_last_not_of(Blanks) - begin + 1);
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    while (true) {
        const std::size_t comma = text.find(',');
        parts.emplace_back(trimBlanks(text.substr(0, comma)));
        if (comma == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(comma + 1);
    }
}

absl::StatusOr<std::uint64_t> parseUnsigned(std::string_view text, std::uint64_t min, std::uint64_t max)
{
    std::uint64_t value = 0;
    if (!absl::SimpleAtoi(toAbsl(text), &value) || value < min || value > max) {
        return makeError(state_error::out_of_range, fmt::format("expected a whole number from {} to {}, got \"{}\"", min, max, text));
    }
    return value;
}

absl::StatusOr<double> parseNumber(std::string_view text, double min, double max)
{
    double value = 0;
    const bool parsed = absl::SimpleAtod(toAbsl(text), &value);
    if (!parsed || !(value >= min && value <= max)) { // negated range check, because it is also true for NaN
        return makeError(state_error::out_of_range, fmt::format("expected a number from {} to {}, got \"{}\"", min, max, text));
    }
    return value;
}

absl::StatusOr<bool> parseFlag(std::string_view text)
{
    if (text == "yes") {
        return true;
    }
    if (text == "no") {
        return false;
    }
    return makeError(state_error::malformed, fmt::format("expected yes or no, got \"{}\"", text));
}

absl::StatusOr<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    for (const duration_unit &unit : DurationUnits) {
        if (!text.ends_with(unit.suffix)) {
            continue;
        }
        const std::string_view digits = trimBlanks(text.substr(0, text.size() - unit.suffix.size()));
        std::uint64_t count = 0;
        if (absl::SimpleAtoi(toAbsl(digits), &count) && count <= MaxDurationCount) {
            return unit.length * static_cast<std::int64_t>(count);
        }
        break;
    }
    return makeError(state_error::malformed, fmt::format("expected a whole number followed by ms, s or min, such as 250ms, 2s or 10min, got \"{}\"", text));
}

} // namespace dandelionstall::state
