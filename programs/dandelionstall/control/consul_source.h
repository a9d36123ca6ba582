// Reads the two tables and the VM list from the platform's Consul service, each with a separate watch.
//
// A long VM list is read completely at fixed intervals; between these reads only the rows of leaving VMs are watched. Tables
// that are stored in parts are reassembled here; a table is refused unless all its parts match the manifest's revision.
#pragma once

#include "platform_watch.h"

#include <dandelionstall/coordination/configuration/config_store.h>
#include <dandelionstall/coordination/membership/member.h>
#include <dandelionstall/state/settings.h>
#include <dandelionstall/transport/config_source.h>

#include <functional>
#include <string>
#include <vector>

namespace dandelionstall {

class consul_source final : public transport::config_source
{
public:
    consul_source(
        boost::asio::io_context &io, const state::settings &settings, transport::metrics &metrics, transport::source_events events, std::uint64_t seed);

    void start() override;
    void setRole(coordination::reader_role role, bool needsVmList) override; // selects which watches are active; inactive watches make no calls
    std::chrono::milliseconds readGap() const override;

private:
    platform_watch::answer_handler tableHandler(coordination::table_kind kind);
    boost::asio::awaitable<bool> handleTable(coordination::table_kind kind, std::string text); // false if parts could not be read or joined
    boost::asio::awaitable<absl::StatusOr<std::string>> joinParts(std::string manifestText);
    boost::asio::awaitable<bool> handleVmList(std::string json);

    std::string selectVmTarget(std::uint64_t index, std::chrono::seconds wait);

    transport::metrics &m_metrics;
    transport::source_events m_events;
    transport::platform_client m_tablesClient;
    transport::platform_client m_vmClient;
    platform_watch m_routesWatch;
    platform_watch m_poolsWatch;
    platform_watch m_vmWatch;
    std::size_t m_vmListBytes = 0;      // size of the last complete list, in bytes
    state::time_point m_nextFullListAt; // time of the next complete read if the list is long
    bool m_leavingOnly = false;         // true if the current call requests only leaving VMs
};

} // namespace dandelionstall
