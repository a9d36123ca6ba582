#include <dandelionstall/protocol/errors.h>
#include <dandelionstall/protocol/report_codec.h>

#include <algorithm>
#include <cmath>

namespace dandelionstall::protocol {

namespace {

constexpr std::uint64_t MaxRoomAfterUs = 3'600'000'000; // one hour

} // namespace

void writeReport(const coordination::worker_report &report, wire::WorkerReport &out)
{
    out.set_worker(report.worker);
    out.set_pool(report.pool);
    out.set_node(state::formatNodeAddress(report.node));
    out.set_incarnation(report.incarnation);
    out.set_version(report.version);
    out.set_slots(report.slots);
    out.set_busy(report.busy);
    out.set_queued(report.queued);
    out.set_expected_wait_us(static_cast<std::uint64_t>(report.expectedWait.count()));
    out.set_success_share(static_cast<float>(report.successShare));
    out.set_latency_us(static_cast<std::uint64_t>(report.latency.count()));
    out.set_slowness(static_cast<float>(report.slowness));
    out.set_samples(report.samples);
    out.set_oldest_running_us(static_cast<std::uint64_t>(report.longestOverdue.count()));
    out.set_leaving(report.leaving);
    out.set_starting(report.starting);
    out.set_overdue(report.overdueCount);
    out.set_probe_failing(report.probeFailing);
    out.set_limit(static_cast<std::uint32_t>(report.limit));
    out.set_rate_limit(report.rateLimit);
    out.set_room_after_us(static_cast<std::uint64_t>(report.roomAfter.count()));
    out.set_worker_leaving(report.workerLeaving);
    if (report.limit == coordination::limit_knowledge::limited || report.workerLeaving) {
        out.set_lifetime(report.lifetime);
    }
    if (report.risk >= 0.0) {
        out.set_risk(static_cast<float>(report.risk));
    }
}

absl::StatusOr<coordination::worker_report> readReport(const wire::WorkerReport &in)
{
    const absl::StatusOr<state::node_address> node = state::parseNodeAddress(in.node());
    if (!node.ok()) {
        return makeError(protocol_error::malformed_message, "worker report without a valid node address");
    }
    coordination::worker_report report;
    report.worker = in.worker();
    report.pool = in.pool();
    report.node = *node;
    report.incarnation = in.incarnation();
    report.version = in.version();
    report.slots = in.slots();
    report.busy = in.busy();
    report.queued = in.queued();
    report.expectedWait = std::chrono::microseconds(in.expected_wait_us());
    report.successShare = std::clamp(static_cast<double>(in.success_share()), 0.0, 1.0);
    report.latency = std::chrono::microseconds(in.latency_us());
    report.slowness = std::max(static_cast<double>(in.slowness()), 0.0);
    report.samples = in.samples();
    report.longestOverdue = std::chrono::microseconds(in.oldest_running_us());
    report.leaving = in.leaving();
    report.starting = in.starting();
    report.overdueCount = in.overdue();
    report.probeFailing = in.probe_failing();
    report.risk = in.has_risk() ? std::clamp(static_cast<double>(in.risk()), 0.0, 1.0) : -1.0;
    report.lifetime = in.lifetime();
    const bool knownLimit = in.limit() <= static_cast<std::uint32_t>(coordination::limit_knowledge::limited);
    report.limit = knownLimit ? static_cast<coordination::limit_knowledge>(in.limit()) : coordination::limit_knowledge::unknown;
    report.rateLimit = std::isfinite(in.rate_limit()) ? std::max(in.rate_limit(), 0.0) : 0.0;
    report.roomAfter = std::chrono::microseconds(std::min(in.room_after_us(), MaxRoomAfterUs));
    report.workerLeaving = in.worker_leaving();
    return report;
}

} // namespace dandelionstall::protocol
