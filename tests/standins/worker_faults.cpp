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
    const double passed = std::chrono::duration<double>(now - faults.since) / faults.cold;
    return 1.0 + (ColdStartFactor - 1.0) * std::clamp(1.0 - passed, 0.0, 1.0);
}

} // namespace

worker_faults parseWorkerFaults(const std::string &text, state::time_point now)
{
    key_values values(text);
    worker_faults faults;
    faults.slow = values.take("slow", faults.slow);
    faults.extra = values.takeMillis("extra_ms", faults.extra);
    faults.fail = values.take("fail", faults.fail);
    faults.truncate = values.take("truncate", faults.truncate);
    faults.reset = values.take("reset", faults.reset);
    faults.hang = values.take("hang", faults.hang);
    faults.late = values.takeMillis("late_ms", faults.late);
    faults.shed = values.take("shed", faults.shed);
    faults.draining = values.takeFlag("draining");
    faults.cold = values.takeMillis("cold_ms", faults.cold);
    faults.health = values.take("health", faults.health);
    faults.load = values.take("load", faults.load);
    faults.flap = values.takeMillis("flap_ms", faults.flap);
    faults.since = now;
    values.expectEmpty();
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
