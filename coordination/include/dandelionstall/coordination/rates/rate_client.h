// The rates of organisations at the node where requests enter: decides at once, from what this node knows, whether a request is let
// through, and counts for the coordinators. Pure; the caller serializes the calls of several threads.
//
// Load pattern: an organisation rises to many times its usual rate within a second, its callers spread over all nodes, while nodes and
// links fail.
//
// A request is let through unless a coordinator has said that the organisation is over its rate; then a stated fraction is, the most
// urgent first. What no coordinator has answered yet is bounded by a credit of a few requests and by AnswerTimeout. Beyond that this node
// is on its own and lets through its share: for some time its part of the organisation's recent requests, later that of one node of all.
// So the sides of a partition stay within the rate together, but for a cut in the moment of a steep rise; see docs/design/rates.md.
//
// Usage:
//   rate_client client(seed);
//   rate_decision decision = client.decide(name, limit, route.priority, now);
//   client.recordNotRun(name);                            // a request that was let through has not run and will not
//   send(client.makeReports(ring, now));                  // every TickInterval
//   client.receive(from, grant, now);
#pragma once

#include <dandelionstall/coordination/rates/organisation_limit.h>
#include <dandelionstall/coordination/rates/rate_messages.h>
#include <dandelionstall/coordination/rates/rate_meter.h>
#include <dandelionstall/coordination/rates/rate_ring.h>

#include <pcg_random.hpp>

#include <array>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dandelionstall::coordination {

struct rate_decision {
    bool admitted = true;
    state::time_point retryAt;        // when the organisation is likely to have room for this request again; set when not admitted
    double fraction = 1.0;            // of the requests that are let through
    bool onOwnShare = false;          // no coordinator answers
    std::chrono::milliseconds age{0}; // time since a coordinator has answered
};

class rate_client
{
public:
    explicit rate_client(std::uint64_t seed);

    void setFleet(std::size_t knownNodes, bool isAlone); // nodes that may let requests through, this one included; isAlone: no other node answers

    rate_decision decide(std::string_view organisation, const organisation_limit &limit, std::uint32_t priority, state::time_point now);
    void recordNotRun(std::string_view organisation);

    std::vector<outgoing_rates> makeReports(const rate_ring &ring, state::time_point now); // those due; forgets organisations without requests
    void receive(const state::node_address &from, const rate_grant &grant, state::time_point now);

    double answeringShare(state::time_point now) const; // share of the coordinators asked lately that answer; 1 when only a few are silent
    std::size_t size() const;                           // organisations in memory

private:
    // Counts that one coordinator was sent.
    struct reported_counts {
        std::uint64_t offered = 0;
        std::uint64_t admitted = 0;
        std::uint64_t returned = 0;

        friend bool operator==(const reported_counts &, const reported_counts &) = default;
    };

    struct coordinator_link {
        state::node_address node = {}; // port 0: none
        reported_counts reported = {}; // at reportedAt
        state::time_point reportedAt = {};
        std::uint32_t repeats = 0;         // reports since the latest answer
        std::uint64_t answered = 0;        // admitted requests that it has counted
        double fraction = 1.0;             // as stated at fractionAt
        state::time_point fractionAt = {}; // epoch: never
        bool isYoung = false;
    };

    struct entry {
        std::uint32_t session = 0;
        reported_counts counts;
        std::uint64_t answered = 0;        // admitted requests that any coordinator has counted
        state::time_point unansweredSince; // valid while counts.admitted > answered
        state::time_point answeredAt;      // epoch: never
        double share = 0.0;                // part of the organisation's requests, as stated at answeredAt
        double rate = 0.0;                 // of the limit used last
        rate_meter offeredRate;
        std::array<coordinator_link, RateCoordinators> links;
        std::uint64_t ringVersion = 0;  // of the ring that links reflects
        double toldFraction = 1.0;      // as told to all nodes at toldAt
        state::time_point toldAt;       // epoch: never
        std::array<double, 3> passes{}; // by urgency, fraction of a request that may still pass
        double ownTokens = 0.0;         // requests that this node may let through on its own
        state::time_point ownTokensAt;  // max(): not on its own
        state::time_point requestedAt;  // epoch: no request yet, known only by what a coordinator told
        state::time_point usedAt;
    };

    struct contact {
        state::time_point askedAt;
        state::time_point unansweredSince; // epoch: answered
    };

    entry &find(std::string_view organisation, state::time_point now);
    std::uint64_t drawWeight(bool inFull, state::time_point now); // requests that this one stands for in the counts
    bool isOnOwn(const entry &known, state::time_point now) const;
    double creditOf(const entry &known) const;
    bool takeOwnToken(entry &known, const organisation_limit &limit, state::time_point now);
    bool passes(entry &known, double fraction, std::uint32_t priority, state::time_point now);
    double fractionOf(double fraction, std::size_t urgency, state::time_point now) const;
    static double statedFraction(const entry &known, state::time_point now);

    // rate_client_reports.cpp
    bool isDue(const entry &known, const coordinator_link &link, bool isFirst, state::time_point now) const;
    state::duration limitedInterval(const entry &known) const;
    static void follow(entry &known, const std::string &organisation, const rate_ring &ring, state::time_point now);
    static rate_report makeReport(const entry &known, const std::string &organisation, coordinator_link &link, state::time_point now);
    void receiveUnasked(const rate_grant &grant, state::time_point now);

    pcg32 m_random;
    std::size_t m_knownNodes = 1;
    bool m_isAlone = false;
    state::time_point m_tickedAt;      // of the latest makeReports(); epoch: this process has just begun
    state::time_point m_cautiousSince; // this process has been started or has been paused: what coordinators stated before doesn't count
    state::time_point m_cautiousUntil;
    std::unordered_map<std::string, entry> m_entries; // by name of the organisation
    std::map<state::node_address, contact> m_contacts;
    std::array<rate_meter, 3> m_offeredByUrgency; // of all organisations
    std::uint64_t m_weight = 1;                   // one request in this many is reported
    rate_meter m_sparse;                          // requests of organisations with few requests at this node
};

namespace detail {

inline constexpr std::chrono::milliseconds PauseTime{300};  // a longer interval between two calls of makeReports() counts as a pause
inline constexpr std::chrono::milliseconds ShareTime{2000}; // for how long a node's part of the recent requests counts after it was stated

double effectiveFraction(double stated, state::duration age); // a statement loses its force with time

} // namespace detail

} // namespace dandelionstall::coordination
