// Plain records about the nodes of the fleet, shared by membership, configuration spread and the admin API.
#pragma once

#include <dandelionstall/state/types.h>

#include <string>
#include <string_view>

namespace dandelionstall::coordination {

// A row of the platform's list of VMs. The list lags behind the truth.
struct vm_record {
    state::node_address address; // the node process on that VM
    std::string dataCentre;      // data centre of the VM
    bool leaving = false;        // the platform is about to take the VM away

    friend bool operator==(const vm_record &, const vm_record &) = default;
};

enum class member_state {
    listed,  // known by name only; never heard
    alive,   // heard, or vouched for by others
    suspect, // does not answer; has time to refute that
    dead,    // did not refute it in time
};

// What a node believes about another one.
struct member {
    state::node_address address;               // advertised address
    std::string dataCentre;                    // empty when not known yet
    state::incarnation incarnation = 0;        // of its present life; 0 when never heard
    std::uint32_t refutations = 0;             // grows each time that life refutes a suspicion
    member_state state = member_state::listed; // belief about the process
    bool leaving = false;                      // takes no new work; final for that life
};

std::string_view memberStateName(member_state state); // "listed", ...

} // namespace dandelionstall::coordination
