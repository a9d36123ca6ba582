#include "config_service.h"

#include "key_values.h"
#include "query_text.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <fmt/format.h>

#include <utility>

namespace dandelionstall::standins {

using namespace asio::experimental::awaitable_operators;

namespace {

constexpr std::string_view ValuePrefix = "/v1/kv/";
constexpr std::string_view NodesPath = "/v1/catalog/nodes";
constexpr std::string_view SetPrefix = "/_set/";
constexpr std::string_view NodesKey = "_nodes";
constexpr std::chrono::minutes DefaultWait{5};
constexpr std::chrono::milliseconds MaxWait{600000};

// Parses durations such as "10s", "250ms" and "5m"; a number without a unit is in seconds. Returns DefaultWait when the
// text does not start with a positive number.
std::chrono::milliseconds parseWait(std::string_view text)
{
    const std::uint64_t number = leadingNumber(text);
    if (text.empty() || number == 0) {
        return DefaultWait;
    }
    if (text.ends_with("ms")) {
        return std::chrono::milliseconds(number);
    }
    return text.ends_with('m') ? std::chrono::milliseconds(std::chrono::minutes(number)) : std::chrono::milliseconds(std::chrono::seconds(number));
}

} // namespace

config_service::config_service(asio::io_context &io)
    : m_io(io)
    , m_changed(io, asio::steady_timer::time_point::max())
{
    set(std::string(NodesKey), "[]");
}

void config_service::set(const std::string &key, std::string value)
{
    const stored_value next{std::move(value), ++m_index};
    const auto [entry, added] = m_values.try_emplace(key, value_history{next, next});
    if (!added) {
        entry->second.before = std::exchange(entry->second.last, next);
    }
    m_changed.cancel();
}

asio::awaitable<http_reply> config_service::answer(const http_request &request, tcp::socket &peer)
{
    const std::string target(request.target());
    const bool put = request.method() == http::verb::put;
    if (put && target.starts_with(SetPrefix)) {
        set(target.substr(SetPrefix.size()), request.body());
        co_return makeReply(http::status::ok, "true\n");
    }
    if (put && target == "/_nodes") {
        set(std::string(NodesKey), request.body());
        co_return makeReply(http::status::ok, "true\n");
    }
    if (put && target == "/_fault") {
        co_return setFaults(request.body());
    }
    if (target == "/_calls") {
        co_return describeCalls();
    }
    if (target.starts_with(ValuePrefix) || target.starts_with(NodesPath)) {
        co_return co_await readWithFaults(parseQuery(target), peer);
    }
    co_return makeReply(http::status::not_found, "no such path\n");
}

asio::awaitable<http_reply> config_service::readWithFaults(read_query query, tcp::socket &peer)
{
    ++m_calls[query.key];
    if (m_faults.silent) {
        co_await awaitPeerClosed(peer);
        co_return makeDropped();
    }
    if (m_faults.absent == "close") {
        co_return makeDropped();
    }
    if (m_faults.absent == "error") {
        co_return makeReply(http::status::internal_server_error, "unavailable\n");
    }
    if (exceedsReadLimit()) {
        co_return makeReply(http::status::too_many_requests, "too many calls\n");
    }
    co_return co_await read(std::move(query), peer);
}

asio::awaitable<http_reply> config_service::read(read_query query, tcp::socket &peer)
{
    if (query.index > 0) {
        co_await (awaitChange(query.key, query.index) || pauseFor(query.wait) || awaitPeerClosed(peer));
    }
    const stored_value *found = find(query.key);
    http_reply reply = found != nullptr ? makeReply(http::status::ok, found->text, query.contentType) : makeReply(http::status::not_found, "");
    reply.message.set("X-Consul-Index", fmt::to_string(found != nullptr ? found->index : m_index));
    co_return reply;
}

asio::awaitable<void> config_service::awaitChange(std::string key, std::uint64_t index)
{
    const auto changed = [this, &key, index] {
        const stored_value *found = find(key);
        return found != nullptr && found->index > index;
    };
    while (!changed()) {
        boost::system::error_code ignored;
        co_await m_changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

const config_service::stored_value *config_service::find(const std::string &key) const
{
    const auto found = m_values.find(key);
    if (found == m_values.end()) {
        return nullptr;
    }
    return m_faults.stale ? &found->second.before : &found->second.last;
}

bool config_service::exceedsReadLimit()
{
    const state::time_point now = state::clock::now();
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_readsInSecond = 0;
    }
    return m_faults.limit > 0 && ++m_readsInSecond > m_faults.limit;
}

http_reply config_service::setFaults(const std::string &text)
{
    try {
        key_values values(text);
        config_faults faults;
        faults.absent = values.consume("absent", faults.absent);
        faults.stale = values.consumeFlag("stale");
        faults.silent = values.consumeFlag("silent");
        faults.limit = values.consume("limit", faults.limit);
        values.expectAllConsumed();
        m_faults = faults;
    } catch (const std::invalid_argument &error) {
        return makeReply(http::status::bad_request, std::string(error.what()) + "\n");
    }
    return makeReply(http::status::ok, "true\n");
}

http_reply config_service::describeCalls() const
{
    boost::json::object body;
    std::uint64_t total = 0;
    for (const auto &[key, count] : m_calls) {
        body[key] = count;
        total += count;
    }
    body["total"] = total;
    return makeReply(http::status::ok, boost::json::serialize(body), "application/json");
}

config_service::read_query config_service::parseQuery(std::string_view target)
{
    const std::size_t separator = target.find('?');
    const std::string_view path = target.substr(0, separator);
    const std::string_view parameters = separator == std::string_view::npos ? "" : target.substr(separator + 1);
    read_query query;
    query.index = leadingNumber(parameterOf(parameters, "index"));
    query.wait = std::min(parseWait(parameterOf(parameters, "wait")), MaxWait);
    if (path.starts_with(ValuePrefix)) {
        query.key = path.substr(ValuePrefix.size());
    } else {
        query.key = NodesKey;
        query.contentType = "application/json";
    }
    return query;
}

} // namespace dandelionstall::standins
