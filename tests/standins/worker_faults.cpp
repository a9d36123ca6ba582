#include "worker_faults.h"

#include "key_values.h"

#include <algorithm>

namespace dandelionstall::standins {

namespace {

constexpr double ColdStartFactor = 5.0;

double coldFactor(const worker_faults &faults, state::time_point now)
{
    if (faults.cold.count() == 0) {
        return 1.0;
    }
    const double elapsedShare = std::chrono::duration<double>(now - faults.since) / faults.cold;
    return 1.0 + (ColdStartFactor - 1.0) * std::clamp(1.0 - elapsedShare, 0.0, 1.0);
}

} // namespace

worker_faults parseWorkerFaults(const std::string &text, state::time_point now)
{
    key_values values(text);
    worker_faults faults;
    faults.slow = values.consume("slow", faults.slow);
    faults.extra = values.consumeMillis("extra_ms", faults.extra);
    faults.fail = values.consume("fail", faults.fail);
    faults.truncate = values.consume("truncate", faults.truncate);
    faults.reset = values.consume("reset", faults.reset);
    faults.hang = values.consume("hang", faults.hang);
    faults.late = values.consumeMillis("late_ms", faults.late);
    faults.shed = values.consume("shed", faults.shed);
    faults.draining = values.consumeFlag("draining");
    faults.cold = values.consumeMillis("cold_ms", faults.cold);
    faults.health = values.consume("health", faults.health);
    faults.load = values.consume("load", faults.load);
    faults.rateLimit = values.consume("rate_limit", faults.rateLimit);
    faults.leaving = values.consume("leaving", faults.leaving);
    faults.endless = values.consume("endless", faults.endless);
    faults.endlessShare = values.consume("endless_share", faults.endlessShare);
    faults.endlessHealth = values.consumeFlag("endless_health");
    faults.flap = values.consumeMillis("flap_ms", faults.flap);
    faults.since = now;
    values.expectAllConsumed();
    return faults;
}

worker_faults faultsAt(const worker_faults &faults, state::time_point now)
{
    if (faults.flap.count() > 0 && ((now - faults.since) / faults.flap) % 2 == 1) {
        return {};
    }
    return faults;
}

std::chrono::milliseconds runTime(const worker_faults &faults, std::chrono::milliseconds cost, state::time_point now)
{
    const double scaled = static_cast<double>(cost.count()) * faults.slow * coldFactor(faults, now);
    return std::chrono::milliseconds(static_cast<std::int64_t>(scaled)) + faults.extra;
}

} // namespace dandelionstall::standins
