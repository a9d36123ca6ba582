// Beliefs about members, messages and sources of names. Probes: membership_probe.cpp; queries: membership_views.cpp.
#include <dandelionstall/coordination/membership.h>

#include <algorithm>
#include <bit>

namespace dandelionstall::coordination {

namespace {

constexpr std::chrono::seconds HeardYouLimit{10}; // older hearings are not told

constexpr std::uint32_t BaseRides = 6; // of one item of news, besides those that grow with the fleet

} // namespace

membership::membership(const self_identity &identity, std::uint64_t seed)
    : m_self{identity.self, identity.dataCentre, identity.incarnation, 0, false}
    , m_random(seed)
{ }

// ---- What is believed ----

// Later lives go first, then refutations, then the worse state.
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
    const member before = known.about;
    known.about.address = update.address;
    if (known.about.dataCentre.empty()) {
        known.about.dataCentre = update.dataCentre;
    }
    if (update.incarnation == 0) {
        m_indexStale = m_indexStale || added;
        return added;
    }
    const bool newLife = update.incarnation > before.incarnation;
    const bool newer = supersedes(update, before);
    if (newer) {
        known.about.incarnation = update.incarnation;
        known.about.refutations = update.refutations;
        known.about.state = update.state == member_state::dead ? member_state::dead : member_state::alive;
        known.diedAt = update.state == member_state::dead ? now : state::time_point{};
        m_suspects.erase(update.address);
    }
    if (update.incarnation == known.about.incarnation) {
        known.about.leaving = update.leaving || (!newLife && before.leaving);
    }
    applyListedLeaving(known);
    const bool changed = newer || known.about.leaving != before.leaving;
    if (changed) {
        noteChange(known);
        const bool isNews = source == origin::news || (source == origin::direct && before.incarnation != 0) || known.listedLeaving;
        if (isNews) {
            spread(update.address, known.about.leaving != before.leaving || known.about.state == member_state::dead);
        }
    }
    return changed;
}

void membership::mergeAboutSelf(const member &update)
{
    if (update.incarnation > m_self.incarnation) { // an earlier life had a clock ahead of the present one
        m_self.incarnation = update.incarnation + 1;
        m_self.refutations = 0;
        ++m_version;
        spread(m_self.address, true);
        return;
    }
    if (update.incarnation < m_self.incarnation) {
        return;
    }
    if (update.leaving && !m_self.leaving) {
        m_self.leaving = true;
        ++m_version;
        spread(m_self.address, true);
    }
    if (update.state == member_state::dead && update.refutations >= m_self.refutations) {
        m_self.refutations = update.refutations + 1;
        spread(m_self.address, true);
    }
}

void membership::applyListedLeaving(entry &known)
{
    if (known.listedLeaving && known.about.incarnation != 0) {
        known.about.leaving = true;
    }
}

void membership::noteChange(const entry &known)
{
    m_changed.insert(known.about.address);
    ++m_version;
    m_indexStale = true;
}

void membership::spread(const state::node_address &about, bool urgent)
{
    m_news.add(about, urgent, BaseRides + static_cast<std::uint32_t>(std::bit_width(m_members.size())));
}

bool membership::noteHeard(const gossip_message &message, state::time_point now)
{
    const gossip_sender &sender = message.sender;
    const auto known = m_members.find(sender.address);
    if (known != m_members.end() && sender.incarnation < known->second.about.incarnation) {
        return false;
    }
    merge({sender.address, sender.dataCentre, sender.incarnation, sender.refutations, member_state::alive, sender.leaving}, origin::direct, now);
    entry &heard = m_members[sender.address];
    heard.heardAt = now;
    heard.about.dataCentre = sender.dataCentre;
    clearSuspicion(heard);
    noteHeardYou(heard, message, now);
    return true;
}

void membership::noteHeardYou(entry &known, const gossip_message &message, state::time_point now)
{
    if (message.heardYou) {
        known.heardMeAt = std::max(known.heardMeAt, now - *message.heardYou);
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
    const bool current = noteHeard(message, now);
    const auto known = m_members.find(from);
    if (!current || known->second.about.state == member_state::dead) { // it has to learn that, to refute it
        gossip_message answer = make(gossip_kind::push);
        answer.updates.push_back(known->second.about);
        send(from, std::move(answer), now, out);
        if (!current) {
            return out;
        }
    }
    for (const member &update : message.updates) {
        merge(update, message.kind == gossip_kind::member_page ? origin::catalogue : origin::news, now);
    }
    switch (message.kind) {
    case gossip_kind::ping: {
        gossip_message answer = make(gossip_kind::ack, message.sequence);
        answer.subject = message.subject;
        send(from, std::move(answer), now, out);
        break;
    }
    case gossip_kind::ack:
        if (message.subject && *message.subject != m_self.address) {
            gossip_message answer = make(gossip_kind::relayed_ack, message.sequence);
            answer.subject = from;
            send(*message.subject, std::move(answer), now, out);
        } else {
            noteAck(message, now);
        }
        break;
    case gossip_kind::relay:
        if (message.subject) {
            gossip_message ping = make(gossip_kind::ping, message.sequence);
            ping.subject = from;
            send(*message.subject, std::move(ping), now, out);
        }
        break;
    case gossip_kind::relayed_ack:
        noteAck(message, now);
        break;
    case gossip_kind::member_pull:
        if (message.subject) {
            send(from, pageAfter(*message.subject), now, out);
        }
        break;
    case gossip_kind::member_page:
        if (m_pageCursor) {
            m_joined = m_joined || message.updates.empty();
            m_pageCursor = message.updates.empty() ? std::nullopt : std::optional(message.updates.back().address);
            m_nextPage = now;
        }
        break;
    default:
        break;
    }
    if (m_news.hasUrgent()) {
        pushNews(now, out);
    }
    return out;
}

gossip_batch membership::leave(state::time_point now)
{
    gossip_batch out;
    m_self.leaving = true;
    ++m_version;
    spread(m_self.address, true);
    for (const state::node_address &sibling : m_siblings) {
        send(sibling, make(gossip_kind::push), now, out);
    }
    pushNews(now, out);
    return out;
}

gossip_message membership::pageAfter(const state::node_address &cursor) const
{
    gossip_message page = make(gossip_kind::member_page);
    for (auto it = m_members.upper_bound(cursor); it != m_members.end() && page.updates.size() < MemberPageRows; ++it) {
        page.updates.push_back(it->second.about);
    }
    return page;
}

// ---- Sources of names ----

void membership::addSeeds(const std::vector<state::node_address> &seeds)
{
    for (const state::node_address &seed : seeds) {
        if (seed != m_self.address) {
            m_members.try_emplace(seed).first->second.about.address = seed;
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
        noteVm(vm, now);
    }
}

void membership::addLeavingVms(const std::vector<vm_record> &vms, state::time_point now)
{
    for (const vm_record &vm : vms) {
        if (vm.leaving) {
            noteVm(vm, now);
        }
    }
}

void membership::noteVm(const vm_record &vm, state::time_point now)
{
    if (vm.address == m_self.address) {
        mergeAboutSelf({m_self.address, m_self.dataCentre, m_self.incarnation, 0, member_state::alive, vm.leaving});
        return;
    }
    merge({vm.address, vm.dataCentre, 0, 0, member_state::listed, false}, origin::catalogue, now);
    entry &known = m_members[vm.address];
    known.onVmList = true;
    known.listedLeaving = vm.leaving;
    const bool before = known.about.leaving;
    applyListedLeaving(known);
    if (known.about.leaving != before) {
        noteChange(known);
        spread(vm.address, true);
    }
}

void membership::setSiblings(std::vector<state::node_address> nodes)
{
    std::erase(nodes, m_self.address);
    m_siblings = std::move(nodes);
}

void membership::forgetOld(state::time_point now)
{
    std::erase_if(m_members, [now](const auto &row) {
        const entry &known = row.second;
        return !known.onVmList && known.about.state == member_state::dead && known.diedAt + DeadRetention < now;
    });
    m_indexStale = true;
}

// ---- Sending ----

gossip_message membership::make(gossip_kind kind, std::uint64_t sequence) const
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
    if (known != m_members.end() && known->second.heardAt != state::time_point{} && now - known->second.heardAt < HeardYouLimit) {
        message.heardYou = std::chrono::duration_cast<std::chrono::milliseconds>(now - known->second.heardAt);
    }
    message.sender = m_self;
    if (message.kind == gossip_kind::ping || message.kind == gossip_kind::ack) {
        for (const state::node_address &about : m_news.takeRides(RidesPerMessage)) {
            if (std::optional<member> row = rowOf(about)) {
                message.updates.push_back(*std::move(row));
            }
        }
    }
    out.push_back({to, std::move(message)});
}

} // namespace dandelionstall::coordination
