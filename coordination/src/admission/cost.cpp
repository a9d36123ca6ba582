#include <dandelionstall/coordination/admission/cost.h>

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <limits>

namespace dandelionstall::coordination {

namespace {

constexpr unsigned SizeClassBits = 4; // each size class covers a factor of 16
constexpr std::chrono::microseconds MinCost{1};
constexpr std::chrono::microseconds MaxCost{std::numeric_limits<std::uint32_t>::max()};

} // namespace

cost_key costKey(std::string_view route, std::size_t bodyBytes)
{
    const auto sizeClass = static_cast<std::uint64_t>(std::bit_width(bodyBytes)) / SizeClassBits;
    return XXH3_64bits_withSeed(route.data(), route.size(), sizeClass);
}

void cost_model::window::add(std::chrono::microseconds cost, state::time_point now)
{
    micros[next] = static_cast<std::uint32_t>(std::clamp(cost, MinCost, MaxCost).count());
    next = (next + 1) % WindowSamples;
    used = std::min<std::uint32_t>(used + 1, WindowSamples);
    learnedAt = now;
    std::array<std::uint32_t, WindowSamples> sorted = micros;
    const auto middle = sorted.begin() + (used - 1) / 2;
    std::nth_element(sorted.begin(), middle, sorted.begin() + used);
    median = std::chrono::microseconds(*middle);
}

cost_model::cost_model(const cost_limits &limits)
    : m_limits(limits)
{ }

std::chrono::microseconds cost_model::estimate(cost_key key, std::chrono::microseconds hint) const
{
    const auto found = m_classes.find(key);
    if (found != m_classes.end()) {
        return found->second.median;
    }
    return hint.count() > 0 ? hint : typical();
}

std::chrono::microseconds cost_model::typical() const
{
    return m_all.used > 0 ? m_all.median : m_limits.fallback;
}

void cost_model::learn(const cost_sample &sample)
{
    const auto cost = std::chrono::duration_cast<std::chrono::microseconds>(sample.endedAt - sample.startedAt);
    auto found = m_classes.find(sample.key);
    const bool hasClass = found != m_classes.end();
    if (!sample.answered && cost <= (hasClass ? found->second.median : typical())) {
        return;
    }
    if (!hasClass) {
        evictIfFull();
        found = m_classes.try_emplace(sample.key).first;
    }
    found->second.add(cost, sample.endedAt);
    m_all.add(cost, sample.endedAt);
}

void cost_model::evictIfFull()
{
    if (m_classes.size() < m_limits.maxClasses) {
        return;
    }
    const auto isOlder = [](const auto &left, const auto &right) {
        return left.second.learnedAt < right.second.learnedAt;
    };
    m_classes.erase(std::min_element(m_classes.begin(), m_classes.end(), isOlder));
}

state::time_point cost_model::learnedAt(cost_key key) const
{
    const auto found = m_classes.find(key);
    return found == m_classes.end() ? state::time_point{} : found->second.learnedAt;
}

std::size_t cost_model::size() const
{
    return m_classes.size();
}

std::size_t cost_model::bytes() const
{
    using node = decltype(m_classes)::value_type;
    return sizeof(*this) + m_classes.size() * (sizeof(node) + 2 * sizeof(void *)) + m_classes.bucket_count() * sizeof(void *);
}

} // namespace dandelionstall::coordination
