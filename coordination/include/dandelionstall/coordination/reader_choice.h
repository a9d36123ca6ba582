// Chooses the nodes of a data centre that read the platform's service for all others. Pure.
//
// Each node ranks the live members of its data centre by rendezvous hashing, so nodes with equal views choose the same
// readers and a change of membership moves few of them. When nobody in the data centre has read the service for a while,
// the choice moves on to the next ranks and stays there; so a round has ReadersPerDataCentre readers at most, whether the
// readers or the service are at fault. Rounds and the time of the latest read spread with gossip.
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
inline constexpr std::chrono::seconds ReaderHandOverTimeout{30}; // without a successful read; longer than a blocking query

// Readers among the live members, best rank first; fewer when there are not enough members.
std::vector<state::node_address> chooseReaders(const std::vector<state::node_address> &live, std::uint32_t round);
bool isReader(const state::node_address &self, const std::vector<state::node_address> &live, std::uint32_t round);

// What a node knows about the reads of its data centre.
class reader_choice
{
public:
    void start(state::time_point now);
    void recordRead(state::time_point now);                                                         // this node has read the service
    void recordPeerState(std::uint32_t round, std::chrono::seconds readAge, state::time_point now); // from another node
    void tick(state::time_point now);                                                               // moves on when it is time
    std::uint32_t round() const;
    std::chrono::seconds serviceReadAge(state::time_point now) const; // rounded up, so that it never gets younger on its way

private:
    std::uint32_t m_round = 0;
    state::time_point m_lastRead;
    state::time_point m_handOverAt;
};

} // namespace dandelionstall::coordination
