#include <dandelionstall/coordination/rates/rate_ring.h>

#include <xxhash.h>

#include <algorithm>

namespace dandelionstall::coordination {

namespace {

constexpr std::uint64_t PointsPerNode = 8;

std::uint64_t hashOf(std::string_view text, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

void rate_ring::rebuild(std::vector<state::node_address> nodes)
{
    m_nodes = std::move(nodes);
    m_points.clear();
    m_points.reserve(m_nodes.size() * PointsPerNode);
    for (std::uint32_t i = 0; i < m_nodes.size(); ++i) {
        const std::string name = state::formatNodeAddress(m_nodes[i]);
        for (std::uint64_t number = 0; number < PointsPerNode; ++number) {
            m_points.push_back({hashOf(name, number), i});
        }
    }
    std::sort(m_points.begin(), m_points.end(), [](const point &a, const point &b) { return a.hash < b.hash; });
    ++m_version;
}

std::uint64_t rate_ring::version() const
{
    return m_version;
}

const std::vector<state::node_address> &rate_ring::nodes() const
{
    return m_nodes;
}

std::array<const state::node_address *, RateCoordinators> rate_ring::coordinatorsOf(std::string_view organisation) const
{
    std::array<const state::node_address *, RateCoordinators> found{};
    const std::uint64_t hash = hashOf(organisation, 0);
    const auto first = std::lower_bound(m_points.begin(), m_points.end(), hash, [](const point &a, std::uint64_t value) { return a.hash < value; });
    std::size_t at = static_cast<std::size_t>(first - m_points.begin());
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_points.size() && count < found.size(); ++i, ++at) {
        const state::node_address *node = &m_nodes[m_points[at % m_points.size()].node];
        if (std::find(found.begin(), found.end(), node) == found.end()) {
            found[count++] = node;
        }
    }
    return found;
}

std::uint32_t rate_ring::groupOf(const state::node_address &node, std::uint32_t groups)
{
    return static_cast<std::uint32_t>(hashOf(state::formatNodeAddress(node), PointsPerNode) % groups);
}

} // namespace dandelionstall::coordination
