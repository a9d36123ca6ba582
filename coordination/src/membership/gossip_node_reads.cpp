// Reads of the service: which nodes read it for their data centre, and for how long nobody has.
#include <dandelionstall/coordination/membership/gossip_node.h>

#include <algorithm>
#include <iterator>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::milliseconds ReadPushInterval{300}; // between two pushes of the reads of this node; shorter than the time between two reads
constexpr std::size_t ReaderPushes = 3;                    // nodes of the data centre to which a change of the readers is passed on

} // namespace

void gossip_node::recordServiceRead(state::time_point now)
{
    recordReadGap(m_readers.serviceReadAge(now), std::chrono::milliseconds(0), now);
    m_readers.recordRead(now);
    m_readPushDue = m_readPushDue || reads(m_readers.role());
}

// Tells the directory for how long no node of the data centre has read the service. Each node finds this out by itself, from the ages of
// the reads that it hears of: the readers may get their first answers one after the other.
void gossip_node::recordReadGap(std::chrono::milliseconds ageBefore, std::chrono::milliseconds age, state::time_point now)
{
    if (ageBefore >= MaxReadAge || age >= ageBefore) { // no read was known before, or no later one is known now
        return;
    }
    m_directory.recordServiceFailure(now - ageBefore);
    m_directory.recordServiceRecovery(now - age);
}

// What this node tells nodes that have just started. During an outage, the whole time: it may have ended, unheard of.
std::chrono::milliseconds gossip_node::removalHold(state::time_point now) const
{
    const std::chrono::milliseconds age = m_readers.serviceReadAge(now);
    const bool isOutage = age >= EntryLapseTime && age < MaxReadAge;
    return isOutage ? EntryReturnTime : m_directory.removalHold(now);
}

bool gossip_node::isServiceReadAllowed(state::time_point now) const
{
    const bool complete = m_store.newestKnown(table_kind::routes).revision != 0 && m_store.newestKnown(table_kind::pools).revision != 0;
    const bool isAlone = m_listRead && !m_hasPeers;
    return complete || isAlone || now >= (m_configDissemination.receivedPeerRevision() ? m_peerTransferDeadline : m_unresponsivePeersDeadline);
}

reader_role gossip_node::serviceRole(state::time_point now) const
{
    return isServiceReadAllowed(now) ? m_readers.role() : reader_role::none;
}

bool gossip_node::isServiceReader(state::time_point now) const
{
    return reads(serviceRole(now));
}

void gossip_node::setServiceReadGap(std::chrono::milliseconds gap)
{
    m_readers.setReadGap(gap);
}

const reader_choice &gossip_node::readers() const
{
    return m_readers;
}

bool gossip_node::consumeSearchStarted()
{
    return m_readers.consumeSearchStarted();
}

// A node that has just started has had no contact with most members. It counts the listed ones as well, or it would select itself
// until then, as all nodes of a fleet that starts at once would. A node that reaches no other one reads for itself.
void gossip_node::refreshReaders(state::time_point now)
{
    const bool joining = now < m_joinedAt;
    const bool isolated = m_members.isIsolated(now);
    if (joining == m_readersWhileJoining && isolated == m_readersWhileIsolated && m_readersVersion == m_members.version() + 1) {
        return;
    }
    m_readersWhileJoining = joining;
    m_readersWhileIsolated = isolated;
    m_readersVersion = m_members.version() + 1; // plus 1, because 0 means that there was no choice yet
    const gossip_sender &self = m_members.self();
    if (isolated) {
        m_readers.setMembers({self.address});
        return;
    }
    m_readers.setMembers(joining ? m_members.expectedNodes(self.dataCentre) : m_members.availableNodes(self.dataCentre));
}

// Pushes a change of the readers, which each node passes on to a few others, and the reads of this node to those who would replace it.
void gossip_node::pushReaders(state::time_point now, gossip_batch &out)
{
    std::vector<state::node_address> receivers;
    if (m_pushedReaders != m_readers.window()) {
        m_pushedReaders = m_readers.window();
        receivers = m_members.samplePeers(ReaderPushes, 0);
        if (m_readers.window().width <= FirstSearchWidth) {
            std::ranges::move(m_readers.nextInOrder(), std::back_inserter(receivers));
        }
    } else if (m_readPushDue && m_nextReadPush <= now) {
        m_readPushDue = false;
        m_nextReadPush = now + ReadPushInterval;
        receivers = m_readers.nextInOrder();
    }
    std::ranges::sort(receivers);
    receivers.erase(std::unique(receivers.begin(), receivers.end()), receivers.end());
    for (const state::node_address &receiver : receivers) {
        out.push_back({receiver, {}});
    }
}

} // namespace dandelionstall::coordination
