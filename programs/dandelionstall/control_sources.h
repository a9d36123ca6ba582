// What a node reads from the platform: the two tables and the list of VMs, each by a watch of its own.
//
// A long list of VMs is read as a whole now and then; in between only its leaving rows are watched. Split tables are put together here; a set of parts that are
// not all of the manifest's revision is refused.
#pragma once

#include "control_watch.h"

#include <dandelionstall/coordination/config_store.h>
#include <dandelionstall/coordination/member.h>
#include <dandelionstall/state/settings.h>

#include <functional>
#include <string>
#include <vector>

namespace dandelionstall {

struct source_events {
    std::function<void(coordination::table_kind kind, std::string text)> table;            // whole text of a table
    std::function<void(coordination::table_kind kind, const absl::Status &reason)> broken; // a split table that does not fit together
    std::function<void(std::vector<coordination::vm_record> vms)> vmList;                  // the whole list
    std::function<void(std::vector<coordination::vm_record> vms)> leavingVms;              // only its leaving rows
    std::function<void()> read;                                                            // a call has succeeded
};

class control_sources
{
public:
    control_sources(boost::asio::io_context &io, const state::settings &settings, transport::metrics &metrics, source_events events, std::uint64_t seed);

    void start();
    void setActive(bool tables, bool vmList); // inactive watches make no calls

private:
    control_watch::answer_handler tableHandler(coordination::table_kind kind);
    boost::asio::awaitable<bool> takeTable(coordination::table_kind kind, std::string text); // false when a part is missing
    boost::asio::awaitable<absl::StatusOr<std::string>> joinParts(std::string manifestText);
    boost::asio::awaitable<bool> takeVmList(std::string json);

    std::string nextVmTarget(std::uint64_t index, std::chrono::seconds wait);

    transport::metrics &m_metrics;
    source_events m_events;
    transport::platform_client m_tables;
    transport::platform_client m_vms;
    control_watch m_routesWatch;
    control_watch m_poolsWatch;
    control_watch m_vmWatch;
    std::size_t m_vmListBytes = 0;     // of the latest whole list
    state::time_point m_nextWholeList; // while the list is long
    bool m_leavingOnly = false;        // the call under way asks for leaving rows
};

} // namespace dandelionstall
