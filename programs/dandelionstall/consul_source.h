// What a node reads from the platform: the two tables and the list of VMs, each by a watch of its own.
//
// A long list of VMs is read as a whole now and then; in between only its leaving rows are watched. Split tables are put together here; a set of parts that are
// not all of the manifest's revision is refused.
#pragma once

#include "platform_watch.h"

#include <dandelionstall/coordination/config_store.h>
#include <dandelionstall/coordination/member.h>
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
    void setActive(bool tables, bool vmList) override; // inactive watches make no calls

private:
    platform_watch::answer_handler tableHandler(coordination::table_kind kind);
    boost::asio::awaitable<bool> handleTable(coordination::table_kind kind, std::string text); // false when a part is missing
    boost::asio::awaitable<absl::StatusOr<std::string>> joinParts(std::string manifestText);
    boost::asio::awaitable<bool> handleVmList(std::string json);

    std::string nextVmTarget(std::uint64_t index, std::chrono::seconds wait);

    transport::metrics &m_metrics;
    transport::source_events m_events;
    transport::platform_client m_tablesClient;
    transport::platform_client m_vmClient;
    platform_watch m_routesWatch;
    platform_watch m_poolsWatch;
    platform_watch m_vmWatch;
    std::size_t m_vmListBytes = 0;     // of the latest whole list
    state::time_point m_nextWholeList; // while the list is long
    bool m_leavingOnly = false;        // the call under way asks for leaving rows
};

} // namespace dandelionstall
