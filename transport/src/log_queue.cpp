#include <dandelionstall/transport/log_queue.h>

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <thread>
#include <unistd.h>

namespace dandelionstall::transport {

namespace {

constexpr std::chrono::milliseconds GatherTime{300};   // lines that arrive within this time are written together
constexpr std::chrono::milliseconds CloseTimeout{300}; // longest time that the destructor waits for the last lines to be written
constexpr std::uint32_t ImportantLineFactor = 2;       // important lines are accepted up to this multiple of maxLinesPerSecond

bool writeAll(int descriptor, std::string_view text)
{
    while (!text.empty()) {
        const ssize_t written = ::write(descriptor, text.data(), text.size());
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false; // the reader has closed its end; the loss cannot be logged elsewhere
        }
        text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

} // namespace

// [SECTION] Queue

log_queue::log_queue(const log_limits &limits)
    : m_limits(limits)
{ }

bool log_queue::withinRateLimit(line_class importance, state::time_point now)
{
    if (now >= m_secondEnds) {
        m_secondEnds = now + std::chrono::seconds(1);
        m_acceptedThisSecond = 0;
    }
    const std::uint32_t limit = m_limits.maxLinesPerSecond * (importance == line_class::important ? ImportantLineFactor : 1);
    if (m_acceptedThisSecond >= limit) {
        return false;
    }
    ++m_acceptedThisSecond;
    return true;
}

void log_queue::drop(line_class importance)
{
    ++(importance == line_class::important ? m_dropped.important : m_dropped.ordinary);
}

void log_queue::push(std::string line, line_class importance, state::time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_closed || !withinRateLimit(importance, now)) {
        return drop(importance);
    }
    if (m_lines.size() >= m_limits.maxLines) {
        if (importance == line_class::ordinary || m_ordinaryCount == 0) {
            return drop(importance);
        }
        m_lines.erase(std::find_if(m_lines.begin(), m_lines.end(), [](const entry &waiting) { return waiting.importance == line_class::ordinary; }));
        --m_ordinaryCount;
        drop(line_class::ordinary);
    }
    m_ordinaryCount += importance == line_class::ordinary ? 1 : 0;
    m_lines.push_back({std::move(line), importance});
    if (m_lines.size() == 1) {
        m_wakeup.notify_one();
    }
}

log_batch log_queue::consume(std::chrono::milliseconds gatherTime)
{
    std::unique_lock lock(m_mutex);
    m_wakeup.wait(lock, [this] { return m_closed || !m_lines.empty(); });
    if (!m_closed) {
        m_wakeup.wait_for(lock, gatherTime, [this] { return m_closed; });
    }
    log_batch batch;
    for (const entry &waiting : m_lines) {
        batch.text += waiting.line;
    }
    m_lines.clear();
    m_ordinaryCount = 0;
    batch.dropped = std::exchange(m_dropped, {});
    batch.closed = m_closed;
    return batch;
}

void log_queue::close()
{
    const std::lock_guard lock(m_mutex);
    m_closed = true;
    m_wakeup.notify_one();
}

// [SECTION] Writer

// State shared with the writer thread. The thread outlives the writer object if the reader has stopped reading.
struct log_writer::shared {
    std::shared_ptr<log_queue> queue;
    std::promise<void> done;
    std::future<void> finished = done.get_future();
};

log_writer::log_writer(std::shared_ptr<log_queue> queue, int descriptor)
    : m_shared(std::make_shared<shared>())
{
    m_shared->queue = std::move(queue);
    std::thread([state = m_shared, descriptor] {
        while (true) {
            const log_batch batch = state->queue->consume(GatherTime);
            std::string text = batch.text;
            if (batch.dropped.ordinary + batch.dropped.important > 0) {
                text += fmt::format("event=1007 name=lines_dropped ordinary={} important={}\n", batch.dropped.ordinary, batch.dropped.important);
            }
            if (!writeAll(descriptor, text) || batch.closed) {
                break;
            }
        }
        state->done.set_value();
    }).detach();
}

log_writer::~log_writer()
{
    m_shared->queue->close();
    m_shared->finished.wait_for(CloseTimeout);
}

} // namespace dandelionstall::transport
