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
    worker_draining = 3001,  // info: a worker has started or stopped refusing new work
};

enum class log_level { trace, debug, info, warn, error };

struct event_info {
    event id;              // number
    log_level level;       // severity
    std::string_view name; // stable name, snake case
};

const event_info &eventInfo(event id); // every event has one

// [SECTION] Writing

struct log_field {
    std::string_view name; // snake case
    std::string value;     // quoted when needed
};

void configureLog(std::string_view level, std::string_view nodeName);       // once at start; level as in the settings
void logEvent(event id, std::initializer_list<log_field> fields);           // thread-safe
std::string formatEvent(event id, std::initializer_list<log_field> fields); // "event=1001 name=node_started listen=..."

} // namespace dandelionstall::transport
