#include <dandelionstall/coordination/rates/rate_node.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::seconds ExpiryInterval{1};
constexpr std::chrono::milliseconds JoinTime{500}; // from the first news of a node to contact with it
constexpr std::size_t MostTold = 16;               // nodes that are told directly, without relays

} // namespace

rate_node::rate_node(state::node_address self, std::uint64_t seed)
    : m_self(std::move(self))
    , m_random(seed)
{
    m_ring.rebuild({m_self});
}

const rate_ring &rate_node::ring() const
{
    return m_ring;
}

double rate_node::share() const
{
    return m_coordinator.share();
}

// While all known nodes are in contact, more of them take organisations away from this one and bring it none that others have counted.
void rate_node::setFleet(std::vector<state::node_address> inContact, std::size_t known, bool isAlone, state::time_point now)
{
    if (m_startedAt == state::time_point{}) {
        m_startedAt = now;
        m_coordinator.recordRoleChange(now);
    }
    const bool hasContact = m_ring.nodes().size() > 1 || now < m_startedAt + JoinTime;
    if (hasContact && m_ring.nodes().size() >= m_known) {
        m_wholeAt = now;
    }
    m_known = std::max(known, inContact.size());
    m_isAlone = isAlone;
    if (inContact != m_ring.nodes()) {
        const bool onlyJoins = joinsOnly(inContact, now);
        m_ring.rebuild(std::move(inContact));
        if (!onlyJoins) {
            m_coordinator.recordRoleChange(now);
        }
    }
    updateShare(1.0, now);
}

// Whether no node is missing, nor was before these came. A node that joins is known a little earlier than it is in contact.
bool rate_node::joinsOnly(const std::vector<state::node_address> &inContact, state::time_point now) const
{
    const auto isInContact = [&inContact](const state::node_address &node) {
        return std::find(inContact.begin(), inContact.end(), node) != inContact.end();
    };
    const bool keepsAll = std::all_of(m_ring.nodes().begin(), m_ring.nodes().end(), isInContact);
    return keepsAll && inContact.size() >= m_known && now < m_wholeAt + JoinTime;
}

// A node that nobody answers knows no members as lost, and the loss of many is known late: what its coordinators answer counts, too.
void rate_node::updateShare(double answeringShare, state::time_point now)
{
    const double inContact = m_isAlone ? 1.0 : static_cast<double>(m_ring.nodes().size());
    const double share = std::min(inContact / static_cast<double>(m_known), std::max(answeringShare, 1.0 / static_cast<double>(m_known)));
    if (std::abs(share - m_coordinator.share()) > 1e-9 || m_knownToCoordinator != m_known) {
        m_knownToCoordinator = m_known;
        m_coordinator.setShare(share, m_known, now);
    }
}

rate_step rate_node::tick(std::vector<outgoing_rates> reports, const limit_lookup &limits, double answeringShare, state::time_point now)
{
    rate_step step;
    updateShare(answeringShare, now);
    if (m_nextExpiry <= now) {
        m_nextExpiry = now + ExpiryInterval;
        m_coordinator.expire(now);
    }
    for (outgoing_rates &report : reports) {
        if (report.to == m_self) {
            answer(m_self, report.message, limits, now, step);
        } else {
            step.out.push_back(std::move(report));
        }
    }
    tellAll(m_coordinator.consumeNotices(now), step);
    return step;
}

rate_step rate_node::receive(const state::node_address &from, const rate_message &message, const limit_lookup &limits, state::time_point now)
{
    rate_step step;
    for (const rate_grant &grant : message.grants) {
        step.answers.push_back({from, grant});
    }
    if (message.relayGroups > 0) {
        passOn(message, step);
    }
    answer(from, message, limits, now, step);
    return step;
}

void rate_node::answer(const state::node_address &from, const rate_message &message, const limit_lookup &limits, state::time_point now, rate_step &step)
{
    rate_message reply;
    for (const rate_report &report : message.reports) {
        rate_grant grant = m_coordinator.record(from, report, limits(report.organisation), now);
        if (from == m_self) {
            step.answers.push_back({m_self, std::move(grant)});
        } else {
            reply.grants.push_back(std::move(grant));
        }
    }
    if (!reply.grants.empty()) {
        step.out.push_back({from, std::move(reply)});
    }
}

// Only the first coordinator tells all: the second one knows the same a little later.
void rate_node::tellAll(std::vector<rate_grant> notices, rate_step &step)
{
    std::erase_if(notices, [this](const rate_grant &notice) {
        const state::node_address *first = m_ring.coordinatorsOf(notice.organisation).front();
        return first == nullptr || *first != m_self;
    });
    rate_message message;
    std::size_t bytes = 0;
    for (rate_grant &notice : notices) {
        if (!fitsRates(bytes, notice.organisation)) {
            tellGroups(std::exchange(message, {}), step);
            bytes = 0;
        }
        bytes += RateRowBytes + notice.organisation.size();
        step.answers.push_back({m_self, notice});
        message.grants.push_back(std::move(notice));
    }
    if (!message.grants.empty()) {
        tellGroups(std::move(message), step);
    }
}

void rate_node::tellGroups(rate_message message, rate_step &step)
{
    const std::size_t nodes = m_ring.nodes().size();
    const auto groups = nodes <= MostTold ? 0 : static_cast<std::uint32_t>(std::lround(std::sqrt(static_cast<double>(nodes))));
    message.relayGroups = groups;
    std::vector<std::vector<const state::node_address *>> members(std::max<std::uint32_t>(groups, 1));
    for (const state::node_address &node : m_ring.nodes()) {
        if (node != m_self) {
            members[groups == 0 ? 0 : rate_ring::groupOf(node, groups)].push_back(&node);
        }
    }
    for (const std::vector<const state::node_address *> &group : members) {
        if (groups == 0) {
            for (const state::node_address *node : group) {
                step.out.push_back({*node, message});
            }
        } else if (!group.empty()) {
            step.out.push_back({*group[m_random(static_cast<std::uint32_t>(group.size()))], message});
        }
    }
}

void rate_node::passOn(const rate_message &message, rate_step &step) const
{
    rate_message passed;
    passed.grants = message.grants;
    const std::uint32_t own = rate_ring::groupOf(m_self, message.relayGroups);
    for (const state::node_address &node : m_ring.nodes()) {
        if (node != m_self && rate_ring::groupOf(node, message.relayGroups) == own) {
            step.out.push_back({node, passed});
        }
    }
}

} // namespace dandelionstall::coordination
