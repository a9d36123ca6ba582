// Tests of transport/events.h and transport/metrics.h.
#include <dandelionstall/transport/events.h>
#include <dandelionstall/transport/metrics.h>

#include <criterion/criterion.h>
#include <criterion/new/assert.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace dandelionstall;
using namespace dandelionstall::transport;

Test(events, formats_one_line_with_named_fields)
{
    cr_assert(formatEvent(event::node_started, {{"listen", "10.0.0.1:7400"}}) == "event=1001 name=node_started listen=10.0.0.1:7400");
    cr_assert(formatEvent(event::node_stopped, {{"a", ""}, {"b", "x \"y\""}}) == R"(event=1003 name=node_stopped a="" b="x \"y\"")");
}

Test(events, escapes_control_characters_in_values)
{
    cr_assert(rc::check("no control characters", [](const std::string &value) {
        const std::string line = formatEvent(event::node_started, {{"value", value}});
        RC_ASSERT(std::none_of(line.begin(), line.end(), [](char c) { return static_cast<unsigned char>(c) < 0x20; }));
    }));
}

Test(events, catalogue_is_sorted_by_number)
{
    const auto byNumber = [](const event_info &a, const event_info &b) {
        return a.id < b.id;
    };
    cr_assert(std::is_sorted(eventCatalogue().begin(), eventCatalogue().end(), byNumber));
    for (const event_info &info : eventCatalogue()) {
        cr_assert(eventInfo(info.id).name == info.name);
        cr_assert(not(info.meaning.empty()));
    }
}

Test(metrics, exposes_every_reason_with_zero_at_the_start)
{
    metrics counters;
    const std::string text = counters.expose();
    cr_assert(text.find("dandelionstall_refusals_total{reason=\"no_route\"} 0") != std::string::npos);
    cr_assert(text.find("dandelionstall_refusals_total{reason=\"unknown_outcome\"} 0") != std::string::npos);
    cr_assert(text.find("dandelionstall_retries_total{reason=\"path_silent\"} 0") != std::string::npos);
    cr_assert(text.find("reason=\"none\"") == std::string::npos);
}

Test(metrics, exposes_counters_gauges_and_times)
{
    metrics counters;
    counters.countRequest("lookup", 200);
    counters.countRefusal(coordination::refusal_reason::unknown_outcome);
    counters.countRefusal(coordination::refusal_reason::none);
    counters.countRetry(coordination::retry_reason::path_silent);
    counters.incrementCounter("late_answers_dropped");
    counters.incrementCounter("late_answers_dropped");
    counters.setGauge("kept_answer_bytes", 7);
    counters.observe(measured_time::queue, work_class::idempotent, std::chrono::milliseconds(2));
    counters.observe(measured_time::worker, work_class::non_idempotent, std::chrono::milliseconds(30));
    const std::string text = counters.expose();
    cr_assert(text.find("dandelionstall_requests_total{route=\"lookup\",status=\"2xx\"} 1") != std::string::npos);
    cr_assert(text.find("dandelionstall_refusals_total{reason=\"unknown_outcome\"} 1") != std::string::npos);
    cr_assert(text.find("dandelionstall_retries_total{reason=\"path_silent\"} 1") != std::string::npos);
    cr_assert(text.find("dandelionstall_late_answers_dropped_total 2") != std::string::npos);
    cr_assert(text.find("dandelionstall_kept_answer_bytes 7") != std::string::npos);
    cr_assert(text.find("dandelionstall_queue_seconds_count{class=\"idempotent\"} 1") != std::string::npos);
    cr_assert(text.find("dandelionstall_worker_seconds_sum{class=\"non_idempotent\"} 0.03") != std::string::npos);
    cr_assert(text.find("dandelionstall_request_seconds_count{class=\"idempotent\"} 0") != std::string::npos);
}
