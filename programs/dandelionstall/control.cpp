#include "control.h"

#include "control_watch.h"

#include <dandelionstall/protocol/platform.h>
#include <dandelionstall/state/text.h>
#include <dandelionstall/transport/events.h>

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <mutex>

namespace dandelionstall {

namespace asio = boost::asio;
using coordination::table_kind;
using transport::event;

namespace {

constexpr std::chrono::seconds PartDeadline{5}; // for one part of a split table

event eventOf(coordination::offer_verdict verdict)
{
    switch (verdict) {
    case coordination::offer_verdict::held:
        return event::config_held;
    case coordination::offer_verdict::stale:
        return event::config_stale;
    case coordination::offer_verdict::conflict:
        return event::config_conflict;
    case coordination::offer_verdict::broken:
        return event::config_refused;
    default:
        return event::config_accepted;
    }
}

} // namespace

class control::detail
{
public:
    detail(asio::io_context &io, const state::settings &settings, state::incarnation own, transport::metrics &metrics);

    void subscribe(subscriber handler);
    void start();
    void post(std::function<void()> task); // runs it on the control thread
    void beginShutdown();
    control_description describe() const;
    coordination::snapshot_ptr current() const;

private:
    control_watch::answer_handler tableHandler(table_kind kind);
    asio::awaitable<void> takeTable(table_kind kind, std::string text);
    asio::awaitable<absl::StatusOr<std::string>> joinParts(std::string manifestText);
    void offer(table_kind kind, std::string text, std::string_view source);
    void noteRefusal(table_kind kind, coordination::offer_verdict verdict, const absl::Status &reason);
    void publish();

    asio::io_context &m_io;
    state::settings m_settings;
    state::incarnation m_own;
    transport::metrics &m_metrics;
    transport::platform_client m_client;
    control_watch m_routesWatch;
    control_watch m_poolsWatch;
    coordination::config_store m_store;
    std::array<std::string, coordination::TableKinds.size()> m_lastRefusals;
    std::vector<subscriber> m_subscribers;
    bool m_leaving = false;
    std::uint64_t m_generation = 0;
    mutable std::mutex m_currentMutex; // guards m_current
    coordination::snapshot_ptr m_current = std::make_shared<coordination::fleet_snapshot>();
};

control::detail::detail(asio::io_context &io, const state::settings &settings, state::incarnation own, transport::metrics &metrics)
    : m_io(io)
    , m_settings(settings)
    , m_own(own)
    , m_metrics(metrics)
    , m_client(settings.configService, settings.listen.ip)
    , m_routesWatch(io,
                    m_client,
                    metrics,
                    {"routes",
                     [key = settings.routesKey](auto index, auto wait) {
                         return protocol::tableTarget(key, index, wait);
                     }},
                    own)
    , m_poolsWatch(io,
                   m_client,
                   metrics,
                   {"pools",
                    [key = settings.poolsKey](auto index, auto wait) {
                        return protocol::tableTarget(key, index, wait);
                    }},
                   own + 1)
{ }

void control::detail::subscribe(subscriber handler)
{
    m_subscribers.push_back(std::move(handler));
}

void control::detail::post(std::function<void()> task)
{
    asio::post(m_io, std::move(task));
}

void control::detail::start()
{
    m_routesWatch.start(tableHandler(table_kind::routes));
    m_poolsWatch.start(tableHandler(table_kind::pools));
}

control_watch::answer_handler control::detail::tableHandler(table_kind kind)
{
    return [this, kind](transport::platform_answer answer) {
        return takeTable(kind, std::move(answer.body));
    };
}

asio::awaitable<void> control::detail::takeTable(table_kind kind, std::string text)
{
    if (!protocol::isManifest(text)) {
        offer(kind, std::move(text), "service");
        co_return;
    }
    absl::StatusOr<std::string> whole = co_await joinParts(std::move(text));
    if (!whole.ok()) {
        noteRefusal(kind, coordination::offer_verdict::broken, whole.status());
        co_return;
    }
    offer(kind, *std::move(whole), "service");
}

asio::awaitable<absl::StatusOr<std::string>> control::detail::joinParts(std::string manifestText)
{
    const absl::StatusOr<protocol::manifest> manifest = protocol::parseManifest(manifestText);
    if (!manifest.ok()) {
        co_return manifest.status();
    }
    std::string whole;
    for (const protocol::manifest_part &part : manifest->parts) {
        m_metrics.countNamed("platform_calls");
        const std::string target = protocol::tableTarget(part.key, 0, std::chrono::seconds(0));
        const absl::StatusOr<transport::platform_answer> answer = co_await m_client.get(target, state::clock::now() + PartDeadline);
        if (!answer.ok()) {
            co_return answer.status();
        }
        if (const absl::Status matches = protocol::checkPart(part, answer->body); !matches.ok()) {
            co_return matches;
        }
        whole += answer->body;
    }
    co_return whole;
}

void control::detail::offer(table_kind kind, std::string text, std::string_view source)
{
    const coordination::offer_result result = m_store.offer(kind, std::move(text), source);
    if (result.verdict == coordination::offer_verdict::unchanged) {
        return;
    }
    if (result.verdict != coordination::offer_verdict::accepted) {
        noteRefusal(kind, result.verdict, result.reason);
        return;
    }
    m_metrics.countNamed("config_accepted");
    transport::logEvent(event::config_accepted,
                        {{"table", std::string(tableName(kind))}, {"revision", fmt::to_string(result.version.revision)}, {"source", std::string(source)}});
    publish();
}

void control::detail::noteRefusal(table_kind kind, coordination::offer_verdict verdict, const absl::Status &reason)
{
    std::string text(state::messageOf(reason));
    m_metrics.countNamed(fmt::format("config_{}", verdictName(verdict)));
    transport::logEvent(eventOf(verdict), {{"table", std::string(tableName(kind))}, {"reason", text}});
    m_lastRefusals[static_cast<std::size_t>(kind)] = std::move(text);
}

void control::detail::publish()
{
    auto next = std::make_shared<coordination::fleet_snapshot>();
    next->generation = ++m_generation;
    next->routes = m_store.routes();
    next->pools = m_store.pools();
    next->leaving = m_leaving;
    {
        const std::lock_guard lock(m_currentMutex);
        m_current = next;
    }
    for (const subscriber &handler : m_subscribers) {
        handler(next);
    }
}

void control::detail::beginShutdown()
{
    if (!m_leaving) {
        m_leaving = true;
        publish();
    }
}

control_description control::detail::describe() const
{
    const auto describeTable = [this](table_kind kind) {
        return described_table{m_store.inForce(kind), m_store.known(kind), m_lastRefusals[static_cast<std::size_t>(kind)]};
    };
    control_description result;
    result.self = m_settings.advertise;
    result.incarnation = m_own;
    result.dataCentre = m_settings.dataCentre;
    result.leaving = m_leaving;
    result.reader = true;
    result.routes = describeTable(table_kind::routes);
    result.pools = describeTable(table_kind::pools);
    return result;
}

coordination::snapshot_ptr control::detail::current() const
{
    const std::lock_guard lock(m_currentMutex);
    return m_current;
}

control::control(asio::io_context &io, const state::settings &settings, state::incarnation own, transport::metrics &metrics)
    : m_detail(std::make_unique<detail>(io, settings, own, metrics))
{ }

control::~control() = default;

void control::subscribe(subscriber handler)
{
    m_detail->subscribe(std::move(handler));
}

void control::start()
{
    m_detail->start();
}

// Views of pools are not kept yet, so reports, paths and interest are not used.
void control::noteReports(const std::vector<coordination::worker_report> & /*reports*/)
{ }

void control::notePath(const state::node_address & /*node*/, bool /*ok*/)
{ }

void control::noteInterest(const std::string & /*pool*/)
{ }

void control::beginShutdown()
{
    m_detail->post([this] { m_detail->beginShutdown(); });
}

coordination::snapshot_ptr control::current() const
{
    return m_detail->current();
}

void control::describe(description_handler handler)
{
    m_detail->post([this, handler = std::move(handler)] { handler(m_detail->describe()); });
}

} // namespace dandelionstall
