// Learned run times per route and request size class, in bounded memory. Pure; used from one thread.
//
// The estimate is the median of the last few runs of the class: a few runs change it, and a straggler does not.
// Work that ended without an answer teaches only that a run takes at least that long.
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

using cost_key = std::uint64_t; // hash of route and size class

cost_key costKey(std::string_view route, std::size_t statedBytes); // size classes grow by factors of 16

struct cost_sample {
    cost_key key = 0;
    state::time_point startedAt;
    state::time_point endedAt;
    bool answered = false; // false: the run was cut short, its time is a lower bound
};

struct cost_limits {
    std::size_t maxClasses = 256;               // classes remembered; the one unused for longest makes room
    std::chrono::microseconds fallback{10'000}; // estimate when nothing at all is known
};

class cost_model
{
public:
    explicit cost_model(const cost_limits &limits);

    std::chrono::microseconds estimate(cost_key key, std::chrono::microseconds hint) const; // learned, else the hint, else the typical cost
    std::chrono::microseconds typical() const;                                              // median over recent runs of all classes
    void learn(const cost_sample &sample);
    state::time_point learnedAt(cost_key key) const; // when the class was last learned from; epoch when never
    std::size_t size() const;                        // classes remembered
    std::size_t bytes() const;                       // memory used, about

private:
    static constexpr std::size_t WindowSamples = 15;

    // The last runs of one class, overwritten in turn.
    struct window {
        std::array<std::uint32_t, WindowSamples> micros{}; // run times
        std::uint32_t used = 0;                            // samples held
        std::uint32_t next = 0;                            // place of the next sample
        std::chrono::microseconds median{0};               // of the samples held
        state::time_point learnedAt;                       // last sample

        void add(std::chrono::microseconds cost, state::time_point now);
    };

    void makeRoom();

    cost_limits m_limits;
    window m_all;
    std::unordered_map<cost_key, window> m_classes;
};

} // namespace dandelionstall::coordination
