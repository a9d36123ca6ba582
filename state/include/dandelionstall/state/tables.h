// The two tables that operators edit: routes and pools. A route refers to its pools by name.
//
// Both are INI text. Parsing fills plain structs and reports the first error as "<source>:<line>: <reason>".
// docs/TABLES.md describes every key.
//
// Usage:
//   auto pools = parsePoolTable(text, "pools.ini");
//   auto routes = parseRouteTable(text, "routes.ini");
//   absl::Status joined = checkPoolReferences(*routes, *pools);   // error when a route's pool does not exist
//   route_index index(routes);                          // see tables_index.h; faster for many matches in one table
//
// Index:
//   [SECTION] Routes
//   [SECTION] Organisations
//   [SECTION] Pools
//   [SECTION] Limits
//   [SECTION] Policy names
//   [SECTION] Parsing
//   [SECTION] Matching
#pragma once

#include <dandelionstall/state/key_digest.h>

#include <array>
#include <string>
#include <vector>

namespace dandelionstall::state {

using table_revision = std::uint64_t; // set by the operator; higher for each new version of a table

// [SECTION] Routes

// One of several pools between which the requests of a route are divided.
struct pool_share {
    std::string pool;         // name of the pool
    std::uint32_t weight = 1; // share of the requests, relative to the sum of the weights of the route

    friend bool operator==(const pool_share &, const pool_share &) = default;
};

// One row of the route table: which requests it matches and how they are handled.
struct route {
    std::string name;                           // name, unique in the table
    std::string host;                           // exact host name in lower case; empty matches any host
    std::string pathPrefix = "/";               // prefix of whole path segments: "/tags" matches "/tags/7" but not "/tagsale"
    std::vector<std::string> methods;           // HTTP methods; empty matches any method
    bool subpathsOnly = false;                  // matches only paths that continue after the prefix with a slash: "/tags/7" but not "/tags"
    std::string pool;                           // name of the pool that serves the route; the first one if there are several
    std::vector<pool_share> poolShares;         // pools and their weights; empty when the route has only one pool
    bool idempotent = false;                    // whether a request may run more than once
    double worth = 1.0;                         // value of one answer before its deadline, > 0
    std::uint32_t priority = 0;                 // rank of its requests when slots are scarce; 0 is served first
    std::uint32_t maxAttempts = 4;              // largest number of workers to which one request is sent, 1..16
    std::chrono::milliseconds timeout{2000};    // time from the arrival of a request to its deadline
    std::chrono::milliseconds targetLatency{0}; // time within which an answer has its full worth; zero when there is no target
    std::chrono::milliseconds costHint{0};      // expected run time of a request; zero when unknown
    bool isPublic = false;                      // its requests need no key; see organisation_rules
    double organisationRate = 0.0;              // requests per second that one organisation may send to the whole fleet; 0 is unlimited
    std::uint32_t line = 0;                     // line number of the section header in the table

    friend bool operator==(const route &, const route &) = default;
};

// Limits for callers from the [callers] section; each value that is set replaces the value of the node's settings.
struct caller_limits {
    std::size_t maxHeaderBytes = 0;             // largest header of one request, in bytes; 0 keeps the node's setting
    std::size_t maxBodyBytes = 0;               // largest body of one request, in bytes; 0 keeps the node's setting
    std::chrono::milliseconds headerTimeout{0}; // time to send a request header; 0 keeps the node's setting
    std::chrono::milliseconds idleTimeout{0};   // time after which an idle connection is closed; 0 keeps the node's setting

    friend bool operator==(const caller_limits &, const caller_limits &) = default;
};

// [SECTION] Organisations

// One organisation whose callers identify themselves by keys. The table contains digests of the keys only.
struct organisation {
    std::string name;             // name, unique in the table
    std::vector<key_digest> keys; // digests of its keys, in order; may be empty
    std::uint32_t priority = 0;   // rank of its requests when slots are scarce, before that of the route; 0 is served first
    double rate = 0.0;            // requests per second over the whole fleet; 0 is unlimited
    double burst = 0.0;           // additional requests at once; see coordination/rates/
    std::uint32_t line = 0;       // line number of the section header in the table

    friend bool operator==(const organisation &, const organisation &) = default;
};

// What holds for all organisations, from the [callers] section.
struct organisation_rules {
    bool keysRequired = false;              // a request needs the key of an organisation, but for those of public routes
    std::chrono::milliseconds window{5000}; // time over which the requests of an organisation are counted for its rate
    double overrun = 0.25;                  // share by which they may exceed rate and burst in that time
    double slack = 20.0;                    // requests by which they may exceed that

    friend bool operator==(const organisation_rules &, const organisation_rules &) = default;
};

struct route_table {
    table_revision revision = 0; // the accepted table with the highest revision is in force
    std::uint64_t digest = 0;    // hash of the text; distinguishes tables with the same revision
    std::vector<route> routes;   // routes in table order
    caller_limits callers;       // limits from the [callers] section
    organisation_rules organisationRules;
    std::vector<organisation> organisations; // in table order; organisation_index.h finds them by key
    std::string source;                      // file name or store key, for error messages
};

// [SECTION] Pools

// One worker of a pool and the node on the same VM.
struct pool_worker {
    std::string id;                // worker id, unique in the table
    std::string dataCentre;        // data centre of the worker
    node_address node;             // address of the node process on the worker's VM
    std::uint32_t slots = 0;       // requests that it runs at the same time; 0 means the pool's value
    bool leaving = false;          // discovered workers only: accepts no new requests
    node_address address{};        // discovered workers only: address at which the worker listens
    time_point coldUntil{};        // discovered workers only: time until which a cold start makes it slow
    std::uint64_t startedAtMs = 0; // discovered workers only: wall clock time of its start; with the id, it names one lifetime of the worker

    friend bool operator==(const pool_worker &, const pool_worker &) = default;
};

// Limit of the repeats at the workers of one pool, see coordination/repeats/repeats.h and coordination/repeats/repeat_budget.h. In any window, their
// number is at most a share of the pool's requests plus a fixed number. The requests are those of this window, of the one before
// it or of the one that begins half a window earlier, whichever has most.
struct retry_allowance {
    double share = 0.5;                      // repeats allowed per request, 0..1
    double extraPerWindow = 0.0;             // additional repeats in each window
    std::chrono::milliseconds window{10000}; // length of the window, from 100 ms to 1 h
    bool isLimited = false;                  // the table states the additional repeats, if only that there are none; else there is no such limit

    friend bool operator==(const retry_allowance &, const retry_allowance &) = default;
};

// One row of the pool table: the workers of a service and the policies used for them.
struct pool {
    std::string name;                           // name, unique in the table
    std::uint32_t slots = 1;                    // number of slots of each worker whose row gives none
    bool hasDiscoveredWorkers = false;          // its workers announce themselves in the platform's store; the table has no rows for them
    double floor = 0.5;                         // smallest share of the pool's workers that ejection leaves in use, 0..1
    std::string balancer = "least_wait";        // one of BalancerNames, see coordination/balancing/balancer.h
    std::string ejector = "peer_outlier";       // one of EjectorNames, see coordination/health/ejector.h
    std::string admission = "worth_density";    // one of AdmissionNames, see coordination/admission/admission.h
    std::string retry = "budgeted";             // one of RetryNames, see coordination/repeats/retry.h
    std::string guard = "belief";               // one of GuardNames, see coordination/admission/failure_guard.h
    std::chrono::milliseconds drainTime{30000}; // time that a leaving worker has to end its running requests
    retry_allowance retryAllowance;             // limit of the retries of the whole fleet in this pool
    std::vector<pool_worker> workers;           // workers in table order
    std::uint32_t line = 0;                     // line number of the section header in the table

    friend bool operator==(const pool &, const pool &) = default;
};

struct pool_table {
    table_revision revision = 0; // the accepted table with the highest revision is in force
    std::uint64_t digest = 0;    // hash of the text; distinguishes tables with the same revision
    std::vector<pool> pools;     // pools in table order
};

// [SECTION] Limits

inline constexpr std::chrono::milliseconds MaxRouteTime = std::chrono::hours(24); // of timeout, target, cost hint and the callers' timeouts
inline constexpr std::uint64_t MaxCallerBytes = 1'099'511'627'776; // of a caller's header and body; what a node holds in memory is bounded elsewhere
inline constexpr std::uint32_t MaxRoutePriority = 1'000'000'000;
inline constexpr std::uint32_t MaxRouteAttempts = 16;
inline constexpr std::uint32_t MaxPoolWeight = 1'000'000'000;
inline constexpr double MaxOrganisationRate = 1'000'000;      // requests per second
inline constexpr double MaxOrganisationBurst = 1'000'000'000; // requests
inline constexpr double MaxOrganisationOverrun = 1000;
inline constexpr std::chrono::milliseconds MinOrganisationWindow{100};
inline constexpr std::chrono::milliseconds MaxOrganisationWindow = std::chrono::hours(1);

// [SECTION] Policy names

inline constexpr std::array<std::string_view, 3> BalancerNames{"least_wait", "random", "round_robin"};
inline constexpr std::array<std::string_view, 2> EjectorNames{"peer_outlier", "consecutive_failures"};
inline constexpr std::array<std::string_view, 2> AdmissionNames{"worth_density", "fifo"};
inline constexpr std::array<std::string_view, 2> RetryNames{"budgeted", "fixed_count"};
inline constexpr std::array<std::string_view, 2> GuardNames{"belief", "off"};

// [SECTION] Parsing

inline constexpr std::size_t MaxValueBytes = 1'048'576;  // largest value in the configuration service, in bytes; larger tables are split into parts
inline constexpr std::size_t MaxTableBytes = 16'777'216; // largest table, in bytes; larger tables are an error

absl::StatusOr<route_table> parseRouteTable(std::string_view text, std::string_view source); // error: "<source>:<line>: <reason>"
absl::StatusOr<pool_table> parsePoolTable(std::string_view text, std::string_view source);   // error: "<source>:<line>: <reason>"
absl::Status checkPoolReferences(const route_table &routes, const pool_table &pools);        // error when a route names a pool that does not exist
const pool *findPool(const pool_table &table, std::string_view name);                        // nullptr when absent

// [SECTION] Matching

// Finds the route of a request: a route with its exact host comes before one with any host, then the longest path prefix,
// then table order. The host may be in any case and with or without port, the path with or without query.
const route *matchRoute(const route_table &table, std::string_view host, std::string_view path, std::string_view method); // nullptr when no route matches

namespace detail {

std::string normalizeHost(std::string_view host);                 // lower case, without port and final dot
std::string_view stripQuery(std::string_view target);             // request target without query and fragment
bool matchesPath(std::string_view prefix, std::string_view path); // whether the prefix ends at a segment boundary of the path
bool matchesMethod(const route &candidate, std::string_view method);
bool matchesSubpath(const route &candidate, std::string_view path); // false when subpathsOnly excludes the path

} // namespace detail

} // namespace dandelionstall::state
