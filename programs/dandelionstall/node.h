// One node process: the control thread, the sidecar's thread and the ingress' threads, and their graceful stop.
//
// Usage:
//   node process(settings);
//   if (absl::Status status = process.start(); !status.ok()) ...
//   process.run();   // returns after SIGTERM or SIGINT, when nothing is in flight any more
#pragma once

#include "control.h"
#include "ingress.h"
#include "sidecar.h"

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

    node(state::settings settings, settings_loader reload); // reload reads the settings file again

    absl::Status start(); // binds all addresses and starts the threads
    void run();           // serves until a graceful stop has ended

private:
    // An ingress with its own thread.
    struct ingress_thread {
        boost::asio::io_context io{1};
        std::unique_ptr<ingress> server;
        std::thread thread;
        std::atomic<std::size_t> busy{0}; // connections with a request in flight, as of the last poll
    };

    absl::Status startAdmin();
    absl::Status startReady();
    bool isReady() const; // serves callers: configuration and workers are known, and it is not stopping
    void waitForReload();
    void checkSettings();
    void publish(const coordination::fleet_snapshot_ptr &snapshot);
    void waitForSignal();
    void beginShutdown(); // callers are told to go elsewhere
    void stopSidecar();   // its workers get no new work through this node
    void closeCallers();
    boost::asio::awaitable<void> shutdown();
    boost::asio::awaitable<void> waitUntilIdle(state::time_point giveUpAt);

    state::settings m_settings;
    settings_loader m_reload;
    state::incarnation m_incarnation;
    state::time_point m_startedAt; // for the admin API
    transport::metrics m_metrics;
    boost::asio::io_context m_controlIo{1};
    boost::asio::io_context m_sidecarIo{1};
    boost::asio::signal_set m_signals;
    std::unique_ptr<control> m_control;
    std::unique_ptr<sidecar> m_sidecar;
    std::unique_ptr<transport::admin_server> m_admin;
    std::unique_ptr<transport::admin_server> m_ready;
    boost::asio::signal_set m_reloadSignals;
    std::thread m_sidecarThread;
    std::vector<std::unique_ptr<ingress_thread>> m_ingresses;
    std::atomic<bool> m_sidecarIdle{true};
    bool m_stopping = false;
};

} // namespace dandelionstall
