#include "store_plan.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <pcg_random.hpp>
#include <tuple>

namespace dandelionstall::soak {

using std::chrono::milliseconds;

namespace {

constexpr double StepsPerSecond = 1.5;
constexpr std::uint32_t MinAgeMs = 300;
constexpr std::uint32_t MaxAgeMs = 8000;
constexpr std::uint32_t MinLengthMs = 500; // of faults that are undone
constexpr std::uint32_t MaxLengthMs = 3000;
constexpr milliseconds LeaveTime{4000}; // longer than the time after which a leaving worker must get nothing

// A kind that stands here twice is drawn twice as often.
constexpr std::array Draws{store_fault::rewind,
                           store_fault::rewind,
                           store_fault::rewind,
                           store_fault::configure,
                           store_fault::configure,
                           store_fault::worker_leave,
                           store_fault::worker_leave,
                           store_fault::node_kill,
                           store_fault::node_stop,
                           store_fault::refuse};
constexpr std::array Names{"rewind", "configure", "worker_leave", "node_kill", "node_stop", "refuse"};

milliseconds drawBetween(std::uint32_t least, std::uint32_t most, pcg64 &random)
{
    return milliseconds(least + random(most - least + 1));
}

store_step generateStep(milliseconds length, std::size_t nodes, pcg64 &random)
{
    store_step step;
    step.kind = Draws.at(random(Draws.size()));
    step.at = drawBetween(0, static_cast<std::uint32_t>(length.count()), random);
    step.target = random(nodes);
    const milliseconds age = drawBetween(MinAgeMs, MaxAgeMs, random);
    const milliseconds lasts = drawBetween(MinLengthMs, MaxLengthMs, random);
    if (step.kind == store_fault::rewind) {
        step.age = age;
    } else if (step.kind == store_fault::worker_leave) {
        step.duration = LeaveTime;
    } else if (step.kind == store_fault::node_kill || step.kind == store_fault::refuse) {
        step.duration = lasts;
    }
    return step;
}

} // namespace

store_plan generateStorePlan(std::uint64_t seed, milliseconds length, std::size_t nodes)
{
    pcg64 random(seed);
    store_plan plan{seed, length, {}};
    const auto wanted = static_cast<std::size_t>(std::chrono::duration<double>(length).count() * StepsPerSecond);
    for (std::size_t i = 0; i < wanted; ++i) {
        plan.steps.push_back(generateStep(length, nodes, random));
    }
    const auto orderOf = [](const store_step &step) {
        return std::tuple(step.at, step.kind, step.target, step.age, step.duration);
    };
    std::sort(plan.steps.begin(), plan.steps.end(), [&](const store_step &a, const store_step &b) { return orderOf(a) < orderOf(b); });
    return plan;
}

std::string formatStoreStep(const store_step &step)
{
    return fmt::format("kind={} at_ms={} lasts_ms={} target={} age_ms={}",
                       Names.at(static_cast<std::size_t>(step.kind)),
                       step.at.count(),
                       step.duration.count(),
                       step.target,
                       step.age.count());
}

} // namespace dandelionstall::soak
