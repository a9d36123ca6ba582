// Selects the nodes of a data centre that read the platform's service on behalf of all its nodes. Pure.
//
// Each node ranks the live members of its data centre by rendezvous hashing, so nodes with equal views select the same
// readers and a change of membership replaces few of them. When no node of the data centre has read the service for
// ReaderHandOverTimeout, the selection moves to the next ranks (the next round) and stays there. Each round has at most
// ReadersPerDataCentre readers, also while the service is unavailable and each round is followed by the next one. Rounds and
// the time of the latest read are disseminated with gossip messages.
//
// Usage:
//   choice.recordRead(now);                                                     // after a successful call
//   choice.recordPeerState(message.readerRound, message.serviceReadAge, now);   // from a node of the same data centre
//   choice.tick(now);
//   if (isReader(self, liveMembers, choice.round())) ...
#pragma once

#include <dandelionstall/state/types.h>

#include <vector>

namespace dandelionstall::coordination {

inline constexpr std::size_t ReadersPerDataCentre = 2;
inline constexpr std::chrono::seconds ReaderHandOverTimeout{30}; // time without a successful read before the next round; longer than a blocking query

// Returns the readers among the live members, best rank first; fewer than ReadersPerDataCentre when members are too few.
std::vector<state::node_address> chooseReaders(const std::vector<state::node_address> &live, std::uint32_t round);
bool isReader(const state::node_address &self, const std::vector<state::node_address> &live, std::uint32_t round);

// Reads of the service in the local data centre, as far as this node knows.
class reader_choice
{
public:
    void start(state::time_point now);
    void recordRead(state::time_point now);                                                         // this node has read the service
    void recordPeerState(std::uint32_t round, std::chrono::seconds readAge, state::time_point now); // values received from another node of the data centre
    void tick(state::time_point now); // starts the next round when ReaderHandOverTimeout has passed
    std::uint32_t round() const;
    std::chrono::seconds serviceReadAge(state::time_point now) const; // rounded up, so that the age does not shrink when nodes pass it on

private:
    std::uint32_t m_round = 0;
    state::time_point m_lastRead;
    state::time_point m_handOverAt;
};

} // namespace dandelionstall::coordination
