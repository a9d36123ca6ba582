// Learns run times per route and request size class, in bounded memory. Does no I/O and reads no clock; used from one thread.
//
// The estimate is the median of the last few runs of the class: it follows a change after a few runs and ignores single
// stragglers. Work that ended without an answer gives only a lower bound of the run time.
//
// Usage:
//   cost_model model(costLimits);
//   auto key = costKey(route, bytes);
//   auto cost = model.estimate(key, hint);
//   model.learn({.key = key, .startedAt = start, .endedAt = now, .answered = true});
#pragma once

#include <dandelionstall/state/types.h>

#include <array>
#include <unordered_map>
#include <vector>

namespace dandelionstall::coordination {

using cost_key = std::uint64_t; // hash of route name and size class

cost_key costKey(std::string_view route, std::size_t bodyBytes); // each size class covers a factor of 16 in the size of the request body

struct cost_sample {
    cost_key key = 0;
    state::time_point startedAt;
    state::time_point endedAt;
    bool answered = false; // false: the run ended without an answer, its time is a lower bound
};

struct cost_limits {
    std::size_t maxClasses = 256;               // maximum number of classes; the class that learned least recently is evicted
    std::chrono::microseconds fallback{10'000}; // estimate when there is neither a hint nor any sample
};

class cost_model
{
public:
    explicit cost_model(const cost_limits &limits);

    std::chrono::microseconds estimate(cost_key key, std::chrono::microseconds hint) const; // median of the class, else the hint if set, else typical()
    std::chrono::microseconds typical() const; // median of the recent runs of all classes; the fallback without samples
    void learn(const cost_sample &sample);
    state::time_point learnedAt(cost_key key) const; // time of the last sample of the class; epoch when there is none
    std::size_t size() const;                        // number of classes
    std::size_t bytes() const;                       // approximate memory use in bytes

private:
    static constexpr std::size_t WindowSamples = 15;

    // Ring buffer of the last runs of one class.
    struct window {
        std::array<std::uint32_t, WindowSamples> micros{}; // run times in microseconds
        std::uint32_t used = 0;                            // number of stored samples
        std::uint32_t next = 0;                            // index at which the next sample is stored
        std::chrono::microseconds median{0};               // median of the stored samples
        state::time_point learnedAt;                       // time of the last sample

        void add(std::chrono::microseconds cost, state::time_point now);
    };

    void evictIfFull();

    cost_limits m_limits;
    window m_all;
    std::unordered_map<cost_key, window> m_classes;
};

} // namespace dandelionstall::coordination
