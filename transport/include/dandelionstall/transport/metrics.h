// Counters and histograms of a node, kept by prometheus-cpp. Thread-safe.
//
// docs/METRICS.md lists every name. The counters of all refusal and retry reasons exist from the start, with the value 0.
#pragma once

#include <dandelionstall/coordination/reasons.h>

#include <memory>
#include <string>
#include <string_view>

namespace dandelionstall::transport {

enum class measured_time {
    request, // from the arrival of a request to the end of its answer
    added,   // part of the request time that was not spent at the worker
    queue,   // time of an attempt in the queue of a worker
    worker,  // time of an attempt at the worker
};

// Threads of a node whose event loops are watched.
enum class event_loop {
    ingress,
    sidecar,
};

enum class work_class {
    idempotent,
    non_idempotent,
};

class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    void countRequest(std::string_view route, std::uint32_t status); // counts an answer sent to a caller
    void countRefusal(coordination::refusal_reason reason);          // counts a refusal sent to a caller or an ingress
    void countRetry(coordination::retry_reason reason);              // counts an attempt after the first one
    void incrementCounter(std::string_view name);                    // increments any other counter, e.g. "late_answers_dropped"
    void observe(measured_time kind, work_class workClass, std::chrono::microseconds time);
    void observeLoopDelay(event_loop loop, std::chrono::microseconds delay); // how late the loop has run a timer; what arrives waits as long
    void setGauge(std::string_view name, double value);                      // sets a current value, e.g. "kept_answer_bytes"
    std::string expose() const;                                              // returns all metrics in the Prometheus text format

private:
    struct detail;
    std::unique_ptr<detail> m_detail;
};

} // namespace dandelionstall::transport
