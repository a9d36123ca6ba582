// Counters and histograms of a node, kept by prometheus-cpp. Thread-safe.
//
// docs/METRICS.md lists every name. Each refusal reason and each retry reason has its own counter from the start.
#pragma once

#include <dandelionstall/coordination/reasons.h>

#include <memory>
#include <string>
#include <string_view>

namespace dandelionstall::transport {

enum class measured_time {
    request, // from a request's arrival to its answer, whole
    added,   // of it, what was not spent at the worker
    queue,   // of an attempt in the queue of a worker
    worker,  // of an attempt at the worker
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

    void countRequest(std::string_view route, std::uint32_t status); // an answer given to a caller
    void countRefusal(coordination::refusal_reason reason);          // a refusal given to a caller or an ingress
    void countRetry(coordination::retry_reason reason);              // another attempt
    void incrementCounter(std::string_view name);                    // any other counter, e.g. "late_answers_dropped"
    void observe(measured_time what, work_class of, std::chrono::microseconds time);
    void setGauge(std::string_view name, double value); // a present value, e.g. "kept_answer_bytes"
    std::string expose() const;                         // Prometheus text format

private:
    struct detail;
    std::unique_ptr<detail> m_detail;
};

} // namespace dandelionstall::transport
