#include "node.h"

#include "version.h"
#include "wall_clock.h"

#include <dandelionstall/state/text.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>

#include <csignal>
#include <random>

namespace dandelionstall {

namespace asio = boost::asio;
using transport::event;
using transport::logEvent;

namespace {

constexpr auto LeaveGrace = std::chrono::milliseconds(3000);    // time for other nodes and callers to receive the leave announcement
constexpr auto HandoverTime = std::chrono::milliseconds(1000);  // first part of LeaveGrace, in which the local workers still accept work
constexpr auto IdlePoll = std::chrono::milliseconds(20);        // interval between checks whether the ingresses and the sidecar are idle
constexpr auto StopMargin = std::chrono::milliseconds(250);     // a bounded shutdown ends this long before stop_grace expires
constexpr auto WithdrawTime = std::chrono::milliseconds(1000);  // before the end of a bounded shutdown, what no worker has begun is withdrawn
constexpr auto AnswerMargin = std::chrono::milliseconds(250);   // before that end, the last requests get their answers; more than AnswerGrace
constexpr auto ShortLinger = std::chrono::milliseconds(500);    // replaces OutcomeLinger if the shutdown is bounded
constexpr auto OutcomeLinger = std::chrono::milliseconds(1500); // outcomes can be queried for this long after the last attempt

std::uint64_t drawSeed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

} // namespace

node::node(state::settings settings, settings_loader reload)
    : m_settings(std::move(settings))
    , m_reload(std::move(reload))
    , m_incarnation(static_cast<state::incarnation>(systemNowMs()))
    , m_startedAt(state::clock::now())
    , m_rates(drawSeed())
    , m_memory(coordination::bodyMemoryOf(m_settings.memoryMb))
    , m_signals(m_controlIo, SIGTERM, SIGINT)
    , m_reloadSignals(m_controlIo, SIGHUP)
{ }

// [SECTION] Start

absl::Status node::start()
{
    m_control = std::make_unique<control>(m_controlIo, m_settings, m_incarnation, m_metrics, m_rates);
    m_sidecar = std::make_unique<sidecar>(
        m_sidecarIo, m_settings, m_incarnation, m_metrics, m_localRuns, m_memory, [this](std::vector<coordination::worker_report> reports) {
            m_control->recordReports(std::move(reports));
        });
    if (absl::Status status = m_sidecar->listen(); !status.ok()) {
        return status;
    }
    for (std::uint32_t i = 0; i < m_settings.ingressThreads; ++i) {
        ingress_events events;
        events.reports = [this](std::vector<coordination::worker_report> reports) {
            m_control->recordReports(std::move(reports));
        };
        events.pathOutcome = [this](state::node_address address, bool ok) {
            m_control->recordPathOutcome(std::move(address), ok);
        };
        events.poolUse = [this](std::string pool) {
            m_control->recordPoolUse(std::move(pool));
        };
        auto entry = std::make_unique<ingress_thread>();
        entry->server = std::make_unique<ingress>(entry->io, m_settings, drawSeed(), m_metrics, m_localRuns, m_told, m_rates, m_memory, std::move(events));
        if (absl::Status status = entry->server->listen(); !status.ok()) {
            return status;
        }
        m_ingresses.push_back(std::move(entry));
    }
    if (absl::Status status = startAdminServer(); !status.ok()) {
        return status;
    }
    if (absl::Status status = startReadyServer(); !status.ok()) {
        return status;
    }
    m_control->subscribe([this](const coordination::fleet_snapshot_ptr &snapshot) { publish(snapshot); });
    m_control->start();
    waitForSignal();
    waitForReload();
    logEvent(event::node_started,
             {{"listen", state::formatNodeAddress(m_settings.listenAddress)},
              {"callers", state::formatNodeAddress(m_settings.callersAddress)},
              {"data_centre", m_settings.dataCentre},
              {"first_start", m_settings.firstStart ? "yes" : "no"},
              {"incarnation", std::to_string(m_incarnation)}});
    return absl::OkStatus();
}

absl::Status node::startAdminServer()
{
    transport::admin_providers providers;
    providers.identity = [this] {
        return protocol::node_identity{m_settings.name, std::string(Version), m_incarnation, m_startedAt};
    };
    providers.now = [] {
        return state::clock::now();
    };
    providers.snapshot = [this] {
        return m_control->current();
    };
    providers.settings = [this]() -> const state::settings & {
        return m_settings;
    };
    providers.fleet = [this] {
        return m_control->describe();
    };
    providers.metrics = [this] {
        return m_metrics.expose();
    };
    m_adminServer = std::make_unique<transport::admin_server>(m_controlIo, transport::makeAdminHandlers(std::move(providers)));
    return m_adminServer->listen(m_settings.adminAddress);
}

bool node::isReady() const
{
    const coordination::fleet_snapshot_ptr snapshot = m_control->current();
    const bool complete = snapshot->routes && snapshot->pools && (snapshot->workersDiscovered || m_settings.platformKind == "consul");
    return complete && !m_stopping;
}

absl::Status node::startReadyServer()
{
    if (m_settings.readyAddress.port == 0) {
        return absl::OkStatus();
    }
    transport::admin_handler handler;
    handler.path = m_settings.readyPath;
    handler.handle = [this](const transport::admin_request &) {
        return isReady() ? transport::admin_answer{200, "text/plain", "ready\n"} : transport::admin_answer{503, "text/plain", "not ready\n"};
    };
    m_readyServer = std::make_unique<transport::admin_server>(m_controlIo, std::vector<transport::admin_handler>{std::move(handler)});
    return m_readyServer->listen(m_settings.readyAddress);
}

void node::publish(const coordination::fleet_snapshot_ptr &snapshot)
{
    asio::post(m_sidecarIo, [this, snapshot] { m_sidecar->applySnapshot(snapshot); });
    for (const auto &entry : m_ingresses) {
        asio::post(entry->io, [server = entry->server.get(), snapshot] { server->applySnapshot(snapshot); });
    }
}

void node::run()
{
    m_sidecarThread = std::thread([this] {
        const auto guard = asio::make_work_guard(m_sidecarIo);
        m_sidecarIo.run();
    });
    for (const auto &entry : m_ingresses) {
        entry->thread = std::thread([io = &entry->io] {
            const auto guard = asio::make_work_guard(*io);
            io->run();
        });
    }
    const auto guard = asio::make_work_guard(m_controlIo);
    m_controlIo.run();
    m_sidecarThread.join();
    for (const auto &entry : m_ingresses) {
        entry->thread.join();
    }
    logEvent(event::node_stopped, {});
}

// [SECTION] Shutdown

void node::waitForSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        if (!m_stopping) { // further signals are ignored: they never abort work in flight
            m_stopping = true;
            asio::co_spawn(m_controlIo, shutdown(), asio::detached);
        }
        waitForSignal();
    });
}

// Validates the changed file and logs the result. New addresses and limits take effect at the next process start.
void node::checkSettings()
{
    const absl::StatusOr<state::settings> reloaded = m_reload();
    if (!reloaded.ok()) {
        logEvent(event::settings_refused, {{"reason", std::string(state::messageOf(reloaded.status()))}});
        return;
    }
    logEvent(event::reload_asked, {{"changed", *reloaded == m_settings ? "no" : "yes"}});
}

void node::waitForReload()
{
    m_reloadSignals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            checkSettings();
            waitForReload();
        }
    });
}

void node::beginIngressShutdown(state::time_point answersBy, state::time_point lateFrom)
{
    for (const auto &entry : m_ingresses) {
        asio::post(entry->io, [server = entry->server.get(), answersBy, lateFrom] { server->beginShutdown(answersBy, lateFrom); });
    }
}

void node::withdrawWaiting()
{
    for (const auto &entry : m_ingresses) {
        asio::post(entry->io, [server = entry->server.get()] { server->withdrawWaiting(); });
    }
}

void node::beginSidecarShutdown()
{
    m_control->beginShutdown();
    asio::post(m_sidecarIo, [this] { m_sidecar->beginShutdown(); });
}

void node::stopListening()
{
    for (const auto &entry : m_ingresses) {
        asio::post(entry->io, [server = entry->server.get()] { server->stopListening(); });
    }
}

asio::awaitable<void> node::waitUntilIdle(state::time_point deadline)
{
    asio::steady_timer pause(m_controlIo);
    while (state::clock::now() < deadline) {
        for (const auto &entry : m_ingresses) {
            entry->busy = 1;
            asio::post(entry->io, [raw = entry.get()] { raw->busy = raw->server->isIdle() ? 0 : 1; });
        }
        m_sidecarIdle = false;
        asio::post(m_sidecarIo, [this] { m_sidecarIdle = m_sidecar->isIdle(); });
        pause.expires_after(IdlePoll);
        co_await pause.async_wait(asio::use_awaitable);
        bool idle = m_sidecarIdle;
        for (const auto &entry : m_ingresses) {
            idle = idle && entry->busy == 0;
        }
        if (idle) {
            co_return;
        }
    }
}

asio::awaitable<void> node::shutdown()
{
    logEvent(event::node_stopping, {});
    const bool bounded = m_settings.stopGrace.count() > 0;
    const state::time_point startedAt = state::clock::now();
    const state::time_point endsAt = bounded ? startedAt + m_settings.stopGrace - StopMargin : state::time_point::max();
    const state::time_point withdrawAt = bounded ? endsAt - WithdrawTime : state::time_point::max();
    beginIngressShutdown(bounded ? endsAt - AnswerMargin : state::time_point::max(), std::min(startedAt + LeaveGrace, withdrawAt));
    asio::steady_timer pause(m_controlIo, std::min(startedAt + HandoverTime, withdrawAt));
    co_await pause.async_wait(asio::use_awaitable);
    beginSidecarShutdown();
    pause.expires_at(std::min(startedAt + LeaveGrace, withdrawAt));
    co_await pause.async_wait(asio::use_awaitable);
    stopListening();
    co_await waitUntilIdle(withdrawAt);
    withdrawWaiting();
    co_await waitUntilIdle(endsAt);
    pause.expires_at(std::min(endsAt, state::clock::now() + (bounded ? ShortLinger : OutcomeLinger)));
    co_await pause.async_wait(asio::use_awaitable);
    co_await waitUntilIdle(endsAt);
    m_adminServer->stop();
    if (m_readyServer) {
        m_readyServer->stop();
    }
    m_sidecarIo.stop();
    for (const auto &entry : m_ingresses) {
        entry->io.stop();
    }
    m_controlIo.stop();
}

} // namespace dandelionstall
