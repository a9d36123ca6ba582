// The two tables that operators edit: routes and pools, joined by pool name.
//
// Both are INI text. Parsing fills plain aggregates and reports the first fault as "<source>:<line>: <reason>".
// docs/TABLES.md is the reference of every key.
//
// Usage:
//   auto pools = parsePoolTable(text, "pools.ini");
//   auto routes = parseRouteTable(text, "routes.ini");
//   absl::Status joined = checkPoolReferences(*routes, *pools);   // each route's pool exists
//   route_index index(routes);                          // tables_index.h; for many matches in one table
//
// Index:
//   [SECTION] Routes
//   [SECTION] Pools
//   [SECTION] Policy names
//   [SECTION] Parsing
//   [SECTION] Matching
#pragma once

#include <dandelionstall/state/types.h>

#include <array>
#include <string>
#include <vector>

namespace dandelionstall::state {

using table_revision = std::uint64_t; // written by the operator; only grows

// [SECTION] Routes

// One of several pools that share a route's requests.
struct pool_share {
    std::string pool;         // pool name
    std::uint32_t weight = 1; // its part of the sum of the route's weights

    friend bool operator==(const pool_share &, const pool_share &) = default;
};

// One row of the route table: which requests it takes, and how they are handled.
struct route {
    std::string name;                           // unique in the table
    std::string host;                           // exact host name, lower case; empty takes any host
    std::string pathPrefix = "/";               // whole path segments: "/tags" takes "/tags/7", not "/tagsale"
    std::vector<std::string> methods;           // empty takes any method
    bool subpathsOnly = false;                  // the prefix takes only paths that go on with a slash: not "/tags" itself
    std::string pool;                           // name of the pool that serves it; the first of several
    std::vector<pool_share> poolShares;         // pools that share its requests by weight; empty when there is one
    bool idempotent = false;                    // true: may run more than once
    double worth = 1.0;                         // value of one answer before its deadline, > 0
    std::uint32_t priority = 0;                 // rank when work competes for slots; 0 goes first
    std::uint32_t maxAttempts = 4;              // workers that one request may be sent to
    std::chrono::milliseconds timeout{2000};    // the deadline is arrival time plus this
    std::chrono::milliseconds targetLatency{0}; // an answer within this earns its full worth; zero when there is no such aim
    std::chrono::milliseconds costHint{0};      // expected run time; zero when unknown
    double organisationRate = 0.0;              // requests a second allowed to one organisation over the fleet; 0 is unlimited
    std::uint32_t line = 0;                     // line of the section in the table

    friend bool operator==(const route &, const route &) = default;
};

// What a caller may send and how long it may take; replaces the node's settings where it is set.
struct caller_limits {
    std::size_t maxHeaderBytes = 0;             // of one request; 0 leaves the setting
    std::size_t maxBodyBytes = 0;               // of one request; 0 leaves the setting
    std::chrono::milliseconds headerTimeout{0}; // to send a request header; 0 leaves the setting
    std::chrono::milliseconds idleTimeout{0};   // between requests of a connection; 0 leaves the setting

    friend bool operator==(const caller_limits &, const caller_limits &) = default;
};

struct route_table {
    table_revision revision = 0; // highest accepted revision wins
    std::uint64_t digest = 0;    // hash of the text; tells other content with the same revision
    std::vector<route> routes;   // in table order
    caller_limits callers;       // [callers] section
    std::string source;          // file name or key, for messages
};

// [SECTION] Pools

// One worker of a pool and the node beside it.
struct pool_worker {
    std::string id;          // unique in the table
    std::string dataCentre;  // where it runs
    node_address node;       // the node process on the worker's VM
    std::uint32_t slots = 0; // requests it runs at a time; 0 means the pool's value
    bool leaving = false;    // discovered workers only: takes no new work
    node_address address{};  // discovered workers only: where the worker itself listens
    time_point coldUntil{};  // discovered workers only: slow until then

    friend bool operator==(const pool_worker &, const pool_worker &) = default;
};

// Repeats allowed in one pool over all nodes: within any window, the share of its requests plus the extra ones.
struct retry_allowance {
    double share = 0.5;          // repeats per request
    double extraPerWindow = 0.0; // repeats on top, in each window; 0 leaves the policy's own allowance
    std::chrono::milliseconds window{10000};

    friend bool operator==(const retry_allowance &, const retry_allowance &) = default;
};

// One row of the pool table: the workers of a service and the policies used for them.
struct pool {
    std::string name;                           // unique in the table
    std::uint32_t slots = 1;                    // default slots of a worker
    bool hasDiscoveredWorkers = false;          // its workers announce themselves; the table has no rows of them
    double floor = 0.5;                         // share of the pool's workers that ejection leaves in use, 0..1
    std::string balancer = "least_wait";        // see coordination/balancer.h
    std::string ejector = "peer_outlier";       // see coordination/ejector.h
    std::string admission = "worth_density";    // see coordination/admission.h
    std::string retry = "budgeted";             // see coordination/retry.h
    std::string guard = "belief";               // see coordination/failure_guard.h
    std::chrono::milliseconds drainTime{30000}; // time that a leaving worker gets for running work
    retry_allowance retryAllowance;             // repeats that the whole fleet may make in this pool
    std::vector<pool_worker> workers;           // in table order
    std::uint32_t line = 0;                     // line of the section in the table

    friend bool operator==(const pool &, const pool &) = default;
};

struct pool_table {
    table_revision revision = 0; // highest accepted revision wins
    std::uint64_t digest = 0;    // hash of the text
    std::vector<pool> pools;     // in table order
};

// [SECTION] Policy names

inline constexpr std::array<std::string_view, 3> BalancerNames{"least_wait", "random", "round_robin"};
inline constexpr std::array<std::string_view, 2> EjectorNames{"peer_outlier", "consecutive_failures"};
inline constexpr std::array<std::string_view, 2> AdmissionNames{"worth_density", "fifo"};
inline constexpr std::array<std::string_view, 2> RetryNames{"budgeted", "fixed_count"};
inline constexpr std::array<std::string_view, 2> GuardNames{"belief", "off"};

// [SECTION] Parsing

inline constexpr std::size_t MaxValueBytes = 1'048'576;  // a value of the configuration service; larger tables are split
inline constexpr std::size_t MaxTableBytes = 16'777'216; // a whole table; larger ones are refused

absl::StatusOr<route_table> parseRouteTable(std::string_view text, std::string_view source); // error names line and reason
absl::StatusOr<pool_table> parsePoolTable(std::string_view text, std::string_view source);   // error names line and reason
absl::Status checkPoolReferences(const route_table &routes, const pool_table &pools);        // error when a route names no pool
const pool *findPool(const pool_table &table, std::string_view name);                        // nullptr when absent

// [SECTION] Matching

// Finds the route of a request: exact host before any host, then the longest path prefix, then table order. The host is
// taken as the caller sent it (any case, with or without port), the path as well (with or without query).
const route *matchRoute(const route_table &table, std::string_view host, std::string_view path, std::string_view method); // nullptr when none

namespace detail {

std::string normalizeHost(std::string_view host);                 // lower case, without port and final dot
std::string_view stripQuery(std::string_view target);             // path without query
bool matchesPath(std::string_view prefix, std::string_view path); // whole segments
bool matchesMethod(const route &candidate, std::string_view method);
bool matchesSubpath(const route &candidate, std::string_view path); // false when the route wants a longer path

} // namespace detail

} // namespace dandelionstall::state
