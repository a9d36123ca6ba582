// Selects the nodes of a data centre that read the platform's service on behalf of all its nodes. Pure.
//
// Each node orders the live members of its data centre by rendezvous hashing. A window of this order names the nodes that read: two
// of them while reads succeed (settled). A service may turn away any of the nodes, in any way, and serve the others. So when no node
// has read for longer than the service takes when it works, the window moves on and widens (searching): its members try one cheap
// call each, all at the same time, and every step tries four times as many. The first member that succeeds makes itself a reader.
// When all members have tried in vain, one node keeps trying for a while (exhausted), and the search begins again. So the calls in
// an outage are bounded by one for each node in SearchPause, and any node that is served again is found within that time.
//
// Windows are disseminated with gossip messages; the highest round is in force. Who notices first that reads have ceased decides:
// the readers themselves, then those next in order, who are told of each read, then all others by the age that gossip carries.
//
// Usage:
//   reader_choice choice(self);
//   choice.start(now);
//   choice.setMembers(liveMembers);                                       // whenever they change
//   choice.recordRead(now);                                               // after a successful call of this node
//   choice.recordPeerState(message.readers, message.serviceReadAge, now); // from a node of the same data centre
//   choice.tick(now);
//   if (reads(choice.role())) ...
//
// Index:
//   [SECTION] Timing
//   [SECTION] Windows
//   [SECTION] Choice
#pragma once

#include <dandelionstall/state/types.h>

#include <limits>
#include <optional>
#include <string_view>
#include <vector>

namespace dandelionstall::coordination {

// [SECTION] Timing

inline constexpr std::chrono::milliseconds DefaultReadGap{1100}; // longest time between two reads of the primary while the service works
inline constexpr std::chrono::milliseconds StandbyDelay{300};    // added for the nodes that are told of each read: messages are lost at times
inline constexpr std::chrono::seconds OtherNodesDelay{2};        // added for all other nodes, which hear of reads by gossip
inline constexpr std::chrono::milliseconds SearchStep{350};      // from one window of a search to the next; longer than a call takes
inline constexpr std::chrono::seconds SearchPause{2}; // after a search in vain; with it, shorter than the time in which nodes that are served again must follow

// [SECTION] Windows

inline constexpr std::size_t ReadersPerDataCentre = 2;
inline constexpr std::chrono::hours MaxReadAge{1};       // an older read counts as one that is not known
inline constexpr std::size_t StandbysPerDataCentre = 2;  // nodes next in order, which are told of each read
inline constexpr std::uint32_t FirstSearchWidth = 8;     // members in the first window of a search
inline constexpr std::uint32_t SearchWidthFactor = 4;    // of each window to the one before it
inline constexpr std::uint32_t ExhaustedSearchWidth = 1; // after a search in vain

enum class reader_phase {
    exhausted, // all members have tried in vain
    searching, // the members of the window try
    settled,   // the members of the window read
};

// Consecutive members of the data centre in the order of their ranks.
struct reader_window {
    std::uint32_t round = 0;                                         // grows with each change
    std::uint64_t first = std::numeric_limits<std::uint64_t>::max(); // begins with the member of the highest rank that is not above this
    std::uint32_t width = ReadersPerDataCentre;                      // number of members; it also tells the phase

    friend bool operator==(const reader_window &, const reader_window &) = default;
};

reader_phase phaseOf(const reader_window &window);
bool supersedes(const reader_window &a, const reader_window &b); // true when a comes into force although b was; the same on all nodes

// Returns the members of the window among the live ones, in order; fewer than its width when members are too few.
std::vector<state::node_address> chooseReaders(const std::vector<state::node_address> &live, const reader_window &window);
bool isReader(const state::node_address &self, const std::vector<state::node_address> &live, const reader_window &window);

namespace detail {

struct ranked_node {
    std::uint64_t rank = 0;
    state::node_address address;
};

std::vector<ranked_node> rankMembers(const std::vector<state::node_address> &live); // highest rank first

} // namespace detail

// [SECTION] Choice

enum class reader_role {
    none,      // other nodes read
    probing,   // tries whether the service serves this node
    secondary, // reads on behalf of all nodes of the data centre; a change reaches it as soon as the primary
    primary,   // the same, and calls so often that a failure is noticed soon
};

std::string_view roleName(reader_role role); // name of the enumerator
bool reads(reader_role role);                // true for primary and secondary

// Reads of the service in the local data centre, as far as this node knows.
class reader_choice
{
public:
    explicit reader_choice(const state::node_address &self);

    void start(state::time_point now);
    void setReadGap(std::chrono::milliseconds gap);                // longest time between two successful calls of the primary while the service works
    void setMembers(const std::vector<state::node_address> &live); // the members of the data centre that may read; without this node, it has no role
    void recordRead(state::time_point now);                        // this node has read the service
    void recordPeerState(const reader_window &window, std::chrono::milliseconds readAge, state::time_point now); // from another node of the data centre
    void tick(state::time_point now); // moves the window on when no read was heard of in time

    bool consumeSearchStarted(); // true when this node has ended a settled window since the last call

    reader_role role() const;
    const reader_window &window() const;
    std::vector<state::node_address> nextInOrder() const; // the other members of the window and the standbys, at most StandbysPerDataCentre of these
    std::chrono::milliseconds serviceReadAge(state::time_point now) const; // MaxReadAge when none is known; rounded up

private:
    std::size_t firstIndex() const;           // index of the first member of the window
    std::optional<std::size_t> place() const; // place of this node in the order that begins with the window; empty when it is no member
    state::time_point moveDueAt() const;
    void moveOn(state::time_point now);
    void settle(state::time_point now);
    void adopt(const reader_window &window, state::time_point now);

    state::node_address m_self;
    std::uint64_t m_selfRank = 0;
    std::chrono::milliseconds m_readGap = DefaultReadGap;
    std::vector<detail::ranked_node> m_members; // of the data centre
    reader_window m_window;
    reader_window m_settled;         // the last settled window
    state::time_point m_windowSince; // when this node learned of the window
    state::time_point m_lastRead;    // of any node; epoch when none is known
    state::time_point m_lastOwnRead; // of this node
    state::time_point m_lastTick;
    bool m_searchStarted = false;
};

} // namespace dandelionstall::coordination
