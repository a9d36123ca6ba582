// Chooses the worker for one attempt from a pool view, the properties of the request and random bits. Does no I/O and reads no
// clock.
#pragma once

#include <dandelionstall/coordination/health/pool_view.h>

#include <memory>
#include <span>

namespace dandelionstall::coordination {

struct pick_request {
    std::string_view dataCentre;             // data centre of the ingress
    std::string_view route;                  // route name
    std::span<const std::string> exclude;    // ids of workers already tried for this request
    std::string_view preferredWorker;        // id of the worker that a refusal recommended, picked when it is a candidate in dataCentre; empty when none
    std::span<const std::uint32_t> inFlight; // in-flight attempts of this ingress per worker, in the order of view.workers; may be empty
    bool idempotent = false;                 // the route is idempotent and the request has no ticket: it may run more than once, so a failure can be retried
    double acceptedRisk = 0.0;               // highest probability of an unhealthy worker that the request accepts, 0..1; see guarded_item
    bool isRetry = false;                    // a worker has failed an earlier attempt: the best of all workers is chosen, not the best of a few draws
    bool wholePool = false;                  // a worker has refused or failed an earlier attempt: workers outside the subset of this node are candidates too
    std::size_t answerBytes = 0;             // expected size of the answer in bytes; transfer between data centres adds to the cost of a worker
    bool isLong = false;                     // the request is expected to run much longer than the typical work of the pool
    std::uint64_t random = 0;                // fresh random bits
    state::time_point now;                   // current time; determines the age of reports
};

inline constexpr std::size_t NoWorker = static_cast<std::size_t>(-1);

class balancer
{
public:
    virtual ~balancer() = default;

    virtual std::size_t pick(const pool_view &view, const pick_request &request) const = 0; // index into view.workers; NoWorker when there is no candidate
};

// Policy names: "least_wait" (default), "random" and "round_robin" (baselines for comparison).
absl::StatusOr<std::unique_ptr<balancer>> makeBalancer(std::string_view name);

} // namespace dandelionstall::coordination
