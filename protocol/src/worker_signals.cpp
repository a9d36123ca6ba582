#include <dandelionstall/protocol/caller_http.h>
#include <dandelionstall/protocol/worker_signals.h>

#include <algorithm>
#include <charconv>
#include <vector>

namespace dandelionstall::protocol {

namespace {

constexpr std::size_t MaxLoggedValueBytes = 64;

std::vector<std::string_view> findValues(const http_headers &headers, std::string_view name)
{
    std::vector<std::string_view> values;
    for (const http_header &header : headers) {
        if (!name.empty() && equalHeaderNames(header.name, name)) {
            values.push_back(header.value);
        }
    }
    return values;
}

std::optional<double> parseRate(std::string_view text)
{
    double rate = 0.0;
    const auto parsed = std::from_chars(text.begin(), text.end(), rate, std::chars_format::fixed);
    const bool isPlain = !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return (c >= '0' && c <= '9') || c == '.'; });
    const bool isWhole = parsed.ec == std::errc() && parsed.ptr == text.end();
    return isPlain && isWhole && rate <= MaxRateLimit ? std::optional(rate) : std::nullopt;
}

void addInvalid(std::string_view name, const std::vector<std::string_view> &values, std::string &invalid)
{
    for (const std::string_view value : values) {
        invalid.append(invalid.empty() ? "" : ", ").append(name).append(": ").append(value.substr(0, MaxLoggedValueBytes));
    }
}

} // namespace

worker_signals readWorkerSignals(const http_headers &headers, const state::header_names &names)
{
    worker_signals signals;
    const std::vector<std::string_view> rates = findValues(headers, names.rateLimit);
    if (rates.size() == 1) {
        signals.rateLimit = parseRate(rates.front());
    }
    if (!rates.empty() && !signals.rateLimit) {
        addInvalid(names.rateLimit, rates, signals.invalid);
    }
    const std::vector<std::string_view> leaving = findValues(headers, names.leaving);
    signals.leaving = leaving.size() == 1 && leaving.front() == "1";
    if (!leaving.empty() && !signals.leaving && !(leaving.size() == 1 && leaving.front() == "0")) {
        addInvalid(names.leaving, leaving, signals.invalid);
    }
    return signals;
}

} // namespace dandelionstall::protocol
