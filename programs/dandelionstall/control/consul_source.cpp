#include "consul_source.h"

#include <dandelionstall/protocol/consul_api.h>

#include <boost/asio.hpp>

namespace dandelionstall {

namespace asio = boost::asio;
using coordination::table_kind;

namespace {

constexpr std::chrono::seconds PartDeadline{5};           // deadline for reading one part of a split table
constexpr std::chrono::milliseconds AnswerTime{500};      // longest time from a query to its answer, beside its wait, while the service works
constexpr std::size_t LongListBytes = 32'768;             // a VM list above this size is read completely only at FullListInterval
constexpr std::chrono::minutes FullListInterval{10};      // interval between two complete reads of a long list
constexpr std::chrono::milliseconds VmListInterval{1000}; // minimum interval between two reads of the VM list

watch_options watchKey(table_kind kind, const std::string &key)
{
    return {std::string(tableKindName(kind)), [key](std::uint64_t index, std::chrono::seconds wait) { return protocol::tableTarget(key, index, wait); }, {}};
}

} // namespace

consul_source::consul_source(
    asio::io_context &io, const state::settings &settings, transport::metrics &metrics, transport::source_events events, std::uint64_t seed)
    : m_metrics(metrics)
    , m_events(std::move(events))
    , m_tablesClient(settings.configService, settings.listenAddress.ip)
    , m_vmClient(settings.vmList.port != 0 ? settings.vmList : settings.configService, settings.listenAddress.ip)
    , m_routesWatch(io, m_tablesClient, metrics, watchKey(table_kind::routes, settings.routesKey), seed)
    , m_poolsWatch(io, m_tablesClient, metrics, watchKey(table_kind::pools, settings.poolsKey), seed + 1)
    , m_vmWatch(io, m_vmClient, metrics, {"vm_list", [this](auto index, auto wait) { return selectVmTarget(index, wait); }, VmListInterval}, seed + 2)
{ }

void consul_source::start()
{
    m_routesWatch.start(tableHandler(table_kind::routes));
    m_poolsWatch.start(tableHandler(table_kind::pools));
    m_vmWatch.start([this](transport::platform_answer answer) { return handleVmList(std::move(answer.body)); });
}

void consul_source::setRole(coordination::reader_role role, bool needsVmList)
{
    const bool reads = role != coordination::reader_role::none;
    m_routesWatch.setActive(reads);
    m_poolsWatch.setActive(reads);
    m_vmWatch.setActive(reads || needsVmList);
}

std::chrono::milliseconds consul_source::readGap() const
{
    return QueryWait + AnswerTime;
}

platform_watch::answer_handler consul_source::tableHandler(table_kind kind)
{
    return [this, kind](transport::platform_answer answer) {
        return handleTable(kind, std::move(answer.body));
    };
}

asio::awaitable<bool> consul_source::handleTable(table_kind kind, std::string text)
{
    m_events.readSucceeded();
    if (text.empty()) { // the value has not changed
        co_return true;
    }
    if (!protocol::isManifest(text)) {
        m_events.tableReceived(kind, std::move(text));
        co_return true;
    }
    absl::StatusOr<std::string> joined = co_await joinParts(std::move(text));
    if (!joined.ok()) {
        m_events.tableInvalid(kind, joined.status());
        co_return false;
    }
    m_events.tableReceived(kind, *std::move(joined));
    co_return true;
}

asio::awaitable<absl::StatusOr<std::string>> consul_source::joinParts(std::string manifestText)
{
    const absl::StatusOr<protocol::manifest> manifest = protocol::parseManifest(manifestText);
    if (!manifest.ok()) {
        co_return manifest.status();
    }
    std::string joined;
    for (const protocol::manifest_part &part : manifest->parts) {
        m_metrics.incrementCounter("platform_calls");
        std::string target = protocol::tableTarget(part.key, 0, std::chrono::seconds(0));
        const absl::StatusOr<transport::platform_answer> answer = co_await m_tablesClient.get(std::move(target), state::clock::now() + PartDeadline);
        if (!answer.ok()) {
            co_return answer.status();
        }
        if (const absl::Status matches = protocol::checkPart(part, answer->body); !matches.ok()) {
            co_return matches;
        }
        joined += answer->body;
    }
    co_return joined;
}

std::string consul_source::selectVmTarget(std::uint64_t index, std::chrono::seconds wait)
{
    m_leavingOnly = m_vmListBytes > LongListBytes && state::clock::now() < m_nextFullListAt;
    return m_leavingOnly ? protocol::leavingVmsTarget(index, wait) : protocol::vmListTarget(index, wait);
}

asio::awaitable<bool> consul_source::handleVmList(std::string json)
{
    m_events.readSucceeded();
    if (json.empty()) { // the value has not changed
        co_return true;
    }
    absl::StatusOr<std::vector<coordination::vm_record>> vms = protocol::parseVmList(json);
    if (!vms.ok()) {
        co_return false;
    }
    if (m_leavingOnly) {
        m_events.leavingVmsReceived(*std::move(vms));
        co_return true;
    }
    m_vmListBytes = json.size();
    m_nextFullListAt = state::clock::now() + FullListInterval;
    m_events.vmListReceived(*std::move(vms));
    co_return true;
}

} // namespace dandelionstall
