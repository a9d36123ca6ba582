// Which nodes coordinate the rate of an organisation: the first two on a hash ring of the nodes in contact. Pure.
//
// Usage:
//   rate_ring ring;
//   ring.rebuild(nodes);                       // when the nodes in contact have changed
//   for (const state::node_address *node : ring.coordinatorsOf("ferry")) ...
#pragma once

#include <dandelionstall/state/types.h>

#include <array>
#include <string_view>
#include <vector>

namespace dandelionstall::coordination {

inline constexpr std::size_t RateCoordinators = 2; // of each organisation: the second one knows all when the first one is lost

class rate_ring
{
public:
    void rebuild(std::vector<state::node_address> nodes);
    std::uint64_t version() const; // grows with each rebuild()
    const std::vector<state::node_address> &nodes() const;

    std::array<const state::node_address *, RateCoordinators> coordinatorsOf(std::string_view organisation) const; // null where there are fewer nodes

    static std::uint32_t groupOf(const state::node_address &node, std::uint32_t groups); // for messages to all nodes

private:
    struct point {
        std::uint64_t hash = 0;
        std::uint32_t node = 0; // index into m_nodes
    };

    std::vector<state::node_address> m_nodes;
    std::vector<point> m_points; // ordered by hash
    std::uint64_t m_version = 0;
};

} // namespace dandelionstall::coordination
