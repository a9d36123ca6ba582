#include <dandelionstall/coordination/health/ejector.h>

#include <dandelionstall/coordination/errors.h>

#include "ejector_policies.h"

#include <fmt/format.h>

namespace dandelionstall::coordination {

namespace {

constexpr double BaselineFailureShare = 0.5;                    // share of failed outcomes that ejects a worker
constexpr std::uint32_t BaselineSamples = 5;                    // outcomes needed before a worker is evaluated
constexpr std::uint32_t BaselinePathFailures = 3;               // consecutive attempts failed on the path that eject a worker
constexpr std::chrono::milliseconds BaselineEjectionMs{30'000}; // duration of every ejection

// Baseline: ejects every failing worker for a fixed time, regardless of how many workers stay in use.
class consecutive_failures_ejector final : public ejector
{
public:
    ejection_records evaluate(const ejection_input &input, const ejection_records &previous) const override
    {
        ejection_records updated;
        for (const worker_view &worker : input.view->workers) {
            const auto known = previous.find(worker.id);
            ejection_record record = known == previous.end() ? ejection_record{} : known->second;
            const auto path = input.paths.find(worker.id);
            evaluateWorker(worker, path == input.paths.end() ? path_health{} : path->second, input.now, record);
            updated.emplace(worker.id, record);
        }
        return updated;
    }

private:
    static void evaluateWorker(const worker_view &worker, const path_health &path, state::time_point now, ejection_record &record)
    {
        if (record.state == worker_state::ejected && now < record.ejectedUntil) {
            return;
        }
        const bool workFails = worker.report.samples >= BaselineSamples && 1.0 - worker.report.successShare >= BaselineFailureShare;
        const bool pathFails = path.recentFailures >= BaselinePathFailures && path.recentSuccesses == 0;
        if (workFails || pathFails) {
            record.state = worker_state::ejected;
            record.reason = workFails ? ejection_reason::failures : ejection_reason::path;
            record.ejectedUntil = now + BaselineEjectionMs;
            record.lastEjectedAt = now;
            ++record.recentEjections;
            return;
        }
        record.state = worker.report.version != 0 ? worker_state::healthy : worker_state::unknown;
        record.reason = ejection_reason::none;
    }
};

} // namespace

absl::StatusOr<std::unique_ptr<ejector>> makeEjector(std::string_view name)
{
    if (name == "peer_outlier") {
        return detail::makePeerOutlierEjector();
    }
    if (name == "consecutive_failures") {
        return std::make_unique<consecutive_failures_ejector>();
    }
    return makeError(coordination_error::unknown_policy, fmt::format("unknown ejector policy \"{}\"", name));
}

std::string_view reasonName(ejection_reason reason)
{
    switch (reason) {
    case ejection_reason::none:
        return "none";
    case ejection_reason::failures:
        return "failures";
    case ejection_reason::slow:
        return "slow";
    case ejection_reason::stalled:
        return "stalled";
    case ejection_reason::path:
        return "path";
    case ejection_reason::cold_start:
        return "cold_start";
    case ejection_reason::trial:
        return "trial";
    case ejection_reason::floor:
        return "floor";
    }
    return "none";
}

void applyEjectionRecords(const ejection_records &records, pool_view &view)
{
    for (worker_view &worker : view.workers) {
        const auto found = records.find(worker.id);
        if (found == records.end()) {
            continue;
        }
        const bool overridden = worker.state == worker_state::leaving || worker.state == worker_state::unreachable;
        worker.state = overridden ? worker.state : found->second.state;
        worker.weight = found->second.weight;
    }
}

} // namespace dandelionstall::coordination
