// Structured logs: numbered events with named fields, written through log4cplus as one line each.
//
// docs/EVENTS.md is the catalogue; .ci/check-events compares it with the list below. Numbers are never reused.
// Ranges: 1000 process and settings, 2000 ingress, 3000 sidecar, 4000 control (configuration, membership, health).
//
// Usage:
//   logEvent(event::node_started, {{"listen", "10.0.0.1:7400"}, {"data_centre", "thika"}});
//
// Index:
//   [SECTION] Events
//   [SECTION] Writing
#pragma once

#include <cstdint>
#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace dandelionstall::transport {

// [SECTION] Events

enum class event : std::uint32_t {
    node_started = 1001,     // info: listening on all its addresses
    node_stopping = 1002,    // info: graceful stop has begun
    node_stopped = 1003,     // info: nothing in flight any more
    settings_refused = 1004, // error: the settings file cannot be used
    listen_failed = 1005,    // error: an address cannot be bound
    reload_asked = 1006,     // info: SIGHUP has come; the settings are checked, and stay as they are until the next start
    worker_draining = 3001,  // info: a worker has started or stopped refusing new work
    config_accepted = 4001,  // info: a newer table is in force
    config_held = 4002,      // warn: a newer table waits for the other one
    config_refused = 4003,   // error: a table cannot be parsed
    config_stale = 4004,     // warn: an older table than the known one was offered
    config_conflict = 4005,  // error: other content under a known revision; operators must write a higher one
    watch_failed = 4006,     // warn: the platform's service does not answer
    watch_recovered = 4007,  // info: the platform's service answers again
    reader_changed = 4008,   // info: this node has become a reader of the service, or no longer is one
    member_alive = 4020,     // info: a node was heard for the first time or came back
    member_suspected = 4021, // info: a node does not answer
    member_dead = 4022,      // warn: a suspected node did not refute it
    member_leaving = 4023,   // info: a node takes no new work
    self_doubt = 4024,       // warn: this node slept or is isolated and declares nobody dead
    self_trust = 4025,       // info: this node trusts its view again
    gossip_refused = 4026,   // warn: datagrams that are no valid messages
    worker_known = 4030,     // info: a worker has announced itself, or that it is leaving
    worker_gone = 4031,      // info: the entry of a worker was removed
    worker_entry_refused = 4032, // warn: an entry of the platform names no usable worker
};

enum class log_level { trace, debug, info, warn, error };

struct event_info {
    event id;                 // number
    log_level level;          // severity
    std::string_view name;    // stable name, snake case
    std::string_view meaning; // what it says, in a few words
};

std::string_view levelName(log_level level);  // "info", ...
const event_info &eventInfo(event id);        // every event has one
std::span<const event_info> eventCatalogue(); // all events, by number

// [SECTION] Writing

struct log_field {
    std::string_view name; // snake case
    std::string value;     // quoted when needed
};

void configureLog(std::string_view level, std::string_view nodeName);       // once at start; level as in the settings
void logEvent(event id, std::initializer_list<log_field> fields);           // thread-safe
std::string formatEvent(event id, std::initializer_list<log_field> fields); // "event=1001 name=node_started listen=..."

} // namespace dandelionstall::transport
