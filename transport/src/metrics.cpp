#include <dandelionstall/transport/metrics.h>

#include <fmt/format.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <vector>

namespace dandelionstall::transport {

namespace {

using coordination::refusal_reason;
using coordination::retry_reason;

// Adds one counter for each reason of the enumeration, at the index of its value. The first value without a name ends the list.
template<typename reason>
std::vector<prometheus::Counter *> addReasons(prometheus::Family<prometheus::Counter> &family)
{
    std::vector<prometheus::Counter *> counters{nullptr}; // index 0 is reason::none, which is not counted
    while (true) {
        const std::string_view name = reasonName(static_cast<reason>(counters.size()));
        if (name == reasonName(reason::none)) {
            return counters;
        }
        counters.push_back(&family.Add({{"reason", std::string(name)}}));
    }
}

template<typename reason>
void countReason(const std::vector<prometheus::Counter *> &counters, reason value)
{
    if (value != reason::none) {
        counters.at(static_cast<std::size_t>(value))->Increment();
    }
}

constexpr std::array WorkClasses{"idempotent", "non_idempotent"}; // label values, indexed by work_class
constexpr std::array LoopNames{"ingress", "sidecar"};             // label values, indexed by event_loop
constexpr std::array TimeBuckets{0.0001, 0.00025, 0.0005, 0.001, 0.0022, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0}; // seconds

double toSeconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double>(time).count();
}

prometheus::Family<prometheus::Counter> &addCounters(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name("dandelionstall_" + name).Help(help).Register(registry);
}

// Series without labels by name. The registry looks through all its families for each name, too slowly for every datagram.
template<typename series>
class series_cache
{
public:
    template<typename maker>
    series &get(std::string_view name, const maker &make)
    {
        const std::lock_guard lock(m_mutex);
        const auto known = m_series.find(name);
        return known != m_series.end() ? *known->second : *m_series.emplace(name, &make()).first->second;
    }

private:
    std::mutex m_mutex; // guards m_series
    std::map<std::string, series *, std::less<>> m_series;
};

using time_histograms = std::array<prometheus::Histogram *, WorkClasses.size()>; // indexed by work_class

time_histograms addTimes(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    const prometheus::Histogram::BucketBoundaries buckets(TimeBuckets.begin(), TimeBuckets.end());
    auto &family = prometheus::BuildHistogram().Name("dandelionstall_" + name).Help(help).Register(registry);
    time_histograms result{};
    std::transform(WorkClasses.begin(), WorkClasses.end(), result.begin(), [&](const char *workClass) { return &family.Add({{"class", workClass}}, buckets); });
    return result;
}

std::array<prometheus::Histogram *, LoopNames.size()> addLoopDelays(prometheus::Registry &registry)
{
    const prometheus::Histogram::BucketBoundaries buckets(TimeBuckets.begin(), TimeBuckets.end());
    auto &family = prometheus::BuildHistogram().Name("dandelionstall_loop_delay_seconds").Help("How late an event loop runs its timers.").Register(registry);
    std::array<prometheus::Histogram *, LoopNames.size()> result{};
    std::transform(LoopNames.begin(), LoopNames.end(), result.begin(), [&](const char *loop) { return &family.Add({{"loop", loop}}, buckets); });
    return result;
}

} // namespace

struct metrics::detail {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Counter> &requests = addCounters(registry, "requests_total", "Answers given to callers, by route and status class.");
    prometheus::Family<prometheus::Counter> &refusals = addCounters(registry, "refusals_total", "Refusals given to callers and ingresses, by reason.");
    prometheus::Family<prometheus::Counter> &retries = addCounters(registry, "retries_total", "Further attempts, by reason.");
    std::array<time_histograms, 4> times{// indexed by measured_time
                                         addTimes(registry, "request_seconds", "Time of a request from its arrival to its whole answer."),
                                         addTimes(registry, "added_seconds", "Time of a request outside the worker."),
                                         addTimes(registry, "queue_seconds", "Time of an attempt in the queue of a worker."),
                                         addTimes(registry, "worker_seconds", "Time of an attempt at the worker.")};
    std::array<prometheus::Histogram *, LoopNames.size()> loopDelays = addLoopDelays(registry);
    std::vector<prometheus::Counter *> refusalCounters = addReasons<refusal_reason>(refusals);
    std::vector<prometheus::Counter *> retryCounters = addReasons<retry_reason>(retries);
    series_cache<prometheus::Counter> counters;
    series_cache<prometheus::Gauge> gauges;
};

metrics::metrics()
    : m_detail(std::make_unique<detail>())
{ }

metrics::~metrics() = default;

void metrics::countRequest(std::string_view route, std::uint32_t status)
{
    m_detail->requests.Add({{"route", std::string(route)}, {"status", fmt::format("{}xx", status / 100)}}).Increment();
}

void metrics::countRefusal(refusal_reason reason)
{
    countReason(m_detail->refusalCounters, reason);
}

void metrics::countRetry(retry_reason reason)
{
    countReason(m_detail->retryCounters, reason);
}

void metrics::incrementCounter(std::string_view name)
{
    const auto add = [&]() -> prometheus::Counter & {
        return addCounters(m_detail->registry, fmt::format("{}_total", name), "See docs/METRICS.md.").Add({});
    };
    m_detail->counters.get(name, add).Increment();
}

void metrics::observe(measured_time kind, work_class workClass, std::chrono::microseconds time)
{
    m_detail->times.at(static_cast<std::size_t>(kind)).at(static_cast<std::size_t>(workClass))->Observe(toSeconds(time));
}

void metrics::observeLoopDelay(event_loop loop, std::chrono::microseconds delay)
{
    m_detail->loopDelays.at(static_cast<std::size_t>(loop))->Observe(toSeconds(delay));
}

void metrics::setGauge(std::string_view name, double value)
{
    const auto add = [&]() -> prometheus::Gauge & {
        return prometheus::BuildGauge().Name(fmt::format("dandelionstall_{}", name)).Help("See docs/METRICS.md.").Register(m_detail->registry).Add({});
    };
    m_detail->gauges.get(name, add).Set(value);
}

std::string metrics::expose() const
{
    return prometheus::TextSerializer().Serialize(m_detail->registry.Collect());
}

} // namespace dandelionstall::transport
