// Control state of a node: configuration, membership and health, on a thread of its own.
//
// It watches the platform's service, exchanges gossip with other nodes and publishes immutable snapshots. All state is
// touched on the io_context's thread only; the functions marked thread-safe post to it.
//
// Usage:
//   control fleet(io, settings, own, metrics);
//   fleet.subscribe([](snapshot_ptr snapshot) { ... });
//   fleet.start();
//   std::thread thread([&] { io.run(); });
#pragma once

#include <dandelionstall/coordination/config_store.h>
#include <dandelionstall/coordination/fleet_snapshot.h>
#include <dandelionstall/coordination/member.h>
#include <dandelionstall/state/settings.h>
#include <dandelionstall/transport/metrics.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dandelionstall {

struct described_member {
    coordination::member member;
    state::table_revision routesRevision = 0; // in force there as last heard; 0 when not known
    state::table_revision poolsRevision = 0;  // in force there as last heard; 0 when not known
};

struct described_table {
    coordination::table_version inForce;
    coordination::table_version known; // newer than inForce while it is held back
    std::string lastRefusal;           // reason of the latest refusal; empty when none
};

// Read-only view for the admin API.
struct control_description {
    state::node_address self;
    state::incarnation incarnation = 0;
    std::string dataCentre;
    bool leaving = false;
    bool doubtsItself = false; // slept or isolated; declares nobody dead
    bool reader = false;       // watches the platform's service
    described_table routes;
    described_table pools;
    std::vector<described_member> members; // without this node
};

class control
{
public:
    using subscriber = std::function<void(coordination::snapshot_ptr)>;
    using description_handler = std::function<void(control_description)>;

    control(boost::asio::io_context &io, const state::settings &settings, state::incarnation own, transport::metrics &metrics);
    ~control();
    control(const control &) = delete;
    control &operator=(const control &) = delete;

    void subscribe(subscriber handler); // before start(); called on the control thread with every new snapshot
    void start();                       // once, before the thread runs

    // Thread-safe.
    void noteReports(std::vector<coordination::worker_report> reports); // of own workers, and those that came with answers
    void notePath(state::node_address node, bool ok);                   // outcome of an attempt on the path to a node
    void noteInterest(std::string pool);                                // this node routes to the pool
    void beginShutdown();                                               // announces that this node is leaving
    coordination::snapshot_ptr current() const;                         // the latest snapshot; never null
    void describe(description_handler handler);                         // called on the control thread

private:
    class detail;
    std::unique_ptr<detail> m_detail;
};

} // namespace dandelionstall
