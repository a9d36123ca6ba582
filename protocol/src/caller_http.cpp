#include <dandelionstall/protocol/caller_http.h>

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace dandelionstall::protocol {

namespace {

using coordination::refusal_reason;
using coordination::run_state;

constexpr std::array<std::string_view, 9> HopByHopHeaders{
    "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade"};

bool isListed(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        std::string_view item = list.substr(0, comma);
        while (!item.empty() && item.front() == ' ') {
            item.remove_prefix(1);
        }
        while (!item.empty() && item.back() == ' ') {
            item.remove_suffix(1);
        }
        if (equalHeaderNames(item, name)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view() : list.substr(comma + 1);
    }
    return false;
}

bool isHopByHop(const http_headers &headers, std::string_view name)
{
    const bool standard = std::any_of(HopByHopHeaders.begin(), HopByHopHeaders.end(), [name](std::string_view known) { return equalHeaderNames(known, name); });
    if (standard) {
        return true;
    }
    return std::any_of(headers.begin(), headers.end(), [name](const http_header &header) {
        return equalHeaderNames(header.name, "connection") && isListed(header.value, name);
    });
}

} // namespace

std::uint32_t httpStatusOf(const caller_refusal &refusal)
{
    switch (refusal.reason) {
    case refusal_reason::no_route:
        return 404;
    case refusal_reason::bad_request:
        return 400;
    case refusal_reason::unknown_key:
        return 401;
    case refusal_reason::body_too_large:
        return 413;
    case refusal_reason::organisation_limit:
        return 429;
    case refusal_reason::duplicate_attempt:
        return 409;
    case refusal_reason::expired_in_queue:
    case refusal_reason::late_frame:
    case refusal_reason::unknown_outcome:
        return 504;
    default:
        break;
    }
    return refusal.run == run_state::not_run ? 503 : 502;
}

std::string jsonBodyOf(const caller_refusal &refusal)
{
    boost::json::object body;
    body["reason"] = boost::json::string(coordination::reasonName(refusal.reason));
    body["run"] = boost::json::string(coordination::runStateName(refusal.run));
    if (refusal.retryAfter.count() > 0) {
        body["retry_after_ms"] = refusal.retryAfter.count();
    }
    return boost::json::serialize(body) + "\n";
}

std::uint64_t retryAfterSeconds(const caller_refusal &refusal)
{
    return static_cast<std::uint64_t>(std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter).count());
}

std::string retryAfterText(const caller_refusal &refusal, bool fractions)
{
    if (!fractions) {
        return std::to_string(retryAfterSeconds(refusal));
    }
    const std::string millis = std::to_string(refusal.retryAfter.count() % 1000);
    return std::to_string(refusal.retryAfter.count() / 1000) + "." + std::string(3 - millis.size(), '0') + millis;
}

bool isFinalStatus(std::uint32_t status)
{
    return status >= 200 && status <= 599;
}

bool isInterimStatus(std::uint32_t status)
{
    constexpr std::uint32_t SwitchingProtocols = 101;
    return status >= 100 && status <= 199 && status != SwitchingProtocols;
}

bool equalHeaderNames(std::string_view a, std::string_view b)
{
    return a.size() == b.size()
           && std::equal(a.begin(), a.end(), b.begin(), [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view findHeader(const http_headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [name](const http_header &header) { return equalHeaderNames(header.name, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

std::vector<std::string_view> findHeaders(const http_headers &headers, std::string_view name)
{
    std::vector<std::string_view> values;
    for (const http_header &header : headers) {
        if (equalHeaderNames(header.name, name)) {
            values.push_back(header.value);
        }
    }
    return values;
}

void removeHeaders(http_headers &headers, std::string_view name)
{
    const auto foldDash = [](unsigned char c) {
        return c == '_' ? '-' : std::tolower(c);
    };
    std::erase_if(headers, [&](const http_header &header) {
        return std::ranges::equal(header.name, name, [&](unsigned char x, unsigned char y) { return foldDash(x) == foldDash(y); });
    });
}

http_headers endToEndHeaders(const http_headers &headers)
{
    http_headers forwarded;
    forwarded.reserve(headers.size());
    for (const http_header &header : headers) {
        if (!isHopByHop(headers, header.name)) {
            forwarded.push_back(header);
        }
    }
    return forwarded;
}

std::string_view hostWithoutPort(std::string_view host)
{
    if (!host.empty() && host.front() == '[') {
        return host.substr(0, host.find(']') + 1);
    }
    return host.substr(0, host.find(':'));
}

std::string_view authorityOf(std::string_view target)
{
    const std::size_t scheme = target.find("://");
    if (target.empty() || target.front() == '/' || scheme == std::string_view::npos) {
        return {};
    }
    const std::string_view rest = target.substr(scheme + 3);
    const std::string_view authority = rest.substr(0, rest.find_first_of("/?#"));
    const std::size_t user = authority.rfind('@');
    return user == std::string_view::npos ? authority : authority.substr(user + 1);
}

std::string_view pathOf(std::string_view target)
{
    const std::size_t scheme = target.find("://");
    if (!target.empty() && target.front() != '/' && scheme != std::string_view::npos) {
        const std::size_t slash = target.find('/', scheme + 3);
        target = slash == std::string_view::npos ? std::string_view("/") : target.substr(slash);
    }
    return target.substr(0, target.find_first_of("?#"));
}

} // namespace dandelionstall::protocol
