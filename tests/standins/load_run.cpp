#include "load_run.h"

#include "answer_body.h"
#include "caller_connections.h"
#include "run_log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

namespace dandelionstall::standins {

namespace {

constexpr std::chrono::milliseconds AnswerGrace{2000}; // time that callers wait beyond the deadline

class load_runner
{
public:
    explicit load_runner(const load_profile &profile)
        : m_profile(profile)
        , m_connections(m_io, profile.source)
    { }

    std::vector<call_record> run()
    {
        const std::vector<planned_request> plan = planLoad(m_profile);
        asio::co_spawn(m_io, sendAll(plan), asio::detached);
        m_io.run();
        return std::move(m_records);
    }

private:
    asio::awaitable<void> sendAll(const std::vector<planned_request> &plan)
    {
        const state::time_point start = state::clock::now();
        asio::steady_timer timer(m_io);
        for (const planned_request &request : plan) {
            timer.expires_at(start + request.due);
            co_await timer.async_wait(asio::use_awaitable);
            asio::co_spawn(m_io, call(request, start + request.due), asio::detached);
        }
    }

    asio::awaitable<void> call(const planned_request &planned, state::time_point due)
    {
        const request_class &kind = m_profile.classes[planned.requestClass];
        if (m_inFlight >= m_profile.maxOpen) {
            recordOverload(planned, due);
            co_return;
        }
        ++m_inFlight;
        std::string ticket;
        std::size_t node = planned.node;
        for (std::uint32_t attempt = 0; attempt <= kind.retries; ++attempt) {
            call_record record = makeRecord(planned, due, node);
            const bool ready = !kind.ticket || !ticket.empty() || co_await fetchTicket(kind, record, ticket);
            if (ready) {
                co_await send(planned, ticket, node, record);
            }
            const bool settled = record.status != 0 && record.run != "unknown";
            m_records.push_back(std::move(record));
            if (settled) {
                break;
            }
            node = (node + 1) % m_profile.nodes.size();
        }
        co_await sendAgain(planned, due);
        --m_inFlight;
    }

    // The requests of a caller that does not wait: the same work with other ids, until one is served.
    asio::awaitable<void> sendAgain(planned_request again, state::time_point due)
    {
        const request_class &kind = m_profile.classes[again.requestClass];
        const std::string firstId = again.id;
        for (std::uint32_t i = 1; again.comesAgain && i <= kind.again && mayComeAgain(m_records.back()); ++i) {
            again.id = fmt::format("{}~{}", firstId, i);
            call_record record = makeRecord(again, due, again.node);
            co_await send(again, {}, again.node, record);
            m_records.push_back(std::move(record));
        }
    }

    static bool mayComeAgain(const call_record &last)
    {
        const bool isServed = last.status >= 200 && last.status < 300;
        return !isServed && last.reason != "left" && (last.idempotent || last.run == "not_run");
    }

    call_record makeRecord(const planned_request &planned, state::time_point due, std::size_t node) const
    {
        const request_class &kind = m_profile.classes[planned.requestClass];
        call_record record;
        record.id = planned.id;
        record.requestClass = kind.name;
        record.node = m_profile.nodes[node];
        record.idempotent = kind.idempotent;
        record.worth = kind.worth;
        record.due = std::chrono::duration_cast<std::chrono::microseconds>(due.time_since_epoch());
        record.sent = steadyNow();
        record.cost = planned.cost;
        record.deadline = kind.deadline;
        return record;
    }

    void recordOverload(const planned_request &planned, state::time_point due)
    {
        call_record record = makeRecord(planned, due, planned.node);
        record.answered = record.sent;
        record.reason = "caller_overload";
        record.run = "not_run";
        m_records.push_back(std::move(record));
    }

    asio::awaitable<bool> fetchTicket(const request_class &kind, call_record &record, std::string &ticket)
    {
        http_request request(http::verb::post, "/.dandelionstall/ticket", 11);
        request.set(http::field::host, kind.host);
        request.set("X-Ticket-Path", kind.path);
        request.set("X-Ticket-Method", kind.method);
        const exchange_result result = co_await m_connections.exchange(record.node, std::move(request), kind.deadline);
        record.answered = steadyNow();
        record.status = static_cast<std::uint32_t>(result.answer.result_int());
        const bool given = result.error.empty() && http::to_status_class(result.answer.result()) == http::status_class::successful;
        if (!given) {
            record.status = result.error.empty() ? record.status : 0;
            record.reason = "ticket_" + (result.error.empty() ? std::to_string(record.status) : result.error);
            record.run = "not_run"; // only the ticket request was sent
            co_return false;
        }
        ticket = boost::json::value_to<std::string>(boost::json::parse(result.answer.body()).at("ticket"));
        co_return true;
    }

    http_request makeRequest(const planned_request &planned, const std::string &ticket) const
    {
        const request_class &kind = m_profile.classes[planned.requestClass];
        http_request request(http::string_to_verb(kind.method), kind.path, 11);
        request.set(http::field::host, kind.host);
        request.set(m_profile.idHeader, planned.id);
        request.set("X-Organisation", planned.organisation);
        request.set(m_profile.timeLeftHeader, fmt::to_string(kind.deadline.count()));
        request.set("X-Test-Cost-Ms", fmt::to_string(planned.cost.count()));
        request.set("X-Test-Bytes", fmt::to_string(kind.bytes));
        request.set("X-Test-Idempotent", kind.idempotent ? "yes" : "no");
        if (planned.calls > 0) {
            request.set("X-Test-Calls", fmt::to_string(planned.calls));
        }
        if (!ticket.empty()) {
            request.set("Idempotency-Key", ticket);
        }
        return request;
    }

    asio::awaitable<void> send(const planned_request &planned, const std::string &ticket, std::size_t firstNode, call_record &record)
    {
        const request_class &kind = m_profile.classes[planned.requestClass];
        exchange_result result;
        for (std::size_t i = 0; i < m_profile.nodes.size(); ++i) {
            record.node = m_profile.nodes[(firstNode + i) % m_profile.nodes.size()];
            result = co_await m_connections.exchange(record.node, makeRequest(planned, ticket), planned.leaves ? kind.leaveAfter : kind.deadline + AnswerGrace);
            if (result.sent) {
                break;
            }
        }
        record.answered = steadyNow();
        if (planned.leaves && result.error == "timeout") {
            result.error = "left";
        }
        if (!result.error.empty()) {
            record.reason = result.error;
            record.run = result.sent ? "" : "not_run";
            co_return;
        }
        const http_response &answer = result.answer;
        record.status = answer.result_int();
        record.worker = answer["X-Worker"];
        record.reason = answer["X-Dandelionstall-Reason"];
        record.run = answer["X-Dandelionstall-Run"];
        record.retryAfter = answer.count(http::field::retry_after) > 0;
        record.statesLimit = answer.count("X-Worker-Rate-Limit") > 0;
        record.statesLeaving = answer.count("X-Worker-Leaving") > 0;
        if (record.status == 200) {
            record.body = verdictName(verifyAnswerBody(planned.id, kind.bytes, answer.body()));
        }
    }

    const load_profile &m_profile;
    asio::io_context m_io{1};
    caller_connections m_connections;
    std::vector<call_record> m_records;
    std::size_t m_inFlight = 0; // requests in flight
};

} // namespace

std::vector<call_record> runLoad(const load_profile &profile)
{
    return load_runner(profile).run();
}

} // namespace dandelionstall::standins
