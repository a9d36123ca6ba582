// Bounded queue between the threads that log and the one that writes. Never blocks whoever logs.
//
// Each second a limited number of lines is taken. When that, or the queue, is full, ordinary lines go first: a line about
// an ordinary success is dropped, and an important one takes the place of the oldest ordinary one. What was dropped is
// counted by class, and the writer reports the counts.
//
// Usage:
//   log_queue queue({.maxLines = 4096, .maxLinesPerSecond = 500});
//   queue.push(line, line_class::ordinary, now);         // any thread
//   log_batch batch = queue.consume(50ms);               // the writer's thread
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
    ordinary,  // a success, or a step towards one
    important, // a failure, a refusal, or a change of what this node believes
};

struct log_limits {
    std::size_t maxLines = 4096;           // waiting for the writer
    std::uint32_t maxLinesPerSecond = 500; // ordinary ones; important ones may be twice as many
};

struct dropped_lines {
    std::uint64_t ordinary = 0;
    std::uint64_t important = 0;
};

struct log_batch {
    std::string text;      // whole lines
    dropped_lines dropped; // since the last batch
    bool closed = false;   // no further lines will come
};

class log_queue
{
public:
    explicit log_queue(const log_limits &limits);

    void push(std::string line, line_class importance, state::time_point now); // never blocks for long; the line ends with '\n'
    log_batch consume(std::chrono::milliseconds gather);                       // waits for a line, then for more lines to gather
    void close();                                                              // consume() returns what is left

private:
    struct entry {
        std::string line;
        line_class importance = line_class::ordinary;
    };

    bool withinRateLimit(line_class importance, state::time_point now);
    void drop(line_class importance);

    log_limits m_limits;
    std::mutex m_mutex; // guards all below
    std::condition_variable m_wakeup;
    std::deque<entry> m_lines;
    std::size_t m_ordinaryCount = 0; // of them
    dropped_lines m_dropped;
    state::time_point m_secondEnds;
    std::uint32_t m_acceptedThisSecond = 0; // lines taken in this second
    bool m_closed = false;
};

// [SECTION] Writer

// Writes the queue's lines to a file descriptor on a thread of its own. A reader that stops reading holds up that thread only.
class log_writer
{
public:
    log_writer(std::shared_ptr<log_queue> queue, int descriptor);
    ~log_writer(); // writes what is left, as far as the reader takes it within a short time
    log_writer(const log_writer &) = delete;
    log_writer &operator=(const log_writer &) = delete;

private:
    struct shared;
    std::shared_ptr<shared> m_shared;
};

} // namespace dandelionstall::transport
