// Reads configuration and discovered workers from a key-value store with revisions. A store_dialect translates.
//
// Everything is read once as a whole; afterwards one watch follows all changes. When the store has dropped the history
// that the watch needs, everything is read anew. Calls are bounded: a watch that keeps returning is repeated at
// intervals only. Entries that cannot be read change nothing; each is reported once per revision of its content.
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
    void setActive(bool tables, bool members) override;

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> readAll();   // false when a call failed
    boost::asio::awaitable<bool> watchOnce(); // likewise
    boost::asio::awaitable<absl::StatusOr<std::vector<protocol::store_item>>> readRange(std::string prefix, std::uint64_t &asOf);
    boost::asio::awaitable<absl::StatusOr<transport::platform_answer>> call(std::string target, state::time_point deadline);
    boost::asio::awaitable<void> pauseUntil(state::time_point until);
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
    std::map<std::string, std::string> m_rejectReasons; // last reason by key of items that could not be read
    std::uint64_t m_revision = 0;                       // changes up to here have been taken
    std::uint64_t m_configRevision = 0;                 // of the configuration taken last
    std::uint32_t m_failures = 0;                       // calls without a usable answer in a row
    bool m_isReader = false;                            // this node reads for others
    bool m_needsStore = true;                           // this node lacks something that only the store can give
    bool m_synced = false;                              // everything up to m_revision is known
};

} // namespace dandelionstall
