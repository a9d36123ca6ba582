// One node process: starts the control thread, the sidecar thread and the ingress threads, and shuts them down gracefully.
//
// Usage:
//   node process(settings);
//   if (absl::Status status = process.start(); !status.ok()) ...
//   process.run();   // returns after SIGTERM or SIGINT, once no work is in flight or stop_grace is about to expire
#pragma once

#include "control/control.h"
#include "ingress/ingress.h"
#include "sidecar/sidecar.h"

#include <dandelionstall/state/settings.h>
#include <dandelionstall/transport/admin_server.h>
#include <dandelionstall/transport/metrics.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace dandelionstall {

class node
{
public:
    using settings_loader = std::function<absl::StatusOr<state::settings>()>;

    node(state::settings settings, settings_loader reload); // reload reads and parses the settings file again

    absl::Status start(); // binds all addresses and starts the threads
    void run();           // runs all threads; returns after a graceful shutdown

private:
    // An ingress and the thread that runs it.
    struct ingress_thread {
        boost::asio::io_context io{1};
        std::unique_ptr<ingress> server;
        std::thread thread;
        std::atomic<std::size_t> busy{0}; // 1 if a caller connection was open at the last poll, otherwise 0
    };

    absl::Status startAdminServer();
    absl::Status startReadyServer();
    bool isReady() const; // true if configuration and workers are known and the node is not stopping
    void waitForReload();
    void checkSettings(); // validates a changed settings file without applying it
    void publish(const coordination::fleet_snapshot_ptr &snapshot);
    void waitForSignal();
    void beginIngressShutdown(state::time_point answersBy, state::time_point lateFrom); // answers carry Connection: close, so callers reconnect elsewhere
    void withdrawWaiting();      // requests that wait for a worker elsewhere are answered before the stop ends
    void beginSidecarShutdown(); // announces that this node is leaving; its sidecar accepts no new work
    void stopListening();        // the ingresses stop listening
    boost::asio::awaitable<void> shutdown();
    boost::asio::awaitable<void> waitUntilIdle(state::time_point deadline);

    state::settings m_settings;
    settings_loader m_reload;
    state::incarnation m_incarnation;
    state::time_point m_startedAt; // start time of the process, reported by the admin API
    transport::metrics m_metrics;
    shared_local_runs m_localRuns;
    shared_told_signals m_told;
    shared_rate_client m_rates;
    coordination::memory_budget m_memory;
    boost::asio::io_context m_controlIo{1};
    boost::asio::io_context m_sidecarIo{1};
    boost::asio::signal_set m_signals;
    std::unique_ptr<control> m_control;
    std::unique_ptr<sidecar> m_sidecar;
    std::unique_ptr<transport::admin_server> m_adminServer;
    std::unique_ptr<transport::admin_server> m_readyServer;
    boost::asio::signal_set m_reloadSignals;
    std::thread m_sidecarThread;
    std::vector<std::unique_ptr<ingress_thread>> m_ingresses;
    std::atomic<bool> m_sidecarIdle{true};
    bool m_stopping = false;
};

} // namespace dandelionstall
