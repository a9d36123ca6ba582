// Where a node reads its configuration and its workers from: an abstract interface with one implementation per platform.
//
// A source runs on the control thread's io_context and hands out what it reads through source_events. Nodes share the
// reading: only those chosen as readers keep watches open, the others hear by gossip.
#pragma once

#include <dandelionstall/coordination/config_store.h>
#include <dandelionstall/coordination/member.h>
#include <dandelionstall/coordination/worker_directory.h>

#include <functional>
#include <string>
#include <vector>

namespace dandelionstall::transport {

// [SECTION] Events

struct source_events {
    std::function<void(coordination::table_kind kind, std::string text)> tableReceived;                           // whole text of a table
    std::function<void(coordination::table_kind kind, const absl::Status &reason)> tableInvalid;                  // a table that cannot be read or put together
    std::function<void(std::vector<coordination::vm_record> vms)> vmListReceived;                                 // the whole list
    std::function<void(std::vector<coordination::vm_record> vms)> leavingVmsReceived;                             // only its leaving rows
    std::function<void(std::vector<coordination::discovered_worker> all, std::uint64_t asOf)> workerListReceived; // all workers, as of a revision
    std::function<void(coordination::discovered_worker entry)> workerUpdated;                                     // one worker has changed
    std::function<void(std::string id, std::uint64_t revision)> workerRemoved;                                    // the entry of one worker is gone
    std::function<void(std::string key, std::string reason)> entryRefused;                                        // an entry that names no usable worker
    std::function<void()> readSucceeded;                                                                          // a call has succeeded
    std::function<void()> readFailed;                                                                             // a call has failed
};

// [SECTION] Source

class config_source
{
public:
    virtual ~config_source() = default;

    virtual void start() = 0;                              // once
    virtual void setActive(bool tables, bool members) = 0; // whether to watch the tables, and the list of VMs or workers
};

} // namespace dandelionstall::transport
