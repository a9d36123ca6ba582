#include <dandelionstall/state/tables_index.h>

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace dandelionstall::state {

namespace {

constexpr std::size_t SlotsPerRoute = 2; // at most half of the slots are in use
constexpr std::size_t MinSlots = 8;

std::uint64_t hashKey(std::string_view host, std::string_view prefix)
{
    return XXH3_64bits_withSeed(prefix.data(), prefix.size(), XXH3_64bits(host.data(), host.size()));
}

// Returns the next shorter prefix that ends at a segment boundary; empty for "/".
std::string_view shorterPrefix(std::string_view prefix)
{
    const std::size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos || prefix.size() == 1) {
        return {};
    }
    return prefix.substr(0, std::max<std::size_t>(slash, 1));
}

} // namespace

route_index::route_index(std::shared_ptr<const route_table> table)
    : m_table(std::move(table))
    , m_slots(std::bit_ceil(std::max(MinSlots, m_table->routes.size() * SlotsPerRoute)))
    , m_next(m_table->routes.size())
{
    for (std::uint32_t i = 0; i < m_table->routes.size(); i++) {
        insert(i);
        m_longestPrefix = std::max(m_longestPrefix, m_table->routes[i].pathPrefix.size());
    }
}

void route_index::insert(std::uint32_t routeNumber)
{
    const route &added = m_table->routes[routeNumber];
    std::size_t slot = hashKey(added.host, added.pathPrefix) & (m_slots.size() - 1);
    while (m_slots[slot] != 0) {
        std::uint32_t last = m_slots[slot] - 1;
        const route &head = m_table->routes[last];
        if (head.host == added.host && head.pathPrefix == added.pathPrefix) {
            while (m_next[last] != 0) {
                last = m_next[last] - 1;
            }
            m_next[last] = routeNumber + 1;
            return;
        }
        slot = (slot + 1) & (m_slots.size() - 1);
    }
    m_slots[slot] = routeNumber + 1;
}

std::uint32_t route_index::findChain(std::string_view host, std::string_view prefix) const
{
    std::size_t slot = hashKey(host, prefix) & (m_slots.size() - 1);
    while (m_slots[slot] != 0) {
        const route &head = m_table->routes[m_slots[slot] - 1];
        if (head.host == host && head.pathPrefix == prefix) {
            return m_slots[slot];
        }
        slot = (slot + 1) & (m_slots.size() - 1);
    }
    return 0;
}

const route *route_index::matchHost(std::string_view host, std::string_view path, std::string_view method) const
{
    std::string_view prefix = path;
    if (path.size() > m_longestPrefix) { // start at the last segment boundary within the longest prefix of all routes
        prefix = path.substr(0, path[m_longestPrefix] == '/' ? m_longestPrefix : path.substr(0, m_longestPrefix).rfind('/'));
        prefix = prefix.empty() ? path.substr(0, 1) : prefix;
    }
    while (!prefix.empty()) {
        for (std::uint32_t link = findChain(host, prefix); link != 0; link = m_next[link - 1]) {
            const route &candidate = m_table->routes[link - 1];
            if (detail::matchesMethod(candidate, method) && detail::matchesSubpath(candidate, path)) {
                return &candidate;
            }
        }
        prefix = shorterPrefix(prefix);
    }
    return nullptr;
}

const route *route_index::match(std::string_view host, std::string_view path, std::string_view method) const
{
    path = detail::stripQuery(path);
    if (!path.starts_with('/')) {
        return nullptr;
    }
    const std::string normalHost = detail::normalizeHost(host);
    const route *found = normalHost.empty() ? nullptr : matchHost(normalHost, path, method);
    return found != nullptr ? found : matchHost({}, path, method);
}

const route_table &route_index::table() const
{
    return *m_table;
}

std::size_t route_index::memoryBytes() const
{
    return (m_slots.capacity() + m_next.capacity()) * sizeof(std::uint32_t);
}

} // namespace dandelionstall::state
