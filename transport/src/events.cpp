#include <dandelionstall/transport/events.h>

#include <dandelionstall/transport/log_queue.h>

#include <fmt/format.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <algorithm>
#include <array>
#include <sstream>
#include <unistd.h>

namespace dandelionstall::transport {

namespace {

constexpr std::array Catalogue{
    event_info{event::node_started, log_level::info, "node_started", "the node has started and listens on all its addresses"},
    event_info{event::node_stopping, log_level::info, "node_stopping", "a graceful stop has begun; in-flight requests are still finished"},
    event_info{event::node_stopped, log_level::info, "node_stopped", "the stop is complete and nothing is in flight"},
    event_info{event::settings_refused, log_level::error, "settings_refused", "the settings file cannot be read or is invalid, and is not used"},
    event_info{event::listen_failed, log_level::error, "listen_failed", "the node cannot bind one of its addresses"},
    event_info{event::reload_asked, log_level::info, "reload_asked", "SIGHUP was received; the settings were checked and apply from the next start"},
    event_info{event::lines_dropped, log_level::warn, "lines_dropped", "log lines were dropped, by class: the rate limit was reached or the reader is slow"},
    event_info{event::request_answered, log_level::info, "request_answered", "a caller was sent its whole answer"},
    event_info{event::request_refused, log_level::warn, "request_refused", "a caller was refused; the fields name the reason"},
    event_info{event::request_broken, log_level::warn, "request_broken", "an answer was aborted after its first byte had been sent"},
    event_info{event::request_gone, log_level::info, "request_gone", "the caller disconnected before it had its whole answer"},
    event_info{event::attempt_placed, log_level::info, "attempt_placed", "the ingress sends an attempt to a worker"},
    event_info{event::attempt_failed, log_level::warn, "attempt_failed", "an attempt ended without an answer that the caller can be given"},
    event_info{event::outcome_asked, log_level::info, "outcome_asked", "the path to a node failed; the outcome is queried over another connection"},
    event_info{event::told_limit, log_level::info, "told_limit", "an answer has told this node of a worker's rate limit, or of another rate"},
    event_info{event::told_limit_ended, log_level::info, "told_limit_ended", "this node is no longer bound by the rate limit of a worker"},
    event_info{event::told_leaving, log_level::info, "told_leaving", "an answer has told this node that a worker is leaving"},
    event_info{event::organisation_refused, log_level::warn, "organisation_refused", "requests without the key of an organisation were refused"},
    event_info{event::organisation_limited, log_level::warn, "organisation_limited", "requests of an organisation that is over its rate were refused"},
    event_info{event::organisation_use, log_level::info, "organisation_use", "what an organisation has asked of this node in the last seconds"},
    event_info{event::worker_draining, log_level::info, "worker_draining", "a worker has started or stopped refusing new work"},
    event_info{event::attempt_refused, log_level::warn, "attempt_refused", "the sidecar refused an attempt; the worker did not run it"},
    event_info{event::attempt_ended, log_level::info, "attempt_ended", "a worker has answered an attempt"},
    event_info{event::attempt_broken, log_level::warn, "attempt_broken", "an attempt at a worker ended without a whole answer"},
    event_info{event::worker_doubtful, log_level::info, "worker_doubtful", "the guard has started or stopped keeping non-idempotent work from a worker"},
    event_info{event::repeat_counted, log_level::info, "repeat_counted", "a repeat was counted against the retry allowance of its pool"},
    event_info{event::repeat_denied, log_level::warn, "repeat_denied", "a repeat was denied, since the retry allowance of its pool is used up"},
    event_info{event::repeat_part_changed, log_level::info, "repeat_part_changed", "the worker's part of the extra repeats of its pool has changed"},
    event_info{event::limit_learned, log_level::info, "limit_learned", "a worker states a rate limit, or another rate than before"},
    event_info{event::limit_lifted, log_level::info, "limit_lifted", "the worker states no rate limit any more, or has a new lifetime"},
    event_info{event::limit_applied, log_level::info, "limit_applied", "an attempt was started within the rate limit of its worker"},
    event_info{event::worker_states_leaving, log_level::info, "worker_states_leaving", "a worker states in its answers that it is leaving"},
    event_info{event::signal_invalid, log_level::warn, "signal_invalid", "a worker's rate limit or leaving cannot be used; nothing changes"},
    event_info{event::organisation_runs, log_level::info, "organisation_runs", "what the local workers have begun to run for an organisation lately"},
    event_info{event::config_accepted, log_level::info, "config_accepted", "a newer table has been accepted and is in force"},
    event_info{event::config_held, log_level::warn, "config_held", "a newer table is pending until the other table that it needs arrives"},
    event_info{event::config_refused, log_level::error, "config_refused", "a table cannot be parsed and is not used"},
    event_info{event::config_stale, log_level::warn, "config_stale", "a table older than the known one was offered and is ignored"},
    event_info{event::config_conflict, log_level::error, "config_conflict", "a known revision has other content; operators must write a higher revision"},
    event_info{event::watch_failed, log_level::warn, "watch_failed", "a call to the platform's service failed; it is retried with backoff"},
    event_info{event::watch_recovered, log_level::info, "watch_recovered", "calls to the platform's service succeed again"},
    event_info{event::reader_changed, log_level::info, "reader_changed", "this node has become a reader of the platform's service, or is no longer one"},
    event_info{event::store_era_learned, log_level::warn, "store_era_learned", "the platform's store has come back from an older copy"},
    event_info{event::store_era_settled, log_level::info, "store_era_settled", "what has become of the workers some seconds after the store came back"},
    event_info{event::reader_search_started, log_level::warn, "reader_search_started", "the readers of the data centre have not read in time; others try"},
    event_info{event::member_alive, log_level::info, "member_alive", "a node was discovered later than 10 s after the start of this one, or has recovered"},
    event_info{event::member_suspected, log_level::info, "member_suspected", "a node does not answer and is suspected of having failed"},
    event_info{event::member_dead, log_level::warn, "member_dead", "a suspected node did not refute the suspicion in time and counts as dead"},
    event_info{event::member_leaving, log_level::info, "member_leaving", "a node is leaving and accepts no new work"},
    event_info{event::self_doubt, log_level::warn, "self_doubt", "this node was paused or is isolated; until this ends it declares no node dead"},
    event_info{event::self_trust, log_level::info, "self_trust", "self-suspicion has ended; this node may declare other nodes dead again"},
    event_info{event::gossip_refused, log_level::warn, "gossip_refused", "a received datagram, or some rows of it, is no valid gossip and was dropped"},
    event_info{event::worker_judged, log_level::info, "worker_judged", "this node has changed the state or the weight of a worker"},
    event_info{event::worker_known, log_level::info, "worker_known", "a discovered worker is new, or its phase (ready or leaving) has changed"},
    event_info{event::worker_gone, log_level::info, "worker_gone", "the entry of a discovered worker was removed"},
    event_info{event::worker_entry_refused, log_level::warn, "worker_entry_refused", "an entry of the platform does not describe a usable worker"},
    event_info{event::workers_listed, log_level::info, "workers_listed", "the first list of discovered workers is known; later changes are logged one by one"},
    event_info{event::control_totals, log_level::info, "control_totals", "what the control thread has done since the start; one line in ten seconds"},
    event_info{event::rate_scaled, log_level::info, "rate_scaled", "the part of the fleet with which this node coordinates rates has changed"},
};

struct level_name {
    log_level level;
    std::string_view name;
};

constexpr std::array LevelNames{
    level_name{log_level::trace, "trace"},
    level_name{log_level::debug, "debug"},
    level_name{log_level::info, "info"},
    level_name{log_level::warn, "warn"},
    level_name{log_level::error, "error"},
};

log4cplus::LogLevel toLibraryLevel(log_level level)
{
    switch (level) {
    case log_level::trace:
        return log4cplus::TRACE_LOG_LEVEL;
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

log4cplus::LogLevel parseLibraryLevel(std::string_view level)
{
    const auto found = std::find_if(LevelNames.begin(), LevelNames.end(), [&](const level_name &known) { return known.name == level; });
    return toLibraryLevel(found == LevelNames.end() ? log_level::info : found->level);
}

log4cplus::Logger &logger()
{
    static log4cplus::Initializer initializer; // static, so that it is destroyed at exit, after the last event
    static log4cplus::Logger instance = log4cplus::Logger::getInstance("dandelionstall");
    return instance;
}

constexpr std::uint32_t FirstRequestEvent = 2000; // 2000 to 3999 are events of the ingress and the sidecar, most of them about requests and attempts
constexpr std::uint32_t FirstControlEvent = 4000;

// Events of the ingress and the sidecar without a warning or error are ordinary: the queue drops their lines first.
line_class lineClassOf(const event_info &info)
{
    const auto number = static_cast<std::uint32_t>(info.id);
    const bool aboutRequests = number >= FirstRequestEvent && number < FirstControlEvent;
    return aboutRequests && info.level <= log_level::info ? line_class::ordinary : line_class::important;
}

thread_local line_class currentLineClass = line_class::important; // class of the event that this thread is writing

// Appender that formats each event and pushes the line to the queue of the writer thread.
class queue_appender final : public log4cplus::Appender
{
public:
    explicit queue_appender(const log_limits &limits)
        : m_queue(std::make_shared<log_queue>(limits))
        , m_writer(m_queue, STDOUT_FILENO)
    { }

    ~queue_appender() override
    {
        destructorImpl();
    }

    void close() override
    {
        closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        std::ostringstream line;
        layout->formatAndAppend(line, event);
        m_queue->push(std::move(line).str(), currentLineClass, state::clock::now());
    }

private:
    std::shared_ptr<log_queue> m_queue;
    log_writer m_writer;
};

bool needsQuotes(std::string_view value)
{
    const auto isPlain = [](char c) {
        return c > ' ' && c != '"' && c != '=' && c != '\\' && c != '\x7f';
    };
    return value.empty() || !std::all_of(value.begin(), value.end(), isPlain);
}

// Quotes a value and escapes its control characters, so that an event is always one line, even if a value that a peer sent
// contains line breaks.
std::string quote(std::string_view value)
{
    std::string quoted = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            quoted += '\\';
            quoted += c;
        } else if (c == '\n') {
            quoted += "\\n";
        } else if (static_cast<unsigned char>(c) < 0x20 || c == '\x7f') {
            quoted += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            quoted += c;
        }
    }
    return quoted + '"';
}

} // namespace

std::string_view levelName(log_level level)
{
    return LevelNames.at(static_cast<std::size_t>(level)).name;
}

const event_info &eventInfo(event id)
{
    const auto found = std::find_if(Catalogue.begin(), Catalogue.end(), [&](const event_info &info) { return info.id == id; });
    return found == Catalogue.end() ? Catalogue.front() : *found;
}

std::span<const event_info> eventCatalogue()
{
    return Catalogue;
}

void configureLog(std::string_view level, std::string_view nodeName, std::uint32_t maxLinesPerSecond)
{
    log4cplus::Logger &target = logger();
    log_limits limits;
    limits.maxLinesPerSecond = maxLinesPerSecond;
    const log4cplus::SharedAppenderPtr appender(new queue_appender(limits)); // writes to standard output
    std::string name(nodeName);
    std::replace(name.begin(), name.end(), '%', '_'); // "%" is special in the pattern language of log4cplus
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(fmt::format("%D{{%Y-%m-%dT%H:%M:%S.%q}}Z %p node={} %m%n", name)));
    target.removeAllAppenders();
    target.setAdditivity(false);
    target.addAppender(appender);
    target.setLogLevel(parseLibraryLevel(level));
}

void closeLog()
{
    logger().removeAllAppenders();
}

void logEvent(event id, std::initializer_list<log_field> fields)
{
    const log4cplus::LogLevel level = toLibraryLevel(eventInfo(id).level);
    const log4cplus::Logger &target = logger();
    if (target.isEnabledFor(level)) {
        currentLineClass = lineClassOf(eventInfo(id));
        target.forcedLog(level, formatEvent(id, fields), __FILE__, __LINE__);
    }
}

std::string formatEvent(event id, std::initializer_list<log_field> fields)
{
    const event_info &info = eventInfo(id);
    std::string line = fmt::format("event={} name={}", static_cast<std::uint32_t>(info.id), info.name);
    for (const log_field &field : fields) {
        line += fmt::format(" {}={}", field.name, needsQuotes(field.value) ? quote(field.value) : field.value);
    }
    return line;
}

} // namespace dandelionstall::transport
