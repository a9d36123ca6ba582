// The rates of the organisations that this node coordinates: sums what the nodes report and states which fraction of the requests they may
// let through. Pure; used from one thread. All state is soft.
//
// For each organisation a token bucket is filled at the rate, for requests that were let through. While it is full enough, all requests
// pass. Below that, the fraction is chosen so that the level returns slowly; the level may fall below zero by what nodes let through before
// they knew. A request that is proven not to have run is given back, in part only when the organisation offers more than its rate: else its
// attempts would fill all queues while it stays below its rate.
//
// A coordinator has only as much of rate and burst as is its side's share of the fleet, so that the sides of a partition together have the
// whole once. What it learned of nothing yet, it takes for used: an organisation begins with the level that it can have reached since this
// node became a coordinator.
//
// Usage:
//   rate_coordinator coordinator;
//   coordinator.setShare(nodesInContact / knownNodes, now);
//   rate_grant answer = coordinator.record(from, report, limit, now);
//   for (const rate_grant &notice : coordinator.consumeNotices(now)) ...   // to all nodes
#pragma once

#include <dandelionstall/coordination/rates/organisation_limit.h>
#include <dandelionstall/coordination/rates/rate_messages.h>
#include <dandelionstall/coordination/rates/rate_meter.h>

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace dandelionstall::coordination {

class rate_coordinator
{
public:
    void setShare(double share, std::size_t knownNodes, state::time_point now); // part of the fleet that this node is in contact with, 0..1
    void recordRoleChange(state::time_point now);                               // nodes that others have coordinated may report to this one
    double share() const;

    rate_grant record(const state::node_address &from, const rate_report &report, const organisation_limit &limit, state::time_point now);
    std::vector<rate_grant> consumeNotices(state::time_point now); // organisations over their rate that all nodes are to be told of now
    void expire(state::time_point now);                            // forgets organisations without reports
    std::size_t size() const;                                      // organisations in memory

private:
    struct reporter {
        std::uint32_t session = 0;
        std::uint64_t offered = 0;
        std::uint64_t admitted = 0;
        std::uint64_t returned = 0;
        rate_meter admittedRate;
        double share = 0.0; // as it was stated to the node; 0: not known
        state::time_point reportedAt;
    };

    struct entry {
        organisation_limit limit;
        double level = 0.0; // requests that may be let through at once; below zero when more were
        state::time_point levelAt;
        rate_meter offeredLately;
        rate_meter offeredLong;
        rate_meter admitted;
        std::map<state::node_address, reporter> reporters;
        state::time_point reportedAt;
        double fraction = 1.0;
        double part = 1.0;              // of rate and burst that this coordinator gives out
        double knownPart = 1.0;         // of that, while it is young: the part of the nodes that report to it
        state::time_point knowsAllFrom; // from then on, this node has coordinated the same nodes for a window
        state::time_point limitedSince; // valid while fraction is below 1
        state::time_point partAt;
        state::time_point youngUntil;   // until then it may not know all nodes that report to it
        state::time_point nextNoticeAt; // max(): none due
    };

    struct report_counts {
        double offered = 0.0;
        double admitted = 0.0;
        double returned = 0.0;
        std::chrono::duration<double> over{0}; // time in which they came; 0 when not known
    };

    entry &find(const std::string &organisation, const organisation_limit &limit, state::time_point now);
    static void refill(entry &known, state::time_point now);
    static double refillRate(const entry &known, state::time_point now);
    void updatePart(entry &known, state::time_point now) const;
    static double silentShare(const entry &known, state::time_point now);
    double reportedShare(const entry &known) const;
    static double offeredRate(const entry &known, state::time_point now);
    static void updateFraction(entry &known, state::time_point now);
    static report_counts countNew(reporter &sender, const rate_report &report, state::time_point now);

    double m_share = 1.0;
    std::size_t m_knownNodes = 1;
    state::time_point m_roleSince;
    std::unordered_map<std::string, entry> m_entries; // by name of the organisation
};

} // namespace dandelionstall::coordination
