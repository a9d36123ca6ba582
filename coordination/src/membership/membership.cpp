// Member records, handling of messages, and the sources of member addresses (seeds, VM list).
// Probes are in membership_probe.cpp, read-only queries in membership_views.cpp.
#include <dandelionstall/coordination/membership/membership.h>

#include <algorithm>
#include <bit>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::seconds MaxReportedContactAge{10}; // an older contact is not reported to the receiver

constexpr std::chrono::milliseconds ListCopyInterval{500}; // after a whole copy of the list of members, until the next pull

constexpr std::uint32_t BasePiggybackCount = 6; // piggybacks per update, plus the bit width of the number of members

} // namespace

membership::membership(const self_identity &identity, std::uint64_t seed)
    : m_self{identity.address, identity.dataCentre, identity.incarnation, 0, false}
    , m_random(seed)
{ }

// ---- Member records ----

// Compares by incarnation, then by refutations; with both equal, only a death supersedes the known record.
bool membership::supersedes(const member &update, const member &known) const
{
    const auto rank = [](const member &value) {
        return std::tuple(value.incarnation, value.refutations, value.state == member_state::dead);
    };
    return rank(update) > rank(known);
}

bool membership::merge(const member &update, origin source, state::time_point now)
{
    if (update.address == m_self.address) {
        mergeAboutSelf(update);
        return false;
    }
    const auto [it, added] = m_members.try_emplace(update.address);
    entry &known = it->second;
    const member before = known.record;
    known.record.address = update.address;
    if (known.record.dataCentre.empty()) {
        known.record.dataCentre = update.dataCentre;
    }
    if (update.incarnation == 0) {
        m_indexStale = m_indexStale || added;
        m_version += added ? 1 : 0;
        return added;
    }
    const bool newIncarnation = update.incarnation > before.incarnation;
    const bool newer = supersedes(update, before);
    if (newer) {
        known.record.incarnation = update.incarnation;
        known.record.refutations = update.refutations;
        known.record.state = update.state == member_state::dead ? member_state::dead : member_state::alive;
        known.diedAt = update.state == member_state::dead ? now : state::time_point{};
        m_suspects.erase(update.address);
    }
    if (update.incarnation == known.record.incarnation) {
        known.record.leaving = update.leaving || (!newIncarnation && before.leaving);
    }
    applyListedLeaving(known);
    const bool changed = newer || known.record.leaving != before.leaving;
    if (changed) {
        recordChange(known);
        const bool passOn = source == origin::gossip || (source == origin::direct && before.incarnation != 0) || known.listedLeaving;
        if (passOn) {
            queueUpdate(update.address, known.record.leaving != before.leaving || known.record.state == member_state::dead);
        }
    }
    return changed;
}

void membership::mergeAboutSelf(const member &update)
{
    if (update.incarnation > m_self.incarnation) { // the wall clock was ahead when an earlier incarnation of this node started
        m_self.incarnation = update.incarnation + 1;
        m_self.refutations = 0;
        ++m_version;
        queueUpdate(m_self.address, true);
        return;
    }
    if (update.incarnation < m_self.incarnation) {
        return;
    }
    if (update.leaving && !m_self.leaving) {
        m_self.leaving = true;
        ++m_version;
        queueUpdate(m_self.address, true);
    }
    if (update.state == member_state::dead && update.refutations >= m_self.refutations) {
        m_self.refutations = update.refutations + 1;
        queueUpdate(m_self.address, true);
    }
}

void membership::applyListedLeaving(entry &known)
{
    if (known.listedLeaving && known.record.incarnation != 0) {
        known.record.leaving = true;
    }
}

void membership::recordChange(const entry &known)
{
    m_changed.insert(known.record.address);
    ++m_version;
    m_indexStale = true;
}

void membership::queueUpdate(const state::node_address &about, bool urgent)
{
    m_updates.add(about, urgent, BasePiggybackCount + static_cast<std::uint32_t>(std::bit_width(m_members.size())));
}

bool membership::recordContact(const gossip_message &message, state::time_point now)
{
    const gossip_sender &sender = message.sender;
    const auto known = m_members.find(sender.address);
    if (known != m_members.end() && sender.incarnation < known->second.record.incarnation) {
        return false;
    }
    merge({sender.address, sender.dataCentre, sender.incarnation, sender.refutations, member_state::alive, sender.leaving}, origin::direct, now);
    entry &senderEntry = m_members[sender.address];
    senderEntry.lastContactAt = now;
    senderEntry.record.dataCentre = sender.dataCentre;
    clearSuspicion(senderEntry);
    recordReverseContact(senderEntry, message, now);
    return true;
}

void membership::recordReverseContact(entry &known, const gossip_message &message, state::time_point now)
{
    if (message.receiverContactAge) {
        known.reverseContactAt = std::max(known.reverseContactAt, now - *message.receiverContactAge);
    }
}

// ---- Messages ----

gossip_batch membership::receive(const gossip_message &message, state::time_point now)
{
    gossip_batch out;
    const state::node_address &from = message.sender.address;
    if (from == m_self.address) {
        return out;
    }
    const bool current = recordContact(message, now);
    const auto known = m_members.find(from);
    if (!current || known->second.record.state == member_state::dead) { // the sender must receive its recorded state to refute it
        gossip_message answer = makeMessage(gossip_kind::push);
        answer.updates.push_back(known->second.record);
        send(from, std::move(answer), now, out);
        if (!current) {
            return out;
        }
    }
    for (const member &update : message.updates) {
        merge(update, message.kind == gossip_kind::member_page ? origin::listing : origin::gossip, now);
    }
    switch (message.kind) {
    case gossip_kind::ping: {
        gossip_message answer = makeMessage(gossip_kind::ack, message.sequence);
        answer.subject = message.subject;
        send(from, std::move(answer), now, out);
        break;
    }
    case gossip_kind::ack:
        if (message.subject && *message.subject != m_self.address) {
            gossip_message answer = makeMessage(gossip_kind::relayed_ack, message.sequence);
            answer.subject = from;
            send(*message.subject, std::move(answer), now, out);
        } else {
            handleAck(message, now);
        }
        break;
    case gossip_kind::relay:
        if (message.subject) {
            gossip_message ping = makeMessage(gossip_kind::ping, message.sequence);
            ping.subject = from;
            send(*message.subject, std::move(ping), now, out);
        }
        break;
    case gossip_kind::relayed_ack:
        handleAck(message, now);
        break;
    case gossip_kind::member_pull:
        if (message.subject) {
            send(from, pageAfter(*message.subject), now, out);
        }
        break;
    case gossip_kind::member_page:
        if (m_pageCursor) {
            const bool isLast = message.updates.empty();
            m_pageCursor = isLast ? std::nullopt : std::optional(message.updates.back().address);
            m_listCopies += isLast ? 1 : 0;
            m_nextPage = isLast ? now + ListCopyInterval : now;
            requestMemberPage(now, out);
        }
        break;
    default:
        break;
    }
    if (m_updates.hasUrgentUnpushed()) {
        pushUpdates(now, out);
    }
    return out;
}

gossip_batch membership::leave(state::time_point now)
{
    gossip_batch out;
    m_self.leaving = true;
    ++m_version;
    queueUpdate(m_self.address, true);
    for (const state::node_address &poolPeer : m_poolPeers) {
        send(poolPeer, makeMessage(gossip_kind::push), now, out);
    }
    pushUpdates(now, out);
    return out;
}

gossip_message membership::pageAfter(const state::node_address &cursor) const
{
    gossip_message page = makeMessage(gossip_kind::member_page);
    for (auto it = m_members.upper_bound(cursor); it != m_members.end() && page.updates.size() < MaxMemberPageRows; ++it) {
        page.updates.push_back(it->second.record);
    }
    return page;
}

// ---- Sources of member addresses ----

void membership::addSeeds(const std::vector<state::node_address> &seeds)
{
    for (const state::node_address &seed : seeds) {
        if (seed != m_self.address) {
            m_members.try_emplace(seed).first->second.record.address = seed;
        }
    }
    m_indexStale = true;
}

void membership::setVmList(const std::vector<vm_record> &vms, state::time_point now)
{
    for (auto &[address, known] : m_members) {
        known.onVmList = false;
        known.listedLeaving = false;
    }
    for (const vm_record &vm : vms) {
        recordVm(vm, now);
    }
}

void membership::markLeavingVms(const std::vector<vm_record> &vms, state::time_point now)
{
    for (const vm_record &vm : vms) {
        if (vm.leaving) {
            recordVm(vm, now);
        }
    }
}

void membership::recordVm(const vm_record &vm, state::time_point now)
{
    if (vm.address == m_self.address) {
        mergeAboutSelf({m_self.address, m_self.dataCentre, m_self.incarnation, 0, member_state::alive, vm.leaving});
        return;
    }
    merge({vm.address, vm.dataCentre, 0, 0, member_state::listed, false}, origin::listing, now);
    entry &known = m_members[vm.address];
    known.onVmList = true;
    known.listedLeaving = vm.leaving;
    const bool before = known.record.leaving;
    applyListedLeaving(known);
    if (known.record.leaving != before) {
        recordChange(known);
        queueUpdate(vm.address, true);
    }
}

void membership::setPoolPeers(std::vector<state::node_address> nodes)
{
    std::erase(nodes, m_self.address);
    m_poolPeers = std::move(nodes);
}

void membership::expireDeadMembers(state::time_point now)
{
    std::erase_if(m_members, [now](const auto &row) {
        const entry &known = row.second;
        return !known.onVmList && known.record.state == member_state::dead && known.diedAt + DeadMemberRetention < now;
    });
    m_indexStale = true;
}

// ---- Sending ----

gossip_message membership::makeMessage(gossip_kind kind, std::uint64_t sequence) const
{
    gossip_message message;
    message.kind = kind;
    message.sequence = sequence;
    message.sender = m_self;
    return message;
}

void membership::send(const state::node_address &to, gossip_message message, state::time_point now, gossip_batch &out)
{
    const auto known = m_members.find(to);
    if (known != m_members.end() && known->second.lastContactAt != state::time_point{} && now - known->second.lastContactAt < MaxReportedContactAge) {
        message.receiverContactAge = std::chrono::duration_cast<std::chrono::milliseconds>(now - known->second.lastContactAt);
    }
    message.sender = m_self;
    if (message.kind == gossip_kind::ping || message.kind == gossip_kind::ack) {
        for (const state::node_address &about : m_updates.selectForPiggyback(PiggybackedUpdatesPerMessage)) {
            if (std::optional<member> row = memberRecord(about)) {
                message.updates.push_back(*std::move(row));
            }
        }
    }
    out.push_back({to, std::move(message)});
}

} // namespace dandelionstall::coordination
