// Read-only queries and collected changes of membership. Updates of member records are in membership.cpp.
#include <dandelionstall/coordination/membership/membership.h>

#include <algorithm>
#include <utility>

namespace dandelionstall::coordination {

namespace {

bool isLive(const member &value)
{
    return value.state == member_state::alive || value.state == member_state::suspect;
}

} // namespace

std::vector<member> membership::members() const
{
    std::vector<member> result;
    result.reserve(m_members.size());
    for (const auto &[address, known] : m_members) {
        result.push_back(known.record);
    }
    return result;
}

const member *membership::find(const state::node_address &address) const
{
    const auto it = m_members.find(address);
    return it == m_members.end() ? nullptr : &it->second.record;
}

std::size_t membership::countLive() const
{
    const auto live
        = std::count_if(m_members.begin(), m_members.end(), [](const auto &row) { return isLive(row.second.record) && !row.second.record.leaving; });
    return static_cast<std::size_t>(live) + (m_self.leaving ? 0 : 1);
}

std::vector<state::node_address> membership::availableNodes(std::string_view dataCentre) const
{
    return nodesIn(dataCentre, false);
}

std::vector<state::node_address> membership::expectedNodes(std::string_view dataCentre) const
{
    return nodesIn(dataCentre, true);
}

std::vector<state::node_address> membership::nodesIn(std::string_view dataCentre, bool includeListed) const
{
    std::vector<state::node_address> result;
    for (const auto &[address, known] : m_members) {
        const bool counts = known.record.state == member_state::alive || (includeListed && known.record.state == member_state::listed);
        if (counts && !known.record.leaving && known.record.dataCentre == dataCentre) {
            result.push_back(address);
        }
    }
    if (!m_self.leaving && m_self.dataCentre == dataCentre) {
        result.insert(std::lower_bound(result.begin(), result.end(), m_self.address), m_self.address);
    }
    return result;
}

std::uint64_t membership::version() const
{
    return m_version;
}

bool membership::isLeaving() const
{
    return m_self.leaving;
}

const gossip_sender &membership::self() const
{
    return m_self;
}

member membership::selfAsMember() const
{
    return {m_self.address, m_self.dataCentre, m_self.incarnation, m_self.refutations, member_state::alive, m_self.leaving};
}

std::optional<member> membership::memberRecord(const state::node_address &address) const
{
    if (address == m_self.address) {
        return selfAsMember();
    }
    const member *known = find(address);
    return known != nullptr ? std::optional(*known) : std::nullopt;
}

std::vector<member> membership::consumeChanges()
{
    std::vector<member> result;
    for (const state::node_address &address : std::exchange(m_changed, {})) {
        if (const member *known = find(address)) {
            result.push_back(*known);
        }
    }
    return result;
}

std::vector<path_observation> membership::consumePathObservations()
{
    return std::exchange(m_pathObservations, {});
}

bool membership::consumePauseDetected()
{
    return std::exchange(m_pauseDetected, false);
}

} // namespace dandelionstall::coordination
