// Counters and histograms of a node, kept by prometheus-cpp. Thread-safe.
//
// docs/METRICS.md lists every name. Each refusal reason and each retry reason has its own counter from the start.
#pragma once

#include <dandelionstall/coordination/reasons.h>

#include <memory>
#include <string>
#include <string_view>

namespace dandelionstall::transport {

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
    void countNamed(std::string_view name);                          // any other counter, e.g. "late_answers_dropped"
    void observeAddedTime(std::chrono::microseconds time);           // time of a request outside the worker
    void observeQueueTime(std::chrono::microseconds time);           // time in the queue of a worker
    void setGauge(std::string_view name, double value);              // a present value, e.g. "kept_answer_bytes"
    std::string expose() const;                                      // Prometheus text format

private:
    struct detail;
    std::unique_ptr<detail> m_detail;
};

} // namespace dandelionstall::transport
