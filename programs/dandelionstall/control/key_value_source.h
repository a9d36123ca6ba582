// Reads configuration and discovered workers from a key-value store with revisions. A store_dialect encodes the calls and
// decodes the answers.
//
// All items are read once; afterwards one watch reports all changes. A node that is no reader reads them at its start only, to find
// its peers: it hears from them what has changed since, so that it takes the cheap answer, which may be some seconds old. A node that
// is probing asks for an empty range, as cheaply. If the store has compacted the history that the watch needs, all items are read
// again. The call rate is bounded: watches start at a minimum interval even if each returns immediately. When the store comes back
// from an older copy (a higher era), all items are read again as well, and answers of the earlier era are dropped. An item that
// cannot be decoded is ignored; it is reported when it first fails and when its reason changes.
#pragma once

#include <dandelionstall/protocol/keyed_store.h>
#include <dandelionstall/state/settings.h>
#include <dandelionstall/transport/config_source.h>
#include <dandelionstall/transport/metrics.h>
#include <dandelionstall/transport/platform_client.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <pcg_random.hpp>

#include <map>
#include <memory>

namespace dandelionstall {

class key_value_source final : public transport::config_source
{
public:
    key_value_source(boost::asio::io_context &io,
                     const state::settings &settings,
                     std::unique_ptr<protocol::store_dialect> dialect,
                     transport::metrics &metrics,
                     transport::source_events events,
                     std::uint64_t seed);

    void start() override;
    void setRole(coordination::reader_role role, bool needsWorkers) override;
    std::chrono::milliseconds readGap() const override;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> probe();     // false when the call failed
    boost::asio::awaitable<bool> readAll();   // false when a call failed
    boost::asio::awaitable<bool> watchOnce(); // false when a call failed
    boost::asio::awaitable<absl::StatusOr<std::vector<protocol::store_item>>>
    readRange(std::string prefix, protocol::read_freshness freshness, std::uint64_t &asOf);
    boost::asio::awaitable<absl::StatusOr<transport::platform_answer>> call(std::string target, state::time_point deadline);
    boost::asio::awaitable<void> pauseUntil(state::time_point until); // or until the role changes
    std::chrono::milliseconds watchWait() const;                      // maximum time that the store blocks the next watch
    bool followEra(const transport::platform_answer &answer);         // false for an answer of an earlier era, or without one
    void handleConfig(const protocol::store_item &item);
    void handleWorkers(const std::vector<protocol::store_item> &items, std::uint64_t asOf);
    void handleChange(const protocol::store_item &item);
    absl::StatusOr<coordination::discovered_worker> readWorker(const protocol::store_item &item);
    void recordOutcome(const absl::Status &status);
    std::chrono::milliseconds nextBackoff();

    transport::platform_client m_client;
    std::unique_ptr<protocol::store_dialect> m_dialect;
    transport::metrics &m_metrics;
    transport::source_events m_events;
    boost::asio::steady_timer m_timer;
    pcg32 m_random;
    std::map<std::string, std::string> m_lastRefusals;                  // key of an item that could not be decoded -> last reported reason
    std::uint64_t m_revision = 0;                                       // all changes up to this revision have been applied
    coordination::store_revision m_configRevision;                      // revision of the last configuration item that was processed
    std::uint64_t m_era = 0;                                            // era of the store in its answers; 0 when it names none
    state::time_point m_answeredAt;                                     // the latest usable answer
    std::uint32_t m_failures = 0;                                       // consecutive calls without a usable answer
    coordination::reader_role m_role = coordination::reader_role::none; // whether this node reads the store on behalf of other nodes
    bool m_needsWorkers = true;                                         // this node reads the list of workers from the store
    bool m_synced = false;                                              // all items up to m_revision have been read; false requires a full read
};

} // namespace dandelionstall
