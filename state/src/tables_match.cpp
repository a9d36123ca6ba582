#include <dandelionstall/state/tables.h>

#include <absl/strings/ascii.h>

#include <algorithm>

namespace dandelionstall::state {

namespace detail {

std::string normalizeHost(std::string_view host)
{
    const bool isBracketed = host.starts_with('['); // IPv6 address
    const std::size_t nameEnd = isBracketed ? host.find(']') : host.find(':');
    if (nameEnd != std::string_view::npos) {
        host = host.substr(0, isBracketed ? nameEnd + 1 : nameEnd);
    }
    if (host.ends_with('.')) {
        host.remove_suffix(1);
    }
    std::string normal(host);
    absl::AsciiStrToLower(&normal);
    return normal;
}

std::string_view stripQuery(std::string_view target)
{
    return target.substr(0, target.find_first_of("?#"));
}

bool matchesPath(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix)) {
        return false;
    }
    return path.size() == prefix.size() || prefix == "/" || path[prefix.size()] == '/';
}

bool matchesMethod(const route &candidate, std::string_view method)
{
    return candidate.methods.empty() || std::find(candidate.methods.begin(), candidate.methods.end(), method) != candidate.methods.end();
}

bool matchesSubpath(const route &candidate, std::string_view path)
{
    return !candidate.subpathsOnly || candidate.pathPrefix == "/" || path.size() > candidate.pathPrefix.size();
}

} // namespace detail

const route *matchRoute(const route_table &table, std::string_view host, std::string_view path, std::string_view method)
{
    const std::string normalHost = detail::normalizeHost(host);
    path = detail::stripQuery(path);
    const auto isBetter = [](const route &candidate, const route &best) {
        if (candidate.host.empty() != best.host.empty()) {
            return best.host.empty();
        }
        return candidate.pathPrefix.size() > best.pathPrefix.size();
    };
    const route *best = nullptr;
    for (const route &candidate : table.routes) {
        const bool matchesHost = candidate.host.empty() || candidate.host == normalHost;
        if (!matchesHost || !detail::matchesPath(candidate.pathPrefix, path) || !detail::matchesMethod(candidate, method)
            || !detail::matchesSubpath(candidate, path)) {
            continue;
        }
        if (best == nullptr || isBetter(candidate, *best)) {
            best = &candidate;
        }
    }
    return best;
}

} // namespace dandelionstall::state
