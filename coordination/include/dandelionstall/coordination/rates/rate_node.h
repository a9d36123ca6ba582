// The part of a node in holding the rates of organisations over the fleet: which nodes coordinate, this node's coordinator, and the
// messages between them. Pure; used from one thread.
//
// What a coordinator says of an organisation that is over its rate goes to all nodes over relays, so that a node knows it before the first
// request: the nodes are dealt to about as many groups as there are nodes in a group, and one of each group passes it on.
//
// Usage:
//   rate_node rates(address, seed);
//   rates.setFleet(nodesInContact, knownNodes, isAlone, now);                      // when the members have changed
//   rate_step step = rates.tick(client.makeReports(rates.ring(), now), limits, client.answeringShare(now), now);
//   rate_step step = rates.receive(from, message, limits, now);
//   for (const rate_answer &answer : step.answers) client.receive(answer.from, answer.grant, now);
//   send(step.out);
#pragma once

#include <dandelionstall/coordination/rates/rate_coordinator.h>
#include <dandelionstall/coordination/rates/rate_ring.h>

#include <pcg_random.hpp>

#include <functional>
#include <vector>

namespace dandelionstall::coordination {

// Limit of the organisation of this name by the table in force; rate 0 when there is none.
using limit_lookup = std::function<organisation_limit(const std::string &organisation)>;

struct rate_answer {
    state::node_address from; // the coordinator
    rate_grant grant;
};

struct rate_step {
    std::vector<outgoing_rates> out;
    std::vector<rate_answer> answers; // for this node's rate_client
};

class rate_node
{
public:
    rate_node(state::node_address self, std::uint64_t seed);

    // inContact: nodes that answer and don't leave, this one included; known: those that may let requests through, lost ones included.
    void setFleet(std::vector<state::node_address> inContact, std::size_t known, bool isAlone, state::time_point now);
    rate_step tick(std::vector<outgoing_rates> reports, const limit_lookup &limits, double answeringShare, state::time_point now);
    rate_step receive(const state::node_address &from, const rate_message &message, const limit_lookup &limits, state::time_point now);

    const rate_ring &ring() const;
    double share() const; // part of the fleet that this node coordinates with

private:
    bool joinsOnly(const std::vector<state::node_address> &inContact, state::time_point now) const;
    void updateShare(double answeringShare, state::time_point now);
    void answer(const state::node_address &from, const rate_message &message, const limit_lookup &limits, state::time_point now, rate_step &step);
    void tellAll(std::vector<rate_grant> notices, rate_step &step);
    void tellGroups(rate_message message, rate_step &step); // to one node of each group, which passes it on
    void passOn(const rate_message &message, rate_step &step) const;

    state::node_address m_self;
    pcg32 m_random;
    rate_ring m_ring;
    rate_coordinator m_coordinator;
    std::size_t m_known = 1;
    std::size_t m_knownToCoordinator = 1;
    bool m_isAlone = false;
    state::time_point m_startedAt; // epoch: setFleet() has not been called yet
    state::time_point m_wholeAt;   // until then at least, all known nodes were in contact
    state::time_point m_nextExpiry;
};

} // namespace dandelionstall::coordination
