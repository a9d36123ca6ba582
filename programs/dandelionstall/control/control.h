// Control plane of a node: configuration, membership and worker health, on a dedicated thread.
//
// It watches the platform's service, exchanges gossip with other nodes and publishes immutable snapshots. All state except
// the current snapshot is accessed on the io_context's thread only; the functions marked thread-safe post to that thread or
// lock a mutex.
//
// Usage:
//   control fleet(io, settings, incarnation, metrics);
//   fleet.subscribe([](fleet_snapshot_ptr snapshot) { ... });
//   fleet.start();
//   std::thread thread([&] { io.run(); });
#pragma once

#include "shared_state.h"

#include <dandelionstall/coordination/configuration/config_store.h>
#include <dandelionstall/coordination/fleet_snapshot.h>
#include <dandelionstall/coordination/membership/member.h>
#include <dandelionstall/protocol/admin_json.h>
#include <dandelionstall/state/settings.h>
#include <dandelionstall/transport/metrics.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dandelionstall {

class control
{
public:
    using subscriber = std::function<void(coordination::fleet_snapshot_ptr)>;

    control(boost::asio::io_context &io,
            const state::settings &settings,
            state::incarnation selfIncarnation,
            transport::metrics &metrics,
            shared_rate_client &rateClient);
    ~control();
    control(const control &) = delete;
    control &operator=(const control &) = delete;

    void subscribe(subscriber handler); // before start(); called on the control thread with every new snapshot
    void start();                       // call once, before the thread runs

    protocol::fleet_status describe() const; // for the admin API; on the control thread only

    // Thread-safe.
    void recordReports(std::vector<coordination::worker_report> reports); // reports on local workers, and reports piggybacked on answers
    void recordPathOutcome(state::node_address node, bool ok);            // whether the node could be reached for an attempt
    void recordPoolUse(std::string pool);                                 // this node routes requests to the pool
    void beginShutdown();                                                 // announces that this node is leaving
    coordination::fleet_snapshot_ptr current() const;                     // the latest snapshot; never null

private:
    class detail;
    std::unique_ptr<detail> m_detail;
};

} // namespace dandelionstall
