// Builds the JSON answers of the admin API from snapshots, tables and settings; docs/operators/admin-api.md shows each one.
// No I/O.
//
// Usage:
//   boost::json::object answer = poolsJson(*snapshot);
//
// Index:
//   [SECTION] Node
//   [SECTION] Tables and pools
//   [SECTION] Explain
//   [SECTION] Fleet
#pragma once

#include <dandelionstall/coordination/configuration/config_store.h>
#include <dandelionstall/coordination/fleet_snapshot.h>
#include <dandelionstall/coordination/membership/member.h>
#include <dandelionstall/state/settings.h>

#include <absl/status/statusor.h>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace dandelionstall::protocol {

// [SECTION] Node

struct node_identity {
    std::string name;                   // node name from the settings
    std::string version;                // version of the program
    state::incarnation incarnation = 0; // incarnation of this process
    state::time_point startedAt;        // start time of this process
};

struct readiness {
    bool ready = false;               // whether the node accepts requests of callers
    std::vector<std::string> missing; // reasons why it is not ready; empty when it is
};

boost::json::object healthJson(const node_identity &identity, state::time_point now); // shows that the process is alive
readiness readinessOf(const coordination::fleet_snapshot &snapshot);                  // ready when both tables are in force and the node is not leaving
boost::json::object readyJson(const readiness &value);
boost::json::object settingsJson(const state::settings &settings); // settings with their values in force; they contain no secrets

// [SECTION] Tables and pools

boost::json::object tablesJson(const coordination::fleet_snapshot &snapshot); // revision, digest and number of rows of both tables
boost::json::object poolsJson(const coordination::fleet_snapshot &snapshot);  // one object per pool
absl::StatusOr<boost::json::object>
poolJson(const coordination::fleet_snapshot &snapshot, std::string_view name, state::time_point now); // its workers; error when there is no such pool
std::string describeWorker(const coordination::worker_view &worker, state::time_point now);           // reason for the worker's state and its last report

// [SECTION] Explain

struct explain_query {
    std::string host;           // host name as in the Host header; may be empty
    std::string path = "/";     // request target, with or without query
    std::string method = "GET"; // HTTP method
};

boost::json::object explainJson(const coordination::fleet_snapshot &snapshot, const explain_query &query, state::time_point now); // route, pool, candidates

// [SECTION] Fleet

struct member_status {
    coordination::member member;
    state::table_revision routesRevision = 0; // revision in force at that node as last received; 0 when not known
    state::table_revision poolsRevision = 0;  // revision in force at that node as last received; 0 when not known
};

struct table_status {
    coordination::table_version inForce;
    coordination::table_version newestKnown; // newest version known here; newer than inForce while that one is pending
    std::string lastRefusal;                 // reason for the last refused table; empty when none was refused
};

// What the control thread of a node knows about this node, its configuration and the other nodes.
struct fleet_status {
    state::node_address self;
    state::incarnation incarnation = 0;
    std::string dataCentre;
    bool leaving = false;
    bool selfSuspected = false; // after a process pause or in isolation: the node declares no other node dead
    bool reader = false;        // whether this node is a reader, which watches the platform's service
    table_status routes;
    table_status pools;
    std::vector<member_status> members; // all known nodes but this one
};

boost::json::object membersJson(const fleet_status &fleet); // this node and the other nodes
boost::json::object configJson(const fleet_status &fleet);  // revisions in force at each node, as known here

} // namespace dandelionstall::protocol
