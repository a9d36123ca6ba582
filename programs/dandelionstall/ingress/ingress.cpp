// Connections of the ingress and its shutdown; ingress_access.cpp: what requests need, request_handler.cpp: one request.
#include "ingress.h"

#include "request_handler.h"

#include <dandelionstall/transport/errors.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>

#include <algorithm>

namespace dandelionstall {

namespace asio = boost::asio;
using asio::ip::tcp;
using coordination::refusal_reason;
using reuse_port = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

namespace {

constexpr auto SweepPeriod = std::chrono::seconds(1);
constexpr std::size_t MaxForwardedHeaderBytes = 131'072;      // an attempt carries the header in one frame, with some bytes more for each field
constexpr std::chrono::milliseconds MinMemoryRetryAfter{500}; // Retry-After of requests whose body has no room, and its spread
constexpr std::uint32_t MemoryRetrySpreadMs = 1000;
constexpr std::chrono::milliseconds LastIdleTimeout{1000};              // of connections that were accepted as the ingress stopped listening
constexpr auto CallerLimitRetryAfter = std::chrono::milliseconds(1000); // Retry-After of callers refused over the connection limit

} // namespace

ingress::ingress(asio::io_context &io,
                 const state::settings &settings,
                 std::uint64_t seed,
                 transport::metrics &counters,
                 shared_local_runs &localRuns,
                 shared_told_signals &told,
                 shared_rate_client &rates,
                 coordination::memory_budget &memory,
                 ingress_events events)
    : m_io(io)
    , m_settings(settings)
    , m_metrics(counters)
    , m_localRuns(localRuns)
    , m_told(told)
    , m_rates(rates)
    , m_memory(memory)
    , m_events(std::move(events))
    , m_acceptor(io)
    , m_sweepTimer(io)
    , m_random(seed)
    , m_attemptOrigin(m_random())
    , m_peers(io, settings)
{ }

// [SECTION] Connections

absl::Status ingress::listen()
{
    const tcp::endpoint endpoint(asio::ip::make_address(m_settings.callersAddress.ip), m_settings.callersAddress.port);
    boost::system::error_code error;
    m_acceptor.open(endpoint.protocol(), error);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (m_settings.ingressThreads > 1) {
        m_acceptor.set_option(reuse_port(true), error);
    }
    m_acceptor.bind(endpoint, error);
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return transport::makeSocketError(transport::transport_error::connect, error);
    }
    acceptLoop();
    sweep();
    return absl::OkStatus();
}

void ingress::acceptLoop()
{
    m_acceptor.async_accept([this](const boost::system::error_code &error, tcp::socket socket) {
        if (!error) {
            startConnection(std::move(socket)); // also if stopListening() has closed the acceptor since
        }
        if (m_acceptor.is_open()) {
            acceptLoop();
        }
    });
}

void ingress::startConnection(tcp::socket socket)
{
    auto connection = std::make_shared<caller_connection>(boost::beast::tcp_stream(std::move(socket)), m_memory);
    m_connections.insert(connection);
    asio::co_spawn(m_io, serve(connection), asio::detached);
}

// Callers whose connections wait here have sent their requests; close() would reset them.
void ingress::acceptWaiting()
{
    boost::system::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_io);
        m_acceptor.accept(socket, error);
        if (!error) {
            startConnection(std::move(socket));
        }
    }
}

void ingress::sweep()
{
    m_peers.closeIdle(state::clock::now());
    m_pathBackoff.expireEntries(state::clock::now());
    m_metrics.setGauge("caller_connections", static_cast<double>(m_connections.size()));
    m_metrics.setGauge("peer_links", static_cast<double>(m_peers.size()));
    m_metrics.setGauge("held_body_bytes", static_cast<double>(m_memory.usedBytes()));
    logOrganisationUse(state::clock::now());
    m_sweepTimer.expires_after(SweepPeriod);
    m_sweepTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            const auto delay = std::chrono::duration_cast<std::chrono::microseconds>(state::clock::now() - m_sweepTimer.expiry());
            m_metrics.observeLoopDelay(transport::event_loop::ingress, delay);
            sweep();
        }
    });
}

asio::awaitable<void> ingress::serve(std::shared_ptr<caller_connection> connection)
{
    if (m_connections.size() > m_settings.maxCallers) {
        connection->closeAfterAnswer();
        m_metrics.countRefusal(refusal_reason::caller_limit);
        co_await connection->sendRefusal({refusal_reason::caller_limit, coordination::run_state::not_run, CallerLimitRetryAfter});
        connection->shutdown();
        m_connections.erase(connection);
        co_return;
    }
    bool keepOpen = true;
    while (keepOpen) {
        caller_request request;
        const read_result result = co_await connection->read(readLimits(), request);
        if (result != read_result::request) {
            request.memory.resize(0); // the part of the body that was read is gone
            if (co_await refuseUnreadable(*connection, request, result)) {
                connection->shutdown();
                co_await connection->drainInput();
            }
            break;
        }
        if (m_stopping) {
            connection->closeAfterAnswer();
        }
        keepOpen = co_await handleRequest(*connection, request) && !connection->closesAfterAnswer();
    }
    connection->shutdown();
    m_connections.erase(connection);
}

// Limits stated in the route table override those of the settings.
read_limits ingress::readLimits() const
{
    read_limits limits{m_settings.maxHeaderBytes,
                       m_settings.maxBodyBytes,
                       m_settings.idleTimeout,
                       m_settings.headerTimeout,
                       m_settings.headers.timeLeft,
                       m_settings.retryAfterFractions};
    if (m_snapshot && m_snapshot->routes) {
        const state::caller_limits &tableLimits = m_snapshot->routes->callers;
        limits.maxHeaderBytes = tableLimits.maxHeaderBytes > 0 ? tableLimits.maxHeaderBytes : limits.maxHeaderBytes;
        limits.maxBodyBytes = tableLimits.maxBodyBytes > 0 ? tableLimits.maxBodyBytes : limits.maxBodyBytes;
        limits.headerTimeout = tableLimits.headerTimeout.count() > 0 ? tableLimits.headerTimeout : limits.headerTimeout;
        limits.idleTimeout = tableLimits.idleTimeout.count() > 0 ? tableLimits.idleTimeout : limits.idleTimeout;
    }
    limits.maxHeaderBytes = std::min(limits.maxHeaderBytes, MaxForwardedHeaderBytes);
    if (!m_acceptor.is_open()) {
        limits.idleTimeout = std::min(limits.idleTimeout, LastIdleTimeout);
    }
    return limits;
}

asio::awaitable<bool> ingress::refuseUnreadable(caller_connection &connection, const caller_request &request, read_result result)
{
    if (result == read_result::disconnected) {
        co_return false;
    }
    protocol::caller_refusal refusal{refusal_reason::bad_request, coordination::run_state::not_run, std::chrono::milliseconds(0)};
    if (result == read_result::too_large) {
        refusal.reason = refusal_reason::body_too_large;
    } else if (result == read_result::stopping) {
        refusal.reason = refusal_reason::draining;
        refusal.retryAfter = StoppingRetryAfter;
    } else if (result == read_result::no_memory) {
        refusal.reason = refusal_reason::memory_full;
        refusal.retryAfter = MinMemoryRetryAfter + std::chrono::milliseconds(m_random(MemoryRetrySpreadMs));
    }
    m_metrics.countRefusal(refusal.reason);
    transport::logEvent(transport::event::request_refused,
                        {{"request", std::string(protocol::findHeader(request.headers, m_settings.headers.requestId))},
                         {"status", std::to_string(protocol::httpStatusOf(refusal))},
                         {"reason", std::string(coordination::reasonName(refusal.reason))},
                         {"run", std::string(coordination::runStateName(refusal.run))},
                         {"retry_after_ms", std::to_string(refusal.retryAfter.count())},
                         {"body_bytes", std::string(protocol::findHeader(request.headers, "Content-Length"))},
                         {"held_body_bytes", std::to_string(m_memory.usedBytes())}});
    connection.closeAfterAnswer();
    co_return co_await connection.sendRefusal(refusal);
}

asio::awaitable<bool> ingress::handleRequest(caller_connection &connection, caller_request &request)
{
    request_handler handler(*this, connection, request);
    m_handlers.insert(&handler);
    const bool proceed = co_await handler.run();
    m_handlers.erase(&handler);
    co_return proceed;
}

// [SECTION] Shutdown

void ingress::beginShutdown(state::time_point answersBy, state::time_point lateFrom)
{
    m_stopping = true;
    m_answersBy = answersBy;
    m_lateFrom = lateFrom;
    for (const auto &connection : m_connections) {
        connection->closeAfterAnswer();
    }
}

void ingress::withdrawWaiting()
{
    for (request_handler *handler : m_handlers) {
        handler->withdraw();
    }
    for (const auto &connection : m_connections) {
        connection->cancelBodyRead();
    }
}

state::time_point ingress::answersBy() const
{
    return m_answersBy;
}

bool ingress::isTooLate(state::time_point deadline) const
{
    return state::clock::now() >= m_lateFrom && deadline > m_answersBy;
}

void ingress::stopListening()
{
    for (const auto &connection : m_connections) {
        connection->cancelIdleRead();
    }
    acceptWaiting();
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
}

bool ingress::isIdle() const
{
    return m_connections.empty();
}

std::size_t ingress::busyConnections() const
{
    return static_cast<std::size_t>(std::count_if(m_connections.begin(), m_connections.end(), [](const auto &connection) { return !connection->isIdle(); }));
}

} // namespace dandelionstall
