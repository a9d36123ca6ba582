#include <dandelionstall/coordination/membership/membership.h>

#include <algorithm>
#include <array>
#include <numeric>
#include <xxhash.h>

namespace dandelionstall::coordination {

namespace {

constexpr std::size_t RelayCount = 3;          // members requested to ping a target that has not answered this node
constexpr std::size_t LocalPushReceivers = 3;  // receivers of one push in the local data centre
constexpr std::size_t RemotePushReceivers = 1; // receivers of one push in other data centres
constexpr std::size_t OutcomeWindow = 12;      // latest probe outcomes that isIsolated() evaluates
constexpr std::size_t PagePullPeers = 1;       // peers sampled for one member_pull

constexpr std::chrono::milliseconds SuspectPingInterval{100};
constexpr std::chrono::seconds AbsentProbeInterval{1};     // between pings to members in state listed or dead
constexpr std::chrono::milliseconds JoinPageInterval{200}; // between member_pull requests until the first copy of the list is complete
constexpr std::chrono::seconds PageInterval{10};           // between member_pull requests afterwards
constexpr std::uint32_t MinListCopies = 3;                 // copies of the list of members after the start
constexpr std::uint32_t MaxListCopies = 10;                // the same while there are members in state listed
constexpr std::chrono::minutes ExpiryInterval{1};

constexpr std::uint64_t RingSeed = 0x72696E67;

enum class probe_slot { ring, pool_peer, local, remote };

constexpr std::array ProbeSchedule{
    probe_slot::ring,
    probe_slot::pool_peer,
    probe_slot::ring,
    probe_slot::local,
    probe_slot::ring,
    probe_slot::pool_peer,
    probe_slot::ring,
    probe_slot::remote,
};

std::uint64_t ringPosition(const state::node_address &address)
{
    return XXH3_64bits_withSeed(address.ip.data(), address.ip.size(), RingSeed + address.port);
}

} // namespace

gossip_batch membership::tick(state::time_point now)
{
    gossip_batch out;
    if (m_lastTick == state::time_point{}) { // first tick
        m_lastAnswer = now;
        m_nextExpiry = now + ExpiryInterval;
        m_nextProbe = now + std::chrono::milliseconds(m_random(static_cast<std::uint32_t>(ProbePeriod.count())));
        queueUpdate(m_self.address, false);
    } else if (now - m_lastTick > ProcessPauseThreshold) {
        handleProcessPause(now);
    }
    m_lastTick = now;
    if (m_indexStale) {
        rebuildIndex();
    }
    checkProbes(now, out);
    checkSuspects(now, out);
    if (m_nextProbe <= now) {
        m_nextProbe = now + ProbePeriod;
        probeNext(now, out);
    }
    probeAbsentMember(now, out);
    requestMemberPage(now, out);
    pushUpdates(now, out);
    if (m_nextExpiry <= now) {
        m_nextExpiry = now + ExpiryInterval;
        expireDeadMembers(now);
    }
    return out;
}

void membership::rebuildIndex()
{
    m_indexStale = false;
    m_ring.clear();
    m_remote.clear();
    m_absent.clear();
    m_listedCount = 0;
    for (const auto &[address, known] : m_members) {
        const member_state state = known.record.state;
        if (state == member_state::listed || state == member_state::dead) {
            m_absent.push_back(address);
            m_listedCount += state == member_state::listed ? 1 : 0;
        } else if (known.record.dataCentre == m_self.dataCentre) {
            m_ring.emplace_back(ringPosition(address), address);
        } else {
            m_remote.push_back(address);
        }
    }
    std::sort(m_ring.begin(), m_ring.end());
}

// ---- Choice of targets ----

std::optional<state::node_address> membership::selectRandom(const std::vector<state::node_address> &from)
{
    if (from.empty()) {
        return std::nullopt;
    }
    const state::node_address &candidate = from[m_random(static_cast<std::uint32_t>(from.size()))];
    return m_suspects.contains(candidate) ? std::nullopt : std::optional(candidate);
}

// Returns the nearest successor of this node on the ring that is not suspected. Skipping suspected members lets probes reach
// the next successor while the nearest one is unresponsive.
std::optional<state::node_address> membership::nextRingSuccessor()
{
    const auto begin = std::upper_bound(m_ring.begin(), m_ring.end(), std::pair(ringPosition(m_self.address), m_self.address));
    const auto offset = static_cast<std::size_t>(begin - m_ring.begin());
    for (std::size_t step = 0; step < m_ring.size(); ++step) {
        const state::node_address &address = m_ring[(offset + step) % m_ring.size()].second;
        if (!m_suspects.contains(address)) {
            return address;
        }
    }
    return std::nullopt;
}

std::optional<state::node_address> membership::selectProbeTarget()
{
    const probe_slot slot = ProbeSchedule[m_probeRound++ % ProbeSchedule.size()];
    std::optional<state::node_address> target;
    if (slot == probe_slot::ring) {
        target = nextRingSuccessor();
    } else if (slot == probe_slot::pool_peer) {
        target = selectRandom(m_poolPeers);
        const member *known = target ? find(*target) : nullptr;
        if (known == nullptr || known->state != member_state::alive) {
            target.reset();
        }
    } else if (slot == probe_slot::remote) {
        target = selectRandom(m_remote);
    }
    if (target) {
        return target;
    }
    if (!m_ring.empty()) {
        const state::node_address &candidate = m_ring[m_random(static_cast<std::uint32_t>(m_ring.size()))].second;
        return m_suspects.contains(candidate) ? nextRingSuccessor() : std::optional(candidate);
    }
    return selectRandom(m_remote);
}

std::vector<state::node_address> membership::samplePeers(std::size_t local, std::size_t remote)
{
    if (m_indexStale && m_ring.empty() && m_remote.empty()) {
        rebuildIndex();
    }
    std::vector<state::node_address> result;
    const auto draw = [&](std::size_t count, std::size_t size, const auto &at) {
        for (std::size_t i = 0; i < count && size > 0; ++i) {
            const state::node_address &address = at(m_random(static_cast<std::uint32_t>(size)));
            if (std::find(result.begin(), result.end(), address) == result.end()) {
                result.push_back(address);
            }
        }
    };
    draw(local, m_ring.size(), [this](std::uint32_t index) -> const state::node_address & { return m_ring[index].second; });
    draw(remote, m_remote.size(), [this](std::uint32_t index) -> const state::node_address & { return m_remote[index]; });
    return result;
}

// ---- Pings ----

void membership::probeNext(state::time_point now, gossip_batch &out)
{
    const std::optional<state::node_address> target = selectProbeTarget();
    const auto inFlight = [&](const probe &other) {
        return target && other.target == *target;
    };
    if (!target || std::any_of(m_probes.begin(), m_probes.end(), inFlight)) {
        return;
    }
    m_probes.push_back({*target, ++m_sequence, now, now + AckTimeout, now + MemberProbeTimeout, false});
    send(*target, makeMessage(gossip_kind::ping, m_sequence), now, out);
}

// Pings a random member in state listed or dead at intervals, so that the end of a network partition is detected.
void membership::probeAbsentMember(state::time_point now, gossip_batch &out)
{
    if (m_nextAbsentProbe > now || m_absent.empty()) {
        return;
    }
    m_nextAbsentProbe = now + AbsentProbeInterval;
    const state::node_address target = m_absent[m_random(static_cast<std::uint32_t>(m_absent.size()))];
    gossip_message ping = makeMessage(gossip_kind::ping, ++m_sequence);
    if (const member *known = find(target); known != nullptr && known->state == member_state::dead) {
        ping.updates.push_back(*known);
    }
    send(target, std::move(ping), now, out);
}

void membership::checkProbes(state::time_point now, gossip_batch &out)
{
    for (probe &current : m_probes) {
        if (!current.relayed && current.relayAt <= now) {
            current.relayed = true;
            ++m_members[current.target].directFailures;
            requestRelays(current.target, current.sequence, out);
            send(current.target, makeMessage(gossip_kind::ping, current.sequence), now, out);
        }
    }
    const auto failed = std::partition(m_probes.begin(), m_probes.end(), [now](const probe &current) { return current.failsAt > now; });
    for (auto it = failed; it != m_probes.end(); ++it) {
        markSuspect(*it, now);
    }
    m_probes.erase(failed, m_probes.end());
}

void membership::requestRelays(const state::node_address &target, std::uint64_t sequence, gossip_batch &out)
{
    for (const state::node_address &peer : samplePeers(RelayCount, m_ring.size() > RelayCount ? 0 : RelayCount)) {
        if (peer != target && !m_suspects.contains(peer)) {
            gossip_message relay = makeMessage(gossip_kind::relay, sequence);
            relay.subject = target;
            out.push_back({peer, std::move(relay)});
        }
    }
}

// ---- Outcomes ----

void membership::handleAck(const gossip_message &message, state::time_point now)
{
    const bool relayed = message.kind == gossip_kind::relayed_ack;
    const state::node_address &target = relayed && message.subject ? *message.subject : message.sender.address;
    m_lastAnswer = now;
    const auto known = m_members.find(target);
    if (known == m_members.end()) {
        return;
    }
    entry &answered = known->second;
    if (relayed) {
        const bool inboundUp = answered.lastContactAt + IsolationTimeout > now;
        if (answered.directFailures > 1) {
            m_pathObservations.push_back({target, inboundUp, false});
        }
    } else {
        answered.directFailures = 0;
        m_pathObservations.push_back({target, true, true});
    }
    clearSuspicion(answered);
    const auto answeredProbe = std::find_if(m_probes.begin(), m_probes.end(), [&](const probe &current) { return current.target == target; });
    if (answeredProbe != m_probes.end()) {
        m_probes.erase(answeredProbe);
        m_probeOutcomes.push_back(true);
    }
    while (m_probeOutcomes.size() > OutcomeWindow) {
        m_probeOutcomes.pop_front();
    }
}

void membership::clearSuspicion(entry &known)
{
    if (known.record.state == member_state::suspect) {
        known.record.state = member_state::alive;
        m_suspects.erase(known.record.address);
        recordChange(known);
    }
}

void membership::markSuspect(const probe &failed, state::time_point now)
{
    m_probeOutcomes.push_back(false);
    if (m_probeOutcomes.size() > OutcomeWindow) {
        m_probeOutcomes.pop_front();
    }
    entry &unresponsive = m_members[failed.target];
    m_pathObservations.push_back({failed.target, false, false});
    if (unresponsive.record.state != member_state::alive) {
        return;
    }
    unresponsive.record.state = member_state::suspect;
    unresponsive.firstUnansweredAt = failed.sentAt;
    unresponsive.suspectUntil = now + SuspicionTimeout;
    m_suspects.insert(failed.target);
    m_changed.insert(failed.target);
    ++m_version;
}

void membership::checkSuspects(state::time_point now, gossip_batch &out)
{
    const bool pingNow = m_nextSuspectPing <= now && !m_suspects.empty();
    if (pingNow) {
        m_nextSuspectPing = now + SuspectPingInterval;
    }
    const bool selfSuspected = isSelfSuspected(now);
    for (const state::node_address &address : std::vector(m_suspects.begin(), m_suspects.end())) {
        entry &unresponsive = m_members[address];
        if (unresponsive.suspectUntil <= now && !selfSuspected && m_lastAnswer >= unresponsive.firstUnansweredAt) {
            member death = unresponsive.record;
            death.state = member_state::dead;
            merge(death, origin::gossip, now);
        } else if (pingNow) {
            send(address, makeMessage(gossip_kind::ping, ++m_sequence), now, out);
            requestRelays(address, m_sequence, out);
        }
    }
}

// ---- Self-suspicion ----

void membership::handleProcessPause(state::time_point now)
{
    m_pauseDetected = true;
    m_selfSuspectedUntil = now + SelfSuspicionTime;
    m_probes.clear();
    m_probeOutcomes.clear();
    m_lastAnswer = now;
    for (const state::node_address &address : m_suspects) {
        m_members[address].firstUnansweredAt = now;
        m_members[address].suspectUntil = now + SelfSuspicionTime + SuspicionTimeout;
    }
}

bool membership::isIsolated(state::time_point now) const
{
    if (m_ring.empty() && m_remote.empty()) {
        return false;
    }
    const auto failures = std::count(m_probeOutcomes.begin(), m_probeOutcomes.end(), false);
    const bool mostProbesFailed = m_probeOutcomes.size() >= OutcomeWindow / 2 && static_cast<std::size_t>(failures) * 3 > m_probeOutcomes.size() * 2;
    return mostProbesFailed || m_lastAnswer + IsolationTimeout < now;
}

bool membership::isSelfSuspected(state::time_point now) const
{
    return now < m_selfSuspectedUntil || isIsolated(now);
}

// ---- Dissemination of updates ----

void membership::pushUpdates(state::time_point now, gossip_batch &out)
{
    const std::vector<state::node_address> receivers = samplePeers(LocalPushReceivers, RemotePushReceivers);
    if (receivers.empty()) {
        return;
    }
    gossip_message push = makeMessage(gossip_kind::push);
    for (const state::node_address &about : m_updates.selectForPush(MaxMemberPageRows, receivers.size(), now)) {
        if (std::optional<member> row = memberRecord(about)) {
            push.updates.push_back(*std::move(row));
        }
    }
    if (push.updates.empty()) {
        return;
    }
    for (const state::node_address &receiver : receivers) {
        send(receiver, push, now, out);
    }
}

std::uint32_t membership::wantedListCopies() const
{
    return m_listedCount > 0 ? MaxListCopies : MinListCopies;
}

// Fetches the whole list of members page by page first, then periodically one page from a random position, which repairs
// missed updates. In a fleet that starts at once, a peer knows little more than this node: further copies follow while there are
// members that nobody is known to have had contact with.
void membership::requestMemberPage(state::time_point now, gossip_batch &out)
{
    if (m_nextPage > now) {
        return;
    }
    const bool hasNoLivePeers = m_ring.empty() && m_remote.empty();
    m_nextPage = now + (m_pageCursor || m_listCopies < wantedListCopies() ? JoinPageInterval : std::chrono::milliseconds(PageInterval));
    std::optional<state::node_address> peer;
    if (hasNoLivePeers) {
        peer = selectRandom(m_absent);
    } else if (const auto peers = samplePeers(PagePullPeers, m_ring.empty() ? PagePullPeers : 0); !peers.empty()) {
        peer = peers.front();
    }
    if (!peer) {
        return;
    }
    gossip_message pull = makeMessage(gossip_kind::member_pull);
    if (!m_pageCursor && m_listCopies >= wantedListCopies() && !m_members.empty()) {
        const auto position = m_random(static_cast<std::uint32_t>(m_members.size()));
        pull.subject = std::next(m_members.begin(), position)->first;
    } else {
        pull.subject = m_pageCursor ? *m_pageCursor : state::node_address{"0.0.0.1", 1}; // sorts before every member address
        m_pageCursor = pull.subject;
    }
    send(*peer, std::move(pull), now, out);
}

} // namespace dandelionstall::coordination
