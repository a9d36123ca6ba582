// Plain records about the nodes of the fleet, shared by membership, configuration dissemination and the admin API.
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <string_view>

namespace dandelionstall::coordination {

// A row of the platform's VM list. The list may be out of date.
struct vm_record {
    state::node_address address; // address of the node process on that VM
    std::string dataCentre;      // data centre of the VM
    bool leaving = false;        // the platform is about to remove the VM

    friend bool operator==(const vm_record &, const vm_record &) = default;
};

enum class member_state {
    listed,  // known by address only; no contact with it, direct or through other nodes
    alive,   // has sent a message, or is reported alive by other nodes
    suspect, // does not answer; declared dead unless an answer arrives in time
    dead,    // did not answer in time; refutes its death when it receives this state
};

// Record that a node keeps about another node.
struct member {
    state::node_address address;               // advertised address
    std::string dataCentre;                    // data centre of the node; empty when not known yet
    state::incarnation incarnation = 0;        // incarnation of its current process; 0 when not known yet
    std::uint32_t refutations = 0;             // number of times that this incarnation has refuted its declared death
    member_state state = member_state::listed; // condition of the process as far as this node knows
    bool leaving = false;                      // takes no new work; final for this incarnation
};

std::string_view memberStateName(member_state state); // text form: "listed", "alive", "suspect" or "dead"

} // namespace dandelionstall::coordination
