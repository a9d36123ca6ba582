#include "worker_service.h"

#include "answer_body.h"
#include "run_log.h"

#include <dandelionstall/state/types.h>

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <fmt/format.h>

#include <cstdio>
#include <sstream>

namespace dandelionstall::standins {

using namespace asio::experimental::awaitable_operators;

namespace {

constexpr std::chrono::milliseconds NoDeadline{24 * 60 * 60 * 1000};

void logLine(std::string_view kind, std::string_view requestId, std::string_view detail)
{
    fmt::print("{} {} {} {}\n", kind, requestId, detail, steadyNow().count());
    std::fflush(stdout);
}

void logArrival(const std::string &requestId, std::string_view path, const std::string &timeLeft)
{
    fmt::print("arrival {} {} {} {}\n", requestId, path, steadyNow().count(), timeLeft);
    std::fflush(stdout);
}

void logHeaders(const std::string &requestId, const http_request &request)
{
    for (const auto &field : request) {
        fmt::print("header {} {} {} {}\n", requestId, std::string(field.name_string()), steadyNow().count(), std::string(field.value()));
    }
    std::fflush(stdout);
}

} // namespace

worker_service::worker_service(asio::io_context &io, const worker_options &options)
    : m_options(options)
    , m_slots(io, options.slots)
    , m_calls(io, options.calls, options.name)
    , m_random(options.seed)
{
    logLine("states", "none", "rate_limit"); // an earlier process may have stated something
    logLine("states", "none", "leaving");
}

asio::awaitable<http_reply> worker_service::answer(const http_request &request, tcp::socket &peer)
{
    if (request.target() == "/_fault") {
        co_return setFaults(request.body());
    }
    logArrival(requestIdOf(request), std::string_view(request.target()), headerOf(request, m_options.timeLeftHeader));
    if (m_options.logsHeaders) {
        logHeaders(requestIdOf(request), request);
    }
    const std::string intendedWorker = m_options.identityHeader.empty() ? std::string() : headerOf(request, m_options.identityHeader);
    http_reply reply;
    if (!intendedWorker.empty() && intendedWorker != m_options.name) {
        reply = makeReply(http::status::misdirected_request, "another worker is meant\n");
    } else if (request.target() == "/healthz") {
        reply = describeHealth();
    } else if (request.target() == "/load") {
        reply = describeLoad();
    } else {
        reply = co_await processRequest(request, peer);
    }
    reply.message.set("X-Worker", m_options.name);
    if (!m_options.echoHeader.empty()) {
        reply.message.set(m_options.echoHeader, headerOf(request, m_options.echoHeader));
    }
    if (!m_options.sealHeader.empty()) {
        reply.message.set(m_options.sealHeader, m_options.name);
    }
    if (faultsNow().draining) {
        reply.message.set("X-Worker-State", "draining");
    }
    addStatements(reply.message);
    applyEndlessFault(request, reply);
    co_return reply;
}

asio::awaitable<http_reply> worker_service::processRequest(const http_request &request, tcp::socket &peer)
{
    const bool isFull = m_options.maxWaiting > 0 && m_slots.waiting() >= m_options.maxWaiting;
    if (isFull || draw(faultsNow().shed)) {
        http_reply refusal = makeReply(http::status::service_unavailable, "shedding load\n");
        refusal.message.set(m_options.notRunHeader, "not-run");
        co_return refusal;
    }
    std::string outcome;
    {
        auto lease = co_await (m_slots.acquire() || awaitPeerClosed(peer));
        if (lease.index() == 1 || !std::get<0>(lease).ownsSlot()) {
            co_return makeDropped();
        }
        outcome = co_await run(request, peer);
    }
    if (outcome == "cancelled") {
        co_return makeDropped();
    }
    if (outcome == "deadline") {
        co_return makeReply(http::status::gateway_timeout, "deadline passed\n");
    }
    if (outcome == "call_failed") {
        co_return makeReply(http::status::internal_server_error, "a call failed\n");
    }
    const std::string id = requestIdOf(request);
    const std::size_t bytes = headerNumber(request, "X-Test-Bytes", m_options.defaultBytes);
    co_return co_await applyAnswerFaults(id, makeReply(http::status::ok, makeAnswerBody(id, bytes)));
}

// Runs the request in the slot that the calling function has acquired. Returns the outcome as it is written to the log.
asio::awaitable<std::string> worker_service::run(const http_request &request, tcp::socket &peer)
{
    const std::string id = requestIdOf(request);
    const std::string idempotent = headerOf(request, "X-Test-Idempotent");
    logLine("start", id, idempotent.empty() ? "yes" : idempotent);
    const worker_faults faults = faultsNow();
    const std::chrono::milliseconds allowed(headerNumber(request, m_options.timeLeftHeader, NoDeadline.count()));
    std::chrono::milliseconds cost = runTime(faults, std::chrono::milliseconds(headerNumber(request, "X-Test-Cost-Ms", 0)), state::clock::now());
    if (draw(faults.hang)) {
        cost = NoDeadline;
    }
    std::string outcome = cost > allowed ? "deadline" : "answered";
    if (cost.count() > 0) {
        const auto ended = co_await (pauseFor(std::min(cost, allowed)) || awaitAbort(peer));
        if (ended.index() == 1) {
            outcome = "cancelled";
        }
    }
    const auto calls = static_cast<std::uint32_t>(headerNumber(request, "X-Test-Calls", m_options.calls.count));
    if (outcome == "answered" && !co_await m_calls.makeCalls(id, calls, allowed - cost)) {
        outcome = "call_failed";
    }
    logLine("end", id, outcome);
    co_return outcome;
}

// Applies the faults that affect the answer of a completed run.
asio::awaitable<http_reply> worker_service::applyAnswerFaults(std::string id, http_reply reply)
{
    const worker_faults faults = faultsNow();
    if (faults.late.count() > 0) {
        co_await pauseFor(faults.late);
    }
    if (draw(faults.fail) || draw(m_options.errorShare)) {
        co_return makeReply(http::status::internal_server_error, "failed " + id + "\n");
    }
    if (draw(faults.reset)) {
        reply.how = delivery::reset;
    } else if (draw(faults.truncate)) {
        reply.how = delivery::truncated;
    }
    co_return reply;
}

void worker_service::addStatements(http_response &message) const
{
    const worker_faults faults = faultsNow();
    std::istringstream rates(faults.rateLimit);
    for (std::string rate; std::getline(rates, rate, '|');) {
        message.insert(m_options.rateLimitHeader, rate);
    }
    if (!faults.leaving.empty()) {
        message.set(m_options.leavingHeader, faults.leaving);
    }
}

void worker_service::applyEndlessFault(const http_request &request, http_reply &reply)
{
    const worker_faults faults = faultsNow();
    const bool isHealth = request.target() == "/healthz";
    if (faults.endless.empty() || (isHealth ? !faults.endlessHealth : !draw(faults.endlessShare))) {
        return;
    }
    makeEndless(reply, faults.endless, m_options.echoHeader);
}

http_reply worker_service::setFaults(const std::string &text)
{
    const worker_faults before = m_faults;
    try {
        m_faults = parseWorkerFaults(text, state::clock::now());
    } catch (const std::invalid_argument &error) {
        return makeReply(http::status::bad_request, std::string(error.what()) + "\n");
    }
    if (m_faults.rateLimit != before.rateLimit) {
        logLine("states", m_faults.rateLimit.empty() ? "none" : m_faults.rateLimit, "rate_limit");
    }
    if (m_faults.leaving != before.leaving) {
        logLine("states", m_faults.leaving.empty() ? "none" : m_faults.leaving, "leaving");
    }
    if (m_faults.draining) {
        logLine("draining", m_options.name, "yes");
    }
    return makeReply(http::status::ok, "true\n");
}

http_reply worker_service::describeHealth() const
{
    const worker_faults faults = faultsNow();
    if (faults.health == "sick") {
        return makeReply(http::status::service_unavailable, R"({"status":"sick"})", "application/json");
    }
    const bool draining = faults.draining && faults.health == "honest";
    return makeReply(http::status::ok, draining ? R"({"status":"draining"})" : R"({"status":"ok"})", "application/json");
}

http_reply worker_service::describeLoad() const
{
    const worker_faults faults = faultsNow();
    std::uint64_t busy = m_slots.busy();
    if (faults.load != "honest") {
        busy = faults.load == "idle" ? 0 : m_options.slots;
    }
    const std::string body = fmt::format(R"({{"slots":{},"busy":{},"queued":{}}})", m_options.slots, busy, m_slots.waiting());
    return makeReply(http::status::ok, body, "application/json");
}

worker_faults worker_service::faultsNow() const
{
    return faultsAt(m_faults, state::clock::now());
}

std::string worker_service::requestIdOf(const http_request &request) const
{
    std::string id = headerOf(request, m_options.idHeader);
    return id.empty() ? "-" : id;
}

asio::awaitable<void> worker_service::awaitAbort(tcp::socket &peer)
{
    return draw(m_options.stayShare) ? pauseFor(NoDeadline) : awaitPeerClosed(peer);
}

bool worker_service::draw(double share)
{
    return share > 0 && std::uniform_real_distribution<double>(0, 1)(m_random) < share;
}

} // namespace dandelionstall::standins
