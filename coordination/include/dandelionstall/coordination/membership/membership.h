// Membership of the fleet: a failure detector in the manner of SWIM over datagrams. Pure: takes messages, time points and a
// seed; returns messages to send and changes of members. Used from one thread.
//
// A node pings one member in each probe period. Every other period goes to a successor of the node on a hash ring of its
// data centre, which bounds the time until a dead member is probed. The remaining periods go in turn to members that share
// a pool with the node, to members of its data centre and to members of other data centres. A member that does not answer
// is probed through other members, then suspected, then declared dead. A suspicion is not disseminated; deaths, departures
// and new incarnations are disseminated to all nodes. The network cost per node does not depend on the number of members.
//
// A node suspects itself after a process pause, or when no answers to its own pings arrive. While it suspects itself, it
// declares no member dead.
//
// Usage:
//   membership members({.address = address, .dataCentre = "thika", .incarnation = incarnation}, seed);
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

#include <dandelionstall/coordination/membership/gossip.h>
#include <dandelionstall/coordination/membership/member_update_queue.h>

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
inline constexpr std::chrono::milliseconds ProbePeriod{200};           // one ping per period
inline constexpr std::chrono::milliseconds AckTimeout{100};            // from the first ping until other members are requested to ping the target
inline constexpr std::chrono::milliseconds MemberProbeTimeout{220};    // from the first ping until the target is suspected
inline constexpr std::chrono::milliseconds SuspicionTimeout{250};      // from suspicion until the member is declared dead
inline constexpr std::chrono::milliseconds ProcessPauseThreshold{500}; // a longer interval between two ticks counts as a process pause
inline constexpr std::chrono::milliseconds SelfSuspicionTime{1000};    // duration of self-suspicion after a process pause
inline constexpr std::chrono::milliseconds IsolationTimeout{900};      // a node that receives no answer to its pings for this long counts as isolated
inline constexpr std::size_t PiggybackedUpdatesPerMessage = 2;         // maximum number of updates that a ping or an ack carries
inline constexpr std::chrono::minutes DeadMemberRetention{30};         // a dead member that is not on the VM list is removed after this time

// [SECTION] Observations

// Result of probing the network path between this node and another one; input of coordination/health/pool_tracker.h.
struct path_observation {
    state::node_address node;
    bool inboundUp = true;  // messages of the other node arrive at this node
    bool outboundUp = true; // messages of this node arrive at the other node, according to the answers to pings of this node
};

struct self_identity {
    state::node_address address; // advertised address of this node
    std::string dataCentre;
    state::incarnation incarnation = 0;
};

// [SECTION] Membership

class membership
{
public:
    membership(const self_identity &identity, std::uint64_t seed);

    gossip_batch tick(state::time_point now);                                      // call every TickInterval
    gossip_batch receive(const gossip_message &message, state::time_point now);    // handles a decoded message
    gossip_batch leave(state::time_point now);                                     // announces that this node takes no new work; cannot be undone
    void addSeeds(const std::vector<state::node_address> &seeds);                  // adds the nodes to contact first
    void setVmList(const std::vector<vm_record> &vms, state::time_point now);      // adds members and marks leaving ones; never declares a member dead
    void markLeavingVms(const std::vector<vm_record> &vms, state::time_point now); // marks leaving VMs from a partial list; VMs missing in it are unaffected
    void setPoolPeers(std::vector<state::node_address> nodes);                     // sets the nodes that share a pool with this one

    std::vector<member> members() const;                          // all members except this node, ordered by address
    const member *find(const state::node_address &address) const; // null when the address is unknown
    std::size_t countLive() const;                                // number of members that are alive or suspect and not leaving, including this node
    std::vector<state::node_address> availableNodes(std::string_view dataCentre) const;  // alive and not leaving, including this node, ordered by address
    std::vector<state::node_address> expectedNodes(std::string_view dataCentre) const;   // the same, and listed members that there was no contact with yet
    std::vector<state::node_address> samplePeers(std::size_t local, std::size_t remote); // random live members of the local and of other data centres
    std::uint64_t version() const;                                                       // grows with every change of a member or of this node
    bool isLeaving() const;                                                              // true after leave() or when the VM list marks this node as leaving
    bool isSelfSuspected(state::time_point now) const;                                   // true for SelfSuspicionTime after a process pause, and while isolated
    bool isIsolated(state::time_point now) const; // true when pings of this node get no answers although live members are known
    const gossip_sender &self() const;            // sender fields of every message of this node

    std::vector<member> consumeChanges();                    // members whose state, incarnation or leaving flag has changed since the last call
    std::vector<path_observation> consumePathObservations(); // path observations since the last call
    bool consumePauseDetected();                             // true when a process pause was detected since the last call

private:
    struct entry {
        member record;
        state::time_point lastContactAt;     // last message received directly from the member; epoch when none
        state::time_point reverseContactAt;  // last time the member is known to have received from this node; epoch when unknown
        state::time_point suspectUntil;      // end of the suspicion; valid while suspect
        state::time_point diedAt;            // time of the declared death; valid while dead
        state::time_point firstUnansweredAt; // time of the first unanswered ping of the suspicion
        std::uint32_t directFailures = 0;    // consecutive pings without a direct answer
        bool onVmList = false;
        bool listedLeaving = false; // the VM list marks the member as leaving
    };

    struct probe {
        state::node_address target;
        std::uint64_t sequence = 0;
        state::time_point sentAt;
        state::time_point relayAt; // without a direct answer by then, other members are requested to ping the target
        state::time_point failsAt; // without any answer by then, the target is suspected
        bool relayed = false;      // relays have been requested
    };

    // Source of an update. Updates that other nodes receive by themselves are not passed on.
    enum class origin {
        listing, // VM list or member page; other nodes receive the same data themselves
        direct,  // message of the member itself
        gossip,  // update passed on by a node that has just received it
    };

    using members_map = std::map<state::node_address, entry>;

    std::vector<state::node_address> nodesIn(std::string_view dataCentre, bool includeListed) const;

    // membership.cpp: member records and messages
    bool merge(const member &update, origin source, state::time_point now);
    bool supersedes(const member &update, const member &known) const;
    void mergeAboutSelf(const member &update);
    void applyListedLeaving(entry &known);
    void recordVm(const vm_record &vm, state::time_point now);
    void recordChange(const entry &known);
    void queueUpdate(const state::node_address &about, bool urgent);
    bool recordContact(const gossip_message &message, state::time_point now); // false when the message comes from an earlier incarnation
    void recordReverseContact(entry &known, const gossip_message &message, state::time_point now);
    member selfAsMember() const;
    std::optional<member> memberRecord(const state::node_address &address) const;
    gossip_message pageAfter(const state::node_address &cursor) const;
    void expireDeadMembers(state::time_point now);

    // membership_probe.cpp: pings and their outcomes
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
    std::uint32_t wantedListCopies() const;
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
    std::deque<bool> m_probeOutcomes;                                  // latest probes, oldest first; true when answered
    std::vector<std::pair<std::uint64_t, state::node_address>> m_ring; // live members of the local data centre, ordered by hash
    std::vector<state::node_address> m_remote;                         // live members of other data centres
    std::vector<state::node_address> m_absent;                         // members in state listed or dead
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
    state::time_point m_lastAnswer;                  // last answer to a ping of this node
    std::optional<state::node_address> m_pageCursor; // set while a copy of the member list is being fetched
    std::uint32_t m_listCopies = 0;                  // whole copies of the member list that have been fetched
    std::size_t m_listedCount = 0;                   // members in state listed
};

} // namespace dandelionstall::coordination
