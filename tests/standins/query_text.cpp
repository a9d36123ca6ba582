#include "query_text.h"

#include <algorithm>
#include <charconv>

namespace dandelionstall::standins {

namespace {

std::string unescape(std::string_view text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() && std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ec == std::errc()) {
            out += static_cast<char>(value);
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

} // namespace

std::string_view queryOf(std::string_view target)
{
    const std::size_t separator = target.find('?');
    return separator == std::string_view::npos ? std::string_view() : target.substr(separator + 1);
}

std::string parameterOf(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const std::string_view item = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), item.size() + 1));
        const std::size_t equals = item.find('=');
        if (item.substr(0, equals) == name) {
            return equals == std::string_view::npos ? "" : unescape(item.substr(equals + 1));
        }
    }
    return {};
}

std::uint64_t leadingNumber(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace dandelionstall::standins
