#include "key_value_source.h"

#include <dandelionstall/state/text.h>
#include <dandelionstall/transport/errors.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace dandelionstall {

namespace asio = boost::asio;
using coordination::reader_role;
using coordination::table_kind;
using protocol::read_freshness;
using transport::event;
using transport::logEvent;

namespace {

constexpr std::chrono::milliseconds ReadDeadline{1500}; // deadline for reading one page
constexpr std::chrono::milliseconds ProbeDeadline{1000};
constexpr std::chrono::milliseconds ProbeInterval{1000}; // between two probes while this node has no other role
constexpr std::chrono::milliseconds SecondaryWait{2000}; // maximum time that the store blocks a watch without changes, of the secondary reader
constexpr std::chrono::milliseconds PrimaryCadence{900}; // the primary has an answer at least this often
constexpr std::chrono::milliseconds MinWait{50};
constexpr std::chrono::milliseconds WatchGrace{800};     // added to the wait to form the deadline of a watch
constexpr std::chrono::milliseconds WatchInterval{500};  // minimum interval between the starts of two watches
constexpr std::chrono::milliseconds AnswerTime{200};     // longest time from a call to its answer, beside the wait of a watch, while the store works
constexpr std::chrono::milliseconds InitialBackoff{100}; // base of the exponential backoff
constexpr std::chrono::milliseconds MaxBackoff{1000};
constexpr std::uint32_t MaxDoublings = 4;
constexpr std::uint32_t StatusOk = 200;
constexpr std::uint32_t StatusHistoryLost = 410; // the store has compacted the history that a watch needs

} // namespace

key_value_source::key_value_source(asio::io_context &io,
                                   const state::settings &settings,
                                   std::unique_ptr<protocol::store_dialect> dialect,
                                   transport::metrics &metrics,
                                   transport::source_events events,
                                   std::uint64_t seed)
    : m_client(settings.configService, settings.listenAddress.ip)
    , m_dialect(std::move(dialect))
    , m_metrics(metrics)
    , m_events(std::move(events))
    , m_timer(io)
    , m_random(seed)
{ }

void key_value_source::start()
{
    asio::co_spawn(m_timer.get_executor(), run(), asio::detached);
}

void key_value_source::setRole(reader_role role, bool needsWorkers)
{
    const bool changed = m_role != role || (needsWorkers && !m_needsWorkers);
    m_role = role;
    m_needsWorkers = needsWorkers;
    if (changed) {
        m_timer.cancel();
    }
}

std::chrono::milliseconds key_value_source::readGap() const
{
    return PrimaryCadence + AnswerTime;
}

std::chrono::milliseconds key_value_source::watchWait() const
{
    if (m_role != reader_role::primary) {
        return SecondaryWait;
    }
    return std::max(std::chrono::duration_cast<std::chrono::milliseconds>(m_answeredAt + PrimaryCadence - state::clock::now()), MinWait);
}

// [SECTION] Read and watch loop

asio::awaitable<void> key_value_source::run()
{
    while (true) {
        const state::time_point startedAt = state::clock::now();
        if (!coordination::reads(m_role)) {
            m_synced = false; // changes during this time are received from other nodes; a reader reads all items again
        }
        if (m_role == reader_role::none && !m_needsWorkers) {
            co_await pauseUntil(state::time_point::max());
            continue;
        }
        if (m_role == reader_role::probing && !m_needsWorkers) {
            co_await probe();
            co_await pauseUntil(startedAt + ProbeInterval);
            continue;
        }
        const bool done = m_synced ? co_await watchOnce() : co_await readAll();
        co_await pauseUntil(done ? startedAt + WatchInterval : state::clock::now() + nextBackoff());
    }
}

asio::awaitable<void> key_value_source::pauseUntil(state::time_point until)
{
    if (until > state::clock::now()) {
        m_timer.expires_at(until);
        co_await m_timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<bool> key_value_source::probe()
{
    const std::string prefix = m_dialect->configPrefix();
    const auto answer = co_await call(m_dialect->rangeTarget(prefix, prefix, read_freshness::recent), state::clock::now() + ProbeDeadline);
    co_return answer.ok();
}

asio::awaitable<bool> key_value_source::readAll()
{
    const read_freshness freshness = coordination::reads(m_role) ? read_freshness::latest : read_freshness::recent;
    std::uint64_t asOf = 0;
    const absl::StatusOr<std::vector<protocol::store_item>> workers = co_await readRange(m_dialect->workerPrefix(), freshness, asOf);
    const std::uint64_t era = m_era;
    if (!workers.ok()) {
        co_return false;
    }
    std::uint64_t configAsOf = 0;
    const absl::StatusOr<std::vector<protocol::store_item>> config = co_await readRange(m_dialect->configPrefix(), freshness, configAsOf);
    if (!config.ok() || m_era != era) {
        co_return false;
    }
    m_revision = std::min(asOf, configAsOf);
    m_synced = true;
    for (const protocol::store_item &item : *config) {
        if (item.key == m_dialect->configPrefix()) {
            handleConfig(item);
        }
    }
    handleWorkers(*workers, asOf);
    co_return true;
}

asio::awaitable<absl::StatusOr<std::vector<protocol::store_item>>>
key_value_source::readRange(std::string prefix, read_freshness freshness, std::uint64_t &asOf)
{
    std::vector<protocol::store_item> items;
    std::string after;
    std::optional<std::uint64_t> era;
    while (true) {
        const auto answer = co_await call(m_dialect->rangeTarget(prefix, after, freshness), state::clock::now() + ReadDeadline);
        if (!answer.ok()) {
            co_return answer.status();
        }
        if (era.value_or(m_era) != m_era) {
            co_return transport::makeError(transport::transport_error::refused, "the store's era has changed between two pages");
        }
        era = m_era;
        absl::StatusOr<protocol::store_page> page = m_dialect->decodePage(answer->body);
        recordOutcome(page.status());
        if (!page.ok()) {
            co_return page.status();
        }
        asOf = asOf == 0 ? page->asOfRevision : std::min(asOf, page->asOfRevision); // pages are not one snapshot: the watch starts at the oldest revision
        const bool more = page->truncated && !page->items.empty();
        after = more ? page->items.back().key : std::string();
        std::move(page->items.begin(), page->items.end(), std::back_inserter(items));
        if (!more) {
            co_return items;
        }
    }
}

asio::awaitable<bool> key_value_source::watchOnce()
{
    const std::chrono::milliseconds wait = watchWait();
    const auto answer = co_await call(m_dialect->watchTarget(m_revision, wait), state::clock::now() + wait + WatchGrace);
    if (!answer.ok()) {
        m_synced = m_synced && !transport::isError(answer.status(), transport::transport_error::too_large); // pages are limited in size, changes are not
        co_return false;
    }
    if (answer->status == StatusHistoryLost) {
        m_synced = false;
        m_metrics.incrementCounter("platform_history_lost");
    }
    if (!m_synced) { // the answer may also be the first one of a new era
        co_return co_await readAll();
    }
    const absl::StatusOr<protocol::store_page> changes = m_dialect->decodeChanges(answer->body);
    recordOutcome(changes.status());
    if (!changes.ok()) {
        co_return false;
    }
    for (const protocol::store_item &item : changes->items) {
        handleChange(item);
    }
    m_revision = std::max(m_revision, changes->asOfRevision);
    m_events.workersReadUpTo({m_era, m_revision});
    co_return true;
}

asio::awaitable<absl::StatusOr<transport::platform_answer>> key_value_source::call(std::string target, state::time_point deadline)
{
    m_metrics.incrementCounter("platform_calls");
    absl::StatusOr<transport::platform_answer> answer = co_await m_client.getAnyStatus(target, deadline);
    if (answer.ok() && !followEra(*answer)) {
        answer = transport::makeError(transport::transport_error::refused, fmt::format("the answer to {} is not of the store's era {}", target, m_era));
    }
    if (answer.ok() && answer->status != StatusOk && answer->status != StatusHistoryLost) {
        answer = transport::makeError(transport::transport_error::refused, fmt::format("the store answered with status {} to {}", answer->status, target));
    }
    recordOutcome(answer.status());
    if (answer.ok()) {
        m_answeredAt = state::clock::now();
        m_events.readSucceeded();
    } else {
        m_events.readFailed();
    }
    co_return answer;
}

// [SECTION] Eras

bool key_value_source::followEra(const transport::platform_answer &answer)
{
    const absl::StatusOr<std::uint64_t> era = m_dialect->readEra(answer.headers);
    if (!era.ok() && m_era == 0) {
        return true; // no era is known that it could belie
    }
    if (!era.ok() || *era < m_era) {
        return false;
    }
    if (*era > m_era) {
        const coordination::store_revision before{m_era, m_revision};
        m_era = *era;
        m_synced = false;
        m_events.eraRaised(m_era, before);
    }
    return true;
}

// [SECTION] Items

void key_value_source::handleConfig(const protocol::store_item &item)
{
    const coordination::store_revision revision{m_era, item.revision};
    if (item.removed || revision <= m_configRevision) {
        return;
    }
    m_configRevision = revision;
    absl::StatusOr<protocol::store_tables> tables = m_dialect->decodeTables(item);
    if (!tables.ok()) {
        m_events.tableInvalid(table_kind::routes, tables.status());
        return;
    }
    m_events.tableReceived(table_kind::pools, std::move(tables->pools));
    m_events.tableReceived(table_kind::routes, std::move(tables->routes));
}

void key_value_source::handleWorkers(const std::vector<protocol::store_item> &items, std::uint64_t asOf)
{
    coordination::worker_list list;
    list.entries.reserve(items.size());
    const std::size_t prefixBytes = m_dialect->workerPrefix().size();
    std::map<std::string, std::string> earlierRefusals = std::exchange(m_lastRefusals, {}); // keys that are gone are forgotten
    for (const protocol::store_item &item : items) {
        m_lastRefusals.insert(earlierRefusals.extract(item.key));
        if (auto worker = readWorker(item); worker.ok()) {
            list.entries.push_back(*std::move(worker));
        } else {
            list.unreadable.push_back(item.key.substr(prefixBytes));
        }
    }
    m_events.workerListReceived(std::move(list), {m_era, asOf});
}

void key_value_source::handleChange(const protocol::store_item &item)
{
    if (item.key == m_dialect->configPrefix()) {
        handleConfig(item);
        return;
    }
    const std::string prefix = m_dialect->workerPrefix();
    if (!item.key.starts_with(prefix)) {
        return;
    }
    std::string id = item.key.substr(prefix.size());
    if (item.removed) {
        m_lastRefusals.erase(item.key);
        m_events.workerRemoved(std::move(id), {m_era, item.revision});
    } else if (auto worker = readWorker(item); worker.ok()) {
        m_events.workerUpdated(*std::move(worker));
    } else {
        m_events.workerUnreadable(std::move(id));
    }
}

absl::StatusOr<coordination::discovered_worker> key_value_source::readWorker(const protocol::store_item &item)
{
    absl::StatusOr<coordination::discovered_worker> worker = m_dialect->decodeWorker(item, state::clock::now());
    if (worker.ok()) {
        worker->revision.era = m_era;
        m_lastRefusals.erase(item.key);
        return worker;
    }
    std::string reason(state::messageOf(worker.status()));
    std::string &last = m_lastRefusals[item.key];
    if (last != reason) {
        m_events.entryRefused(item.key, reason);
        last = std::move(reason);
    }
    return worker;
}

// [SECTION] Failures

void key_value_source::recordOutcome(const absl::Status &status)
{
    if (status.ok()) {
        if (m_failures > 0) {
            logEvent(event::watch_recovered, {{"watch", "store"}, {"failures", fmt::to_string(m_failures)}});
        }
        m_failures = 0;
        return;
    }
    m_metrics.incrementCounter("platform_calls_failed");
    if (m_failures++ == 0) {
        logEvent(event::watch_failed, {{"watch", "store"}, {"reason", std::string(state::messageOf(status))}});
    }
}

std::chrono::milliseconds key_value_source::nextBackoff()
{
    const auto backoffLimit = std::min(MaxBackoff, InitialBackoff * (1U << std::min(m_failures, MaxDoublings)));
    const auto half = static_cast<std::uint32_t>(backoffLimit.count() / 2);
    return std::chrono::milliseconds(half + m_random(half + 1));
}

} // namespace dandelionstall
