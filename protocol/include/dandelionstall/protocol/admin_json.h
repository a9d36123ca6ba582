// Answers of the admin API as JSON, made from snapshots, tables and settings. Pure; docs/operators/admin-api.md shows each.
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

#include <dandelionstall/coordination/config_store.h>
#include <dandelionstall/coordination/fleet_snapshot.h>
#include <dandelionstall/coordination/member.h>
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
    std::string name;                   // from the settings
    std::string version;                // of the program
    state::incarnation incarnation = 0; // of this life
    state::time_point startedAt;        // of this life
};

struct readiness {
    bool ready = false;               // takes requests of callers
    std::vector<std::string> missing; // what is missing when it does not
};

boost::json::object healthJson(const node_identity &identity, state::time_point now); // the process answers
readiness readinessOf(const coordination::fleet_snapshot &snapshot);                  // both tables in force and not leaving
boost::json::object readyJson(const readiness &value);
boost::json::object settingsJson(const state::settings &settings); // every key with its value in force; there are no secrets

// [SECTION] Tables and pools

boost::json::object tablesJson(const coordination::fleet_snapshot &snapshot); // revision, digest, rows
boost::json::object poolsJson(const coordination::fleet_snapshot &snapshot);  // a line per pool
absl::StatusOr<boost::json::object>
poolJson(const coordination::fleet_snapshot &snapshot, std::string_view name, state::time_point now); // its workers; error when there is no such pool
std::string describeWorker(const coordination::worker_view &worker, state::time_point now);           // why it is in its state

// [SECTION] Explain

struct explain_query {
    std::string host;           // as in the Host header; may be empty
    std::string path = "/";     // request target
    std::string method = "GET"; // HTTP method
};

boost::json::object explainJson(const coordination::fleet_snapshot &snapshot, const explain_query &query, state::time_point now); // route, pool, candidates

// [SECTION] Fleet

struct member_status {
    coordination::member member;
    state::table_revision routesRevision = 0; // in force there as last heard; 0 when not known
    state::table_revision poolsRevision = 0;  // in force there as last heard; 0 when not known
};

struct table_status {
    coordination::table_version inForce;
    coordination::table_version newestKnown; // newer than inForce while it is held back
    std::string lastRefusal;                 // reason of the latest refusal; empty when none
};

// What the control thread of a node knows about itself, its configuration and the other nodes.
struct fleet_status {
    state::node_address self;
    state::incarnation incarnation = 0;
    std::string dataCentre;
    bool leaving = false;
    bool selfSuspected = false; // slept or isolated; declares nobody dead
    bool reader = false;        // watches the platform's service
    table_status routes;
    table_status pools;
    std::vector<member_status> members; // without this node
};

boost::json::object membersJson(const fleet_status &fleet); // this node and the others
boost::json::object configJson(const fleet_status &fleet);  // revision in force per node, as known here

} // namespace dandelionstall::protocol
