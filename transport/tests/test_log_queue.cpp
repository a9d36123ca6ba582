// Tests of transport/log_queue.h: the volume is bounded, and no logging thread waits for a reader that has stopped reading.
#include <dandelionstall/transport/log_queue.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>

#include <string>
#include <unistd.h>

using namespace dandelionstall;
using namespace dandelionstall::transport;
using std::chrono::milliseconds;

namespace {

const state::time_point Start = state::time_point{} + std::chrono::hours(1);

} // namespace

Test(log_queue, drops_ordinary_lines_before_important_ones)
{
    log_queue queue({.maxLines = 3, .maxLinesPerSecond = 100});
    queue.push("a\n", line_class::ordinary, Start);
    queue.push("b\n", line_class::important, Start);
    queue.push("c\n", line_class::ordinary, Start);
    queue.push("d\n", line_class::ordinary, Start);  // dropped: the queue is full
    queue.push("e\n", line_class::important, Start); // replaces "a", the oldest ordinary line
    const log_batch batch = queue.consume(milliseconds(0));
    cr_assert(batch.text == "b\nc\ne\n");
    cr_assert(batch.dropped.ordinary == 2u);
    cr_assert(batch.dropped.important == 0u);
}

Test(log_queue, limits_the_lines_per_second)
{
    log_queue queue({.maxLines = 1000, .maxLinesPerSecond = 10});
    for (int i = 0; i < 50; ++i) {
        queue.push("x\n", line_class::ordinary, Start);
    }
    for (int i = 0; i < 50; ++i) {
        queue.push("y\n", line_class::important, Start);
    }
    queue.push("z\n", line_class::ordinary, Start + std::chrono::seconds(1));
    const log_batch batch = queue.consume(milliseconds(0));
    cr_assert(batch.text.size() == 2u * 21u);
    cr_assert(batch.dropped.ordinary == 40u);
    cr_assert(batch.dropped.important == 40u);
}

Test(log_queue, returns_remaining_lines_when_closed)
{
    log_queue queue({});
    queue.push("a\n", line_class::important, Start);
    queue.close();
    const log_batch batch = queue.consume(milliseconds(0));
    cr_assert(batch.text == "a\n");
    cr_assert(batch.closed);
}

// The reader of the pipe never reads, so the pipe's buffer fills up; push() must not block nevertheless.
Test(log_writer, does_not_block_logging_threads_when_the_reader_stops)
{
    int ends[2];
    cr_assert(pipe(ends) == 0);
    const auto queue = std::make_shared<log_queue>(log_limits{.maxLines = 256, .maxLinesPerSecond = 1'000'000});
    const state::time_point before = state::clock::now();
    {
        const log_writer writer(queue, ends[1]);
        const std::string line(200, 'x');
        for (int i = 0; i < 20'000; ++i) {
            queue->push(line + "\n", line_class::ordinary, state::clock::now());
        }
        cr_assert(state::clock::now() - before < std::chrono::seconds(2));
    }
    cr_assert(state::clock::now() - before < std::chrono::seconds(4)); // the destructor waits for the reader for a short time only
}

Test(log_writer, writes_remaining_lines_on_destruction)
{
    int ends[2];
    cr_assert(pipe(ends) == 0);
    {
        const auto queue = std::make_shared<log_queue>(log_limits{});
        const log_writer writer(queue, ends[1]);
        queue->push("last\n", line_class::important, state::clock::now());
    }
    std::string text(5, '\0');
    cr_assert(read(ends[0], text.data(), text.size()) == 5);
    cr_assert(text == "last\n");
}
