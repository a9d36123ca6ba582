// Abstract source of a node's configuration and list of workers, with one implementation per platform.
//
// A source runs on the control thread's io_context and passes what it reads to source_events. Only the nodes that are
// chosen as readers keep watches of the platform's service open; the other nodes receive the data by gossip.
#pragma once

#include <dandelionstall/coordination/configuration/config_store.h>
#include <dandelionstall/coordination/configuration/reader_choice.h>
#include <dandelionstall/coordination/configuration/worker_directory.h>
#include <dandelionstall/coordination/membership/member.h>

#include <functional>
#include <string>
#include <vector>

namespace dandelionstall::transport {

// [SECTION] Events

struct source_events {
    std::function<void(coordination::table_kind kind, std::string text)> tableReceived;          // a table was read; `text` is its whole text
    std::function<void(coordination::table_kind kind, const absl::Status &reason)> tableInvalid; // a table cannot be read or assembled from its parts
    std::function<void(std::vector<coordination::vm_record> vms)> vmListReceived;                // the whole list of VMs was read
    std::function<void(std::vector<coordination::vm_record> vms)> leavingVmsReceived;            // only the rows of VMs that are leaving were read
    std::function<void(coordination::worker_list list, coordination::store_revision asOf)> workerListReceived; // all workers were read, as of a revision
    std::function<void(coordination::discovered_worker entry)> workerUpdated;                 // the entry of one worker was added or has changed
    std::function<void(std::string id, coordination::store_revision revision)> workerRemoved; // the entry of one worker was removed at this revision
    std::function<void(std::string id)> workerUnreadable;                                     // a changed entry of this worker cannot be read
    std::function<void(coordination::store_revision asOf)> workersReadUpTo; // after workerListReceived, all changes up to this revision were passed on
    std::function<void(std::string key, std::string reason)> entryRefused;  // an entry does not describe a usable worker
    std::function<void(std::uint64_t era, coordination::store_revision before)>
        eraRaised;                       // the store names a higher era than before; before: what had been applied
    std::function<void()> readSucceeded; // a call to the platform's service succeeded
    std::function<void()> readFailed;    // a call to the platform's service failed
};

// [SECTION] Source

class config_source
{
public:
    virtual ~config_source() = default;

    virtual void start() = 0; // starts the source; called once

    // Sets whether this node reads for its data centre, and whether it needs the list of VMs or workers in any case. A node that is probing
    // makes one call and repeats it at a low rate.
    virtual void setRole(coordination::reader_role role, bool needsMembers) = 0;

    virtual std::chrono::milliseconds readGap() const = 0; // longest time between two successful calls of a reader while the service works
};

} // namespace dandelionstall::transport
