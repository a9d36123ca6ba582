// Chooses the worker for one attempt. Pure: the view, the request and a random number come in, a worker comes out.
#pragma once

#include <dandelionstall/coordination/pool_view.h>

#include <memory>
#include <span>

namespace dandelionstall::coordination {

struct pick_request {
    std::string_view dataCentre;             // of the ingress
    std::string_view route;                  // route name
    std::span<const std::string> exclude;    // workers already tried for this request
    std::string_view preferred;              // better sibling named by a refusal; empty when none
    std::span<const std::uint32_t> inFlight; // this ingress' running attempts per worker, in view order; may be empty
    bool idempotent = false;                 // it may run more than once: a failure can be made good
    double acceptedRisk = 0.0;               // see guarded_item in failure_guard.h
    bool isRetry = false;                    // a worker has failed it: the best one is chosen, not the best of a few
    std::size_t answerBytes = 0;             // expected size of the answer; long ones are better not carried between data centres
    bool isLong = false;                     // expected to run much longer than the pool's typical work
    std::uint64_t random = 0;                // fresh random bits
    state::time_point now;                   // for the age of reports
};

inline constexpr std::size_t NoWorker = static_cast<std::size_t>(-1);

class balancer
{
public:
    virtual ~balancer() = default;

    virtual std::size_t pick(const pool_view &view, const pick_request &request) const = 0; // index into view.workers, NoWorker when none
};

// Names: "least_wait" (chosen), "random" and "round_robin" (baselines).
absl::StatusOr<std::unique_ptr<balancer>> makeBalancer(std::string_view name);

} // namespace dandelionstall::coordination
