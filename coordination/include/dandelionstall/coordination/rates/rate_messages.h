// Messages by which the nodes hold the rates of organisations together; each is one datagram, see protocol/gossip_codec.h.
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <vector>

namespace dandelionstall::coordination {

// What a node has counted of one organisation. The counts are sums since the start of the session, so that a report that is lost or comes
// twice changes nothing.
struct rate_report {
    std::string organisation;     // its name
    std::uint32_t session = 0;    // changes when the node begins to count anew; never 0
    std::uint64_t offered = 0;    // requests that came
    std::uint64_t admitted = 0;   // requests that were let through
    std::uint64_t returned = 0;   // requests that were let through and are proven not to have run
    std::uint64_t unanswered = 0; // part of `admitted` that no coordinator has answered yet, or not this one
    float share = 0.0F;           // the node's part of the organisation's requests as stated by a coordinator lately; 0: not known

    friend bool operator==(const rate_report &, const rate_report &) = default;
};

// What a coordinator answers, or tells all nodes about an organisation that is over its rate.
struct rate_grant {
    std::string organisation;
    std::uint32_t session = 0;  // of the report; 0 when told without a report
    std::uint64_t admitted = 0; // of the report
    float fraction = 1.0F;      // share of the requests that the node may let through
    float share = 0.0F;         // the node's part of what the organisation is let through on all nodes
    bool isYoung = false;       // the coordinator has just begun, and doesn't know what all nodes let through

    friend bool operator==(const rate_grant &, const rate_grant &) = default;
};

struct rate_message {
    std::vector<rate_report> reports;
    std::vector<rate_grant> grants;
    std::uint32_t relayGroups = 0; // the receiver passes the grants on to its group, of so many; 0: it does not
};

struct outgoing_rates {
    state::node_address to;
    rate_message message;
};

inline constexpr std::size_t MaxRateBytes = 1200; // of the rows of one message, so that it fits a datagram
inline constexpr std::size_t RateRowBytes = 44;   // of one row, without the name

// Whether a row for this organisation still fits a message whose rows have so many bytes.
inline bool fitsRates(std::size_t bytes, const std::string &organisation)
{
    return bytes == 0 || bytes + RateRowBytes + organisation.size() <= MaxRateBytes;
}

} // namespace dandelionstall::coordination
