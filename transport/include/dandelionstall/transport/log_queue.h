// Bounded queue of log lines between the threads that log and the writer thread. It never blocks a thread that logs.
//
// The queue accepts a limited number of lines each second. Over this limit, or when the queue is full, ordinary lines are
// dropped first: a full queue drops a new ordinary line, and replaces its oldest ordinary line by a new important one.
// Dropped lines are counted by class, and the writer reports the counts.
//
// Usage:
//   log_queue queue({.maxLines = 4096, .maxLinesPerSecond = 500});
//   queue.push(line, line_class::ordinary, now);         // from any thread
//   log_batch batch = queue.consume(50ms);               // from the writer thread
//
// Index:
//   [SECTION] Queue
//   [SECTION] Writer
#pragma once

#include <dandelionstall/state/types.h>

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace dandelionstall::transport {

// [SECTION] Queue

enum class line_class {
    ordinary,  // progress or success of a request
    important, // any other event: failures, refusals, and changes of this node's state or of its view of other nodes
};

struct log_limits {
    std::size_t maxLines = 4096;           // lines in the queue
    std::uint32_t maxLinesPerSecond = 500; // ordinary lines are dropped after this many lines of both classes, important lines after twice as many
};

struct dropped_lines {
    std::uint64_t ordinary = 0;
    std::uint64_t important = 0;
};

struct log_batch {
    std::string text;      // whole lines, each ending with '\n'; may be empty
    dropped_lines dropped; // lines dropped since the previous batch
    bool closed = false;   // the queue is closed and this is the last batch
};

class log_queue
{
public:
    explicit log_queue(const log_limits &limits);

    void push(std::string line, line_class importance, state::time_point now); // `line` ends with '\n'; waits only for the mutex
    log_batch consume(std::chrono::milliseconds gatherTime);                   // waits for a line, then for further lines during `gatherTime`
    void close();                                                              // afterwards consume() returns the remaining lines at once

private:
    struct entry {
        std::string line;
        line_class importance = line_class::ordinary;
    };

    bool withinRateLimit(line_class importance, state::time_point now);
    void drop(line_class importance);

    log_limits m_limits;
    std::mutex m_mutex; // guards all members below
    std::condition_variable m_wakeup;
    std::deque<entry> m_lines;
    std::size_t m_ordinaryCount = 0; // ordinary lines in m_lines
    dropped_lines m_dropped;
    state::time_point m_secondEnds;
    std::uint32_t m_acceptedThisSecond = 0; // lines of both classes accepted in the current second
    bool m_closed = false;
};

// [SECTION] Writer

// Writes the lines of the queue to a file descriptor on its own thread. A reader that stops reading blocks this thread only.
class log_writer
{
public:
    log_writer(std::shared_ptr<log_queue> queue, int descriptor);
    ~log_writer(); // writes the remaining lines, but waits for the reader for a short time only
    log_writer(const log_writer &) = delete;
    log_writer &operator=(const log_writer &) = delete;

private:
    struct shared;
    std::shared_ptr<shared> m_shared;
};

} // namespace dandelionstall::transport
