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
    node_started = 1001,         // info: listening on all its addresses
    node_stopping = 1002,        // info: graceful stop has begun
    node_stopped = 1003,         // info: nothing in flight any more
    settings_refused = 1004,     // error: the settings file cannot be used
    listen_failed = 1005,        // error: an address cannot be bound
    reload_asked = 1006,         // info: SIGHUP has come; the settings are checked, and stay as they are until the next start
    lines_dropped = 1007,        // warn: log lines were dropped, by class: too many a second, or the reader is too slow
    request_answered = 2001,     // info: a caller has its answer
    request_refused = 2002,      // warn: a caller was refused
    request_broken = 2003,       // warn: an answer broke off after its first byte had gone out
    request_gone = 2004,         // info: the caller left before it had its answer
    attempt_placed = 2010,       // info: an attempt goes to a worker
    attempt_failed = 2011,       // warn: an attempt brought no answer for the caller
    outcome_asked = 2012,        // info: the path failed and the outcome is asked for over another connection
    worker_draining = 3001,      // info: a worker has started or stopped refusing new work
    attempt_refused = 3010,      // warn: the sidecar refused an attempt; it was not run
    attempt_ended = 3011,        // info: a worker has answered an attempt
    attempt_broken = 3012,       // warn: a worker did not answer an attempt
    worker_doubtful = 3013,      // info: the guard keeps unrepeatable work from a worker, or no longer does
    config_accepted = 4001,      // info: a newer table is in force
    config_held = 4002,          // warn: a newer table waits for the other one
    config_refused = 4003,       // error: a table cannot be parsed
    config_stale = 4004,         // warn: an older table than the known one was offered
    config_conflict = 4005,      // error: other content under a known revision; operators must write a higher one
    watch_failed = 4006,         // warn: the platform's service does not answer
    watch_recovered = 4007,      // info: the platform's service answers again
    reader_changed = 4008,       // info: this node has become a reader of the service, or no longer is one
    member_alive = 4020,         // info: a node was heard for the first time or came back
    member_suspected = 4021,     // info: a node does not answer
    member_dead = 4022,          // warn: a suspected node did not refute it
    member_leaving = 4023,       // info: a node takes no new work
    self_doubt = 4024,           // warn: this node slept or is isolated and declares nobody dead
    self_trust = 4025,           // info: this node trusts its view again
    gossip_refused = 4026,       // warn: datagrams that are no valid messages
    worker_judged = 4027,        // info: this node uses a worker again, or no longer, or with another share
    worker_known = 4030,         // info: a worker has announced itself, or that it is leaving
    worker_gone = 4031,          // info: the entry of a worker was removed
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

void configureLog(std::string_view level, std::string_view nodeName, std::uint32_t maxLinesPerSecond = 500); // once at start; level as in the settings
void closeLog();                                                                                             // writes what is left; no events afterwards
void logEvent(event id, std::initializer_list<log_field> fields);                                            // thread-safe
std::string formatEvent(event id, std::initializer_list<log_field> fields);                                  // "event=1001 name=node_started listen=..."

} // namespace dandelionstall::transport
