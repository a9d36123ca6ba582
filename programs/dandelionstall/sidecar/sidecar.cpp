// Sidecar: listening, configuration of the workers, probes and shutdown. Attempts: sidecar_attempts.cpp, sidecar_execution.cpp;
// reports: sidecar_reports.cpp.
#include "sidecar.h"

#include <dandelionstall/protocol/caller_http.h>
#include <dandelionstall/transport/errors.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>
#include <xxhash.h>

#include <algorithm>

namespace dandelionstall {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto TickPeriod = std::chrono::milliseconds(100);
constexpr auto PauseTolerance = std::chrono::milliseconds(500); // a tick later than this indicates a process pause
constexpr auto FirstWorkersTime = std::chrono::seconds(5);      // after the first start of the fleet, time in which its workers announce themselves
constexpr auto ProbePeriod = std::chrono::milliseconds(250);
constexpr auto ExpiryPeriod = std::chrono::milliseconds(1000); // interval between removals of expired attempt records
constexpr auto ProbeTimeout = std::chrono::milliseconds(1000);
constexpr std::size_t MaxProbeAnswerBytes = 65'536;
constexpr int ProbeShareOfLimit = 4; // with a rate limit, one request in this many may be a probe

// Records status, draining state and signals of a probe's answer and discards the body.
class probe_sink : public transport::worker_answer_sink
{
public:
    void onSignals(const protocol::worker_signals &stated, bool) override
    {
        signals = stated;
    }

    void onHead(std::uint32_t status, protocol::http_headers headers) override
    {
        ok = status < 400;
        draining = protocol::findHeader(headers, protocol::WorkerStateHeader) == protocol::WorkerDraining;
    }

    asio::awaitable<void> onBody(std::string_view) override
    {
        co_return;
    }

    bool ok = false;
    bool draining = false;
    protocol::worker_signals signals;
};

} // namespace

// [SECTION] Listening

sidecar::sidecar(asio::io_context &io,
                 const state::settings &settings,
                 state::incarnation selfIncarnation,
                 transport::metrics &metrics,
                 shared_local_runs &localRuns,
                 coordination::memory_budget &memory,
                 report_sink reports)
    : m_io(io)
    , m_settings(settings)
    , m_incarnation(selfIncarnation)
    , m_metrics(metrics)
    , m_localRuns(localRuns)
    , m_memory(memory)
    , m_reportSink(std::move(reports))
    , m_acceptor(io)
    , m_tickTimer(io)
    , m_peers(io, settings)
    , m_registry(state::attempt_limits{.maxKeptBytes = coordination::keptAnswerMemoryOf(settings.memoryMb)})
    , m_limiter(coordination::makeOrganisationLimiter(settings.maxOrganisations, selfIncarnation))
{
    for (const state::local_worker &worker : settings.workers) {
        addWorker(worker);
    }
}

served_worker &sidecar::addWorker(const state::local_worker &worker)
{
    served_worker &entry = m_workers[worker.id];
    entry.settings = worker;
    entry.outcomeTracker = coordination::makeWorkerOutcomeTracker();
    const state::time_point now = state::clock::now();
    const bool sinceFirstStart = m_settings.firstStart && now < m_startedAt + FirstWorkersTime;
    entry.repeatBudget
        = std::make_unique<coordination::repeat_budget>(now, sinceFirstStart ? coordination::earlier_repeats::none : coordination::earlier_repeats::possible);
    entry.client = std::make_unique<transport::worker_client>(worker.address, m_settings.headers);
    entry.guardName = "off";
    entry.guard = *coordination::makeFailureGuard(entry.guardName);
    entry.admissionTimer = std::make_shared<asio::steady_timer>(m_io);
    return entry;
}

absl::Status sidecar::listen()
{
    const tcp::endpoint endpoint(asio::ip::make_address(m_settings.listenAddress.ip), m_settings.listenAddress.port);
    boost::system::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    m_acceptor.bind(endpoint, error);
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return transport::makeSocketError(transport::transport_error::connect, error);
    }
    acceptLoop();
    m_nextTickAt = state::clock::now();
    tick();
    return absl::OkStatus();
}

void sidecar::acceptLoop()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (error == asio::error::operation_aborted) {
            return;
        }
        if (!error) {
            auto session = transport::node_session::create(std::move(socket), transport::session_role::server);
            session->start([this](const std::shared_ptr<transport::node_session> &from, transport::stream_id stream, std::string_view path) {
                std::shared_ptr<transport::stream_handler> handler;
                if (path == "/attempt") {
                    handler = std::make_shared<attempt_stream>(*this, from, stream, maxBodyBytes(), m_memory);
                } else if (path == "/control") {
                    handler = std::make_shared<control_stream>(*this, from, stream);
                }
                return handler;
            });
            std::erase_if(m_sessions, [](const auto &entry) { return entry.expired(); });
            m_sessions.push_back(session);
        }
        acceptLoop();
    });
}

void sidecar::tick()
{
    const state::time_point now = state::clock::now();
    m_metrics.observeLoopDelay(transport::event_loop::sidecar, std::chrono::duration_cast<std::chrono::microseconds>(now - m_nextTickAt));
    if (now - m_nextTickAt > PauseTolerance) {
        for (auto &[id, worker] : m_workers) {
            worker.outcomeTracker->recordPause(now);
        }
        m_metrics.incrementCounter("pauses_noticed");
    }
    if (now >= m_nextExpiryAt) {
        m_nextExpiryAt = now + ExpiryPeriod;
        m_registry.expire(now);
        m_peers.closeIdle(now);
    }
    m_metrics.setGauge("kept_answer_bytes", static_cast<double>(m_registry.keptBytes()));
    m_metrics.setGauge("attempt_records", static_cast<double>(m_registry.size()));
    if (now >= m_nextProbeAt) {
        m_nextProbeAt = now + ProbePeriod;
        probeWorkers();
    }
    removeUnlistedWorkers();
    for (auto &[id, worker] : m_workers) {
        updateDraining(worker);
        configureWorker(worker);
        logRepeatPartChange(worker, now);
    }
    publishReports();
    logOrganisationRuns(now);
    m_nextTickAt = now + TickPeriod;
    m_tickTimer.expires_at(m_nextTickAt);
    m_tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

// [SECTION] Workers

void sidecar::applySnapshot(coordination::fleet_snapshot_ptr snapshot)
{
    m_snapshot = std::move(snapshot);
    const bool wasLeaving = m_leaving;
    m_leaving = m_snapshot->leaving;
    syncDiscoveredWorkers();
    for (auto &[id, worker] : m_workers) {
        if (wasLeaving && !m_leaving) {
            worker.admissionName.clear(); // a drained policy is replaced once no attempt uses it
        }
        checkFirstStart(worker);
        configureWorker(worker);
    }
    if (m_leaving && !wasLeaving) {
        drainWorkers();
    }
}

// Adds the worker that the pool table lists at this node's service address, under the id of its row, and marks workers
// without such a row for removal.
void sidecar::syncDiscoveredWorkers()
{
    if (m_settings.discoveredWorkerPool.empty() || !m_snapshot->pools) {
        return;
    }
    std::set<std::string, std::less<>> present;
    for (const state::pool &pool : m_snapshot->pools->pools) {
        for (const state::pool_worker &row : pool.workers) {
            if (row.address != m_settings.discoveredWorkerAddress || row.node != m_settings.advertiseAddress) {
                continue;
            }
            present.insert(row.id);
            served_worker *known = findWorker(row.id);
            if (known == nullptr) {
                known = &addWorker({row.id, pool.name, row.address, {}});
            }
            known->unlisted = false;
            beginLifetime(*known, row.startedAtMs);
            known->listedLeaving = row.leaving;
            updateDraining(*known);
        }
    }
    for (auto &[id, worker] : m_workers) {
        if (!present.contains(id)) {
            worker.unlisted = true;
            worker.listedLeaving = true;
            updateDraining(worker);
        }
    }
}

void sidecar::checkFirstStart(served_worker &worker)
{
    constexpr std::uint64_t FirstWorkersMs = std::chrono::milliseconds(FirstWorkersTime).count();
    if (worker.lifetime != 0 && worker.lifetime + FirstWorkersMs < m_incarnation) { // both are times of this VM's clock
        worker.repeatBudget->expectEarlierRepeats();
    }
}

void sidecar::removeUnlistedWorkers()
{
    std::erase_if(m_workers, [this](const auto &entry) {
        const served_worker &worker = entry.second;
        const bool used
            = std::any_of(m_attempts.begin(), m_attempts.end(), [&](const auto &attempt) { return attempt.second.stream->head().worker == entry.first; });
        const bool removable = worker.unlisted && !used && worker.runningProbes == 0;
        if (removable) {
            m_localRuns.access([&](coordination::local_runs &runs) { runs.forgetWorker(entry.first); });
        }
        return removable;
    });
}

void sidecar::configureWorker(served_worker &worker)
{
    const state::pool *pool = m_snapshot && m_snapshot->pools ? state::findPool(*m_snapshot->pools, worker.settings.pool) : nullptr;
    if (pool == nullptr) {
        return;
    }
    worker.retryAllowance = pool->retryAllowance;
    worker.repeatBudget->recordWorkers(static_cast<std::uint32_t>(pool->workers.size()), state::clock::now());
    const auto row = std::find_if(pool->workers.begin(), pool->workers.end(), [&](const state::pool_worker &entry) { return entry.id == worker.settings.id; });
    const std::uint32_t slots = row != pool->workers.end() && row->slots != 0 ? row->slots : pool->slots;
    if (worker.guardName != pool->guard) {
        // The table check accepts known names only; a name refused here keeps the guard in use.
        if (auto guard = coordination::makeFailureGuard(pool->guard); guard.ok()) {
            worker.guard = *std::move(guard);
            worker.guardName = pool->guard;
        }
    }
    const state::time_point now = state::clock::now();
    const coordination::admission_load load = worker.admission ? worker.admission->load(now) : coordination::admission_load{};
    const bool idle = load.busy == 0 && load.queued == 0;
    const bool shouldRestart = worker.admission && idle && !worker.draining && load.slots == 0;
    if (!worker.admission || (worker.admissionName != pool->admission && idle) || shouldRestart) {
        const std::uint64_t seed = XXH3_64bits_withSeed(worker.settings.id.data(), worker.settings.id.size(), m_incarnation);
        auto policy = coordination::makeAdmissionPolicy(pool->admission, {slots, m_settings.maxQueuedPerWorker}, seed);
        if (!policy.ok()) {
            return; // the table check accepts known names only; a name refused here keeps the policy in use
        }
        worker.admission = *std::move(policy);
        worker.admissionName = pool->admission;
        worker.slots = slots;
        if (refusesWork(worker)) {
            applyActions(worker, worker.admission->drain(now));
        }
    } else if (worker.slots != slots) {
        worker.slots = slots;
        applyActions(worker, worker.admission->setSlots(slots, now));
    }
}

void sidecar::updateDraining(served_worker &worker)
{
    const bool draining = worker.listedLeaving || worker.probedLeaving || statesLeaving(worker);
    if (std::exchange(worker.draining, draining) == draining) {
        return;
    }
    transport::logEvent(transport::event::worker_draining, {{"worker", worker.settings.id}, {"draining", draining ? "yes" : "no"}});
    if (draining && worker.admission) {
        applyActions(worker, worker.admission->drain(state::clock::now()));
    } else if (!draining) {
        worker.admissionName.clear(); // a drained policy is replaced once no attempt uses it
    }
    publishReports();
}

served_worker *sidecar::findWorker(std::string_view id)
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

void sidecar::probeWorkers()
{
    const state::time_point now = state::clock::now();
    for (auto &[id, worker] : m_workers) {
        if (!worker.settings.healthPath.empty() && mayProbe(worker, now)) {
            asio::co_spawn(m_io, probe(worker), asio::detached);
        }
    }
}

// Probes take their part of a rate limit: the worker counts them like any other request.
bool sidecar::mayProbe(const served_worker &worker, state::time_point now) const
{
    const coordination::rate_gate *gate = worker.limit.gate();
    return gate == nullptr || (gate->room(now) > 0 && now >= worker.lastProbeAt + gate->interval() * ProbeShareOfLimit);
}

asio::awaitable<void> sidecar::probe(served_worker &worker)
{
    transport::worker_request request;
    request.method = "GET";
    request.target = worker.settings.healthPath;
    request.headers = {{"Host", state::formatNodeAddress(worker.settings.address)}};
    request.deadline = state::clock::now() + ProbeTimeout;
    request.maxAnswerBytes = MaxProbeAnswerBytes;
    probe_sink sink;
    worker.lastProbeAt = state::clock::now();
    worker.limit.recordStart(worker.lastProbeAt);
    ++worker.runningProbes;
    const transport::worker_result result = co_await worker.client->run(request, sink, std::make_shared<transport::worker_call>());
    --worker.runningProbes;
    countFault(result);
    worker.outcomeTracker->recordProbe(result.outcome == transport::worker_call_outcome::answered && sink.ok, state::clock::now());
    recordSignals(worker, sink.signals, false, worker.lastProbeAt);
    if (result.outcome == transport::worker_call_outcome::answered) {
        worker.probedLeaving = sink.draining;
        updateDraining(worker);
    }
}

// [SECTION] Shutdown

void sidecar::beginShutdown()
{
    m_stopping = true;
    drainWorkers();
}

void sidecar::drainWorkers()
{
    for (auto &[id, worker] : m_workers) {
        if (worker.admission) {
            applyActions(worker, worker.admission->drain(state::clock::now()));
        }
    }
    publishReports();
}

bool sidecar::refusesWork(const served_worker &worker) const
{
    return worker.draining || m_leaving || m_stopping;
}

std::size_t sidecar::maxBodyBytes() const
{
    const std::size_t stated = m_snapshot && m_snapshot->routes ? m_snapshot->routes->callers.maxBodyBytes : 0;
    return std::max(stated, m_settings.maxBodyBytes);
}

bool sidecar::isIdle() const
{
    return m_attempts.empty();
}

state::incarnation sidecar::incarnation() const
{
    return m_incarnation;
}

} // namespace dandelionstall
