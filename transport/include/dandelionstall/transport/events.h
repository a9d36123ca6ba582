// Structured logs: numbered events with named fields, written through log4cplus as one line each.
//
// docs/EVENTS.md is the catalogue; .ci/check-events compares it with the list below. The number of a removed event is not
// given to another one.
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
    node_started = 1001,          // info: the node has started and listens on all its addresses
    node_stopping = 1002,         // info: a graceful stop has begun; in-flight requests are still finished
    node_stopped = 1003,          // info: the stop is complete and nothing is in flight
    settings_refused = 1004,      // error: the settings file cannot be read or is invalid, and is not used
    listen_failed = 1005,         // error: the node cannot bind one of its addresses
    reload_asked = 1006,          // info: SIGHUP was received; the settings were checked and apply from the next start
    lines_dropped = 1007,         // warn: log lines were dropped, by class: the rate limit was reached or the reader is slow
    request_answered = 2001,      // info: a caller was sent its whole answer
    request_refused = 2002,       // warn: a caller was refused; the fields name the reason
    request_broken = 2003,        // warn: an answer was aborted after its first byte had been sent
    request_gone = 2004,          // info: the caller disconnected before it had its whole answer
    attempt_placed = 2010,        // info: the ingress sends an attempt to a worker
    attempt_failed = 2011,        // warn: an attempt ended without an answer that the caller can be given
    outcome_asked = 2012,         // info: the path to a node failed; the outcome is queried over another connection
    told_limit = 2020,            // info: an answer has told this node of a worker's rate limit, or of another rate
    told_limit_ended = 2021,      // info: this node is no longer bound by the rate limit of a worker
    told_leaving = 2022,          // info: an answer has told this node that a worker is leaving
    organisation_refused = 2030,  // warn: requests without the key of an organisation were refused
    organisation_limited = 2031,  // warn: requests of an organisation that is over its rate were refused
    organisation_use = 2032,      // info: what an organisation has asked of this node in the last seconds
    worker_draining = 3001,       // info: a worker has started or stopped refusing new work
    attempt_refused = 3010,       // warn: the sidecar refused an attempt; the worker did not run it
    attempt_ended = 3011,         // info: a worker has answered an attempt
    attempt_broken = 3012,        // warn: an attempt at a worker ended without a whole answer
    worker_doubtful = 3013,       // info: the guard has started or stopped keeping non-idempotent work from a worker
    repeat_counted = 3014,        // info: a repeat was counted against the retry allowance of its pool
    repeat_denied = 3015,         // warn: a repeat was denied, since the retry allowance of its pool is used up
    repeat_part_changed = 3016,   // info: the worker's part of the extra repeats of its pool has changed
    limit_learned = 3020,         // info: a worker states a rate limit, or another rate than before
    limit_lifted = 3021,          // info: the worker states no rate limit any more, or has a new lifetime
    limit_applied = 3022,         // info: an attempt was started within the rate limit of its worker
    worker_states_leaving = 3023, // info: a worker states in its answers that it is leaving
    signal_invalid = 3024,        // warn: a worker's rate limit or leaving cannot be used; nothing changes
    organisation_runs = 3030,     // info: what the local workers have begun to run for an organisation lately
    config_accepted = 4001,       // info: a newer table has been accepted and is in force
    config_held = 4002,           // warn: a newer table is pending until the other table that it needs arrives
    config_refused = 4003,        // error: a table cannot be parsed and is not used
    config_stale = 4004,          // warn: a table older than the known one was offered and is ignored
    config_conflict = 4005,       // error: a known revision has other content; operators must write a higher revision
    watch_failed = 4006,          // warn: a call to the platform's service failed; it is retried with backoff
    watch_recovered = 4007,       // info: calls to the platform's service succeed again
    reader_changed = 4008,        // info: this node has become a reader of the platform's service, or is no longer one
    store_era_learned = 4009,     // warn: the platform's store has come back from an older copy
    store_era_settled = 4010,     // info: what has become of the workers some seconds after the store came back
    reader_search_started = 4011, // warn: the readers of the data centre have not read in time; others try
    member_alive = 4020,          // info: a node was discovered later than 10 s after the start of this one, or has recovered
    member_suspected = 4021,      // info: a node does not answer and is suspected of having failed
    member_dead = 4022,           // warn: a suspected node did not refute the suspicion in time and counts as dead
    member_leaving = 4023,        // info: a node is leaving and accepts no new work
    self_doubt = 4024,            // warn: this node was paused or is isolated; until this ends it declares no node dead
    self_trust = 4025,            // info: self-suspicion has ended; this node may declare other nodes dead again
    gossip_refused = 4026,        // warn: a received datagram, or some rows of it, is no valid gossip and was dropped
    worker_judged = 4027,         // info: this node has changed the state or the weight of a worker
    worker_known = 4030,          // info: a discovered worker is new, or its phase (ready or leaving) has changed
    worker_gone = 4031,           // info: the entry of a discovered worker was removed
    worker_entry_refused = 4032,  // warn: an entry of the platform does not describe a usable worker
    workers_listed = 4033,        // info: the first list of discovered workers is known; later changes are logged one by one
    control_totals = 4040,        // info: what the control thread has done since the start; one line in ten seconds
    rate_scaled = 4041,           // info: the part of the fleet with which this node coordinates rates has changed
};

enum class log_level { trace, debug, info, warn, error };

struct event_info {
    event id;                 // number of the event, as in the catalogue
    log_level level;          // severity of every line of this event
    std::string_view name;    // name in snake case, which does not change
    std::string_view meaning; // one phrase that explains the event to an operator
};

std::string_view levelName(log_level level);  // name in lower case, e.g. "info"
const event_info &eventInfo(event id);        // entry of the catalogue for this event
std::span<const event_info> eventCatalogue(); // all events, sorted by number

// [SECTION] Writing

struct log_field {
    std::string_view name; // field name in snake case
    std::string value;     // raw value; it is quoted and escaped in the line where needed
};

void configureLog(std::string_view level, std::string_view nodeName, std::uint32_t maxLinesPerSecond = 500); // call once at start; level as in the settings
void closeLog();                                                            // writes the remaining lines; no event may be logged afterwards
void logEvent(event id, std::initializer_list<log_field> fields);           // writes one line to the log; thread-safe
std::string formatEvent(event id, std::initializer_list<log_field> fields); // text of the line, e.g. "event=1001 name=node_started listen=..."

} // namespace dandelionstall::transport
