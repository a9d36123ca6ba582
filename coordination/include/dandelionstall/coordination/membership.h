// Who is in the fleet, and in what condition: a SWIM-like failure detector over datagrams. Pure: messages, time points
// and a seed come in, messages to send and changes go out. Used from one thread.
//
// A node pings one member in each probe period: its successors on a ring of its data centre in every other period, which
// bounds the time until a dead member is probed, and members of its pools, of its data centre and of other data centres
// in turn. A member that does not answer is asked through others, then suspected, then declared dead. A suspicion stays
// with the node that has it; deaths, departures and new lives spread to all nodes. The cost of a node does not depend on
// the number of members.
//
// A node doubts itself after a pause, or when no answers to its own pings arrive; it then declares nobody dead.
//
// Usage:
//   membership members({.address = address, .dataCentre = "thika", .incarnation = own}, seed);
//   members.addSeeds(settings.seeds);
//   send(members.tick(now));                 // every TickInterval
//   send(members.receive(message, now));
//   for (const member &changed : members.consumeChanges()) ...
//
// Index:
//   [SECTION] Timing
//   [SECTION] Observations
//   [SECTION] Membership
#pragma once

#include <dandelionstall/coordination/gossip.h>
#include <dandelionstall/coordination/member_update_queue.h>

#include <deque>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

namespace dandelionstall::coordination {

// [SECTION] Timing

inline constexpr std::chrono::milliseconds TickInterval{50};
inline constexpr std::chrono::milliseconds ProbePeriod{200};           // one ping in each
inline constexpr std::chrono::milliseconds AckTimeout{100};            // then others are asked to try
inline constexpr std::chrono::milliseconds MemberProbeTimeout{220};    // from the first ping; then it is suspected
inline constexpr std::chrono::milliseconds SuspicionTimeout{250};      // from suspicion to death
inline constexpr std::chrono::milliseconds ProcessPauseThreshold{500}; // a tick later than this means that the process slept
inline constexpr std::chrono::milliseconds SelfSuspicionTime{1000};    // after a pause
inline constexpr std::chrono::milliseconds IsolationTimeout{900};      // without an answer to any own ping
inline constexpr std::size_t PiggybackedUpdatesPerMessage = 2;         // updates that ride along with a ping or an ack
inline constexpr std::chrono::minutes DeadMemberRetention{30};         // then a dead member is forgotten

// [SECTION] Observations

// What probing says about the path between this node and another one, for coordination/pool_tracker.h.
struct path_observation {
    state::node_address node;
    bool inboundUp = true;  // its messages arrive here
    bool outboundUp = true; // it says that messages of this node arrive there
};

struct self_identity {
    state::node_address address; // advertised address
    std::string dataCentre;
    state::incarnation incarnation = 0;
};

// [SECTION] Membership

class membership
{
public:
    membership(const self_identity &identity, std::uint64_t seed);

    gossip_batch tick(state::time_point now);                                      // every TickInterval
    gossip_batch receive(const gossip_message &message, state::time_point now);    // one that has been decoded
    gossip_batch leave(state::time_point now);                                     // this node takes no new work; final
    void addSeeds(const std::vector<state::node_address> &seeds);                  // nodes to contact first
    void setVmList(const std::vector<vm_record> &vms, state::time_point now);      // adds names, marks leaving ones; never kills
    void markLeavingVms(const std::vector<vm_record> &vms, state::time_point now); // a part of that list; says nothing about the others
    void setPoolPeers(std::vector<state::node_address> nodes);                     // nodes that share a pool with this one

    std::vector<member> members() const;                                                 // without this node, by address
    const member *find(const state::node_address &address) const;                        // nullptr when unknown
    std::size_t countLive() const;                                                       // alive or suspect and not leaving, this node included
    std::vector<state::node_address> availableNodes(std::string_view dataCentre) const;  // alive, not leaving; this node included; by address
    std::vector<state::node_address> samplePeers(std::size_t local, std::size_t remote); // random alive members, remote ones from other data centres
    std::uint64_t version() const;                                                       // grows with every change of a member or of this node
    bool isLeaving() const;                                                              // by leave() or because the list of VMs says so
    bool isSelfSuspected(state::time_point now) const;                                   // paused lately or isolated
    bool isIsolated(state::time_point now) const;                                        // no answers to own pings although members are alive
    const gossip_sender &self() const;                                                   // head of every message of this node

    std::vector<member> consumeChanges();                    // members whose state, life or leaving has changed since the last call
    std::vector<path_observation> consumePathObservations(); // since the last call
    bool consumePauseDetected();                             // true when the process slept since the last call

private:
    struct entry {
        member record;
        state::time_point lastContactAt;     // directly; epoch when never
        state::time_point reverseContactAt;  // it said that it heard this node then; epoch when never
        state::time_point suspectUntil;      // while suspect
        state::time_point diedAt;            // when dead
        state::time_point firstUnansweredAt; // first unanswered ping of the suspicion
        std::uint32_t directFailures = 0;    // pings in a row without a direct answer
        bool onVmList = false;
        bool listedLeaving = false; // by the list of VMs
    };

    struct probe {
        state::node_address target;
        std::uint64_t sequence = 0;
        state::time_point sentAt;
        state::time_point relayAt; // no direct answer until then
        state::time_point failsAt; // no answer at all until then
        bool relayed = false;      // others have been asked
    };

    // Where an update comes from; only what is news to others as well is passed on.
    enum class origin {
        listing, // list of VMs or page of members: others have it too
        direct,  // the member itself
        gossip,  // passed on by a node that has just learnt it
    };

    using members_map = std::map<state::node_address, entry>;

    // membership.cpp: what is believed
    bool merge(const member &update, origin source, state::time_point now);
    bool supersedes(const member &update, const member &known) const;
    void mergeAboutSelf(const member &update);
    void applyListedLeaving(entry &known);
    void recordVm(const vm_record &vm, state::time_point now);
    void recordChange(const entry &known);
    void queueUpdate(const state::node_address &about, bool urgent);
    bool recordContact(const gossip_message &message, state::time_point now); // false when it comes from an earlier life
    void recordReverseContact(entry &known, const gossip_message &message, state::time_point now);
    member selfAsMember() const;
    std::optional<member> memberRecord(const state::node_address &address) const;
    gossip_message pageAfter(const state::node_address &cursor) const;
    void expireDeadMembers(state::time_point now);

    // membership_probe.cpp: pings and their outcome
    void probeNext(state::time_point now, gossip_batch &out);
    std::optional<state::node_address> selectProbeTarget();
    std::optional<state::node_address> nextRingSuccessor();
    std::optional<state::node_address> selectRandom(const std::vector<state::node_address> &from);
    void probeAbsentMember(state::time_point now, gossip_batch &out);
    void checkProbes(state::time_point now, gossip_batch &out);
    void requestRelays(const state::node_address &target, std::uint64_t sequence, gossip_batch &out);
    void markSuspect(const probe &failed, state::time_point now);
    void checkSuspects(state::time_point now, gossip_batch &out);
    void handleAck(const gossip_message &message, state::time_point now);
    void clearSuspicion(entry &known);
    void handleProcessPause(state::time_point now);
    void pushUpdates(state::time_point now, gossip_batch &out);
    void requestMemberPage(state::time_point now, gossip_batch &out);
    void rebuildIndex();
    gossip_message makeMessage(gossip_kind kind, std::uint64_t sequence = 0) const;
    void send(const state::node_address &to, gossip_message message, state::time_point now, gossip_batch &out);

    gossip_sender m_self;
    pcg32 m_random;
    members_map m_members;
    member_update_queue m_updates;
    std::vector<probe> m_probes;
    std::vector<state::node_address> m_poolPeers;
    std::set<state::node_address> m_suspects;
    std::set<state::node_address> m_changed;
    std::vector<path_observation> m_pathObservations;
    std::deque<bool> m_probeOutcomes;                                  // of the latest probes
    std::vector<std::pair<std::uint64_t, state::node_address>> m_ring; // live members of the own data centre by hash
    std::vector<state::node_address> m_remote;                         // live members of other data centres
    std::vector<state::node_address> m_absent;                         // listed and dead members
    std::uint64_t m_version = 0;
    bool m_indexStale = true;
    bool m_pauseDetected = false;
    std::uint64_t m_sequence = 0;
    std::uint32_t m_probeRound = 0;
    state::time_point m_lastTick;
    state::time_point m_nextProbe;
    state::time_point m_nextSuspectPing;
    state::time_point m_nextAbsentProbe;
    state::time_point m_nextPage;
    state::time_point m_nextExpiry;
    state::time_point m_selfSuspectedUntil;
    state::time_point m_lastAnswer;                  // to one of the own pings
    std::optional<state::node_address> m_pageCursor; // while a first copy of the list is being fetched
    bool m_memberListComplete = false;               // the first copy is complete
};

} // namespace dandelionstall::coordination
