// Follows the resident memory of the nodes of a fleet until it is destroyed.
#pragma once

#include "store_fleet.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

namespace dandelionstall::testing {

class memory_watch
{
public:
    explicit memory_watch(store_fleet &fleet)
        : m_peaks(fleet.size())
        , m_thread([this, &fleet] { follow(fleet); })
    { }

    ~memory_watch()
    {
        m_ended = true;
        m_thread.join();
    }

    std::size_t peakMebibytes(std::size_t node) const
    {
        return m_peaks[node] / Mebibyte;
    }

    std::size_t peakMebibytes() const // of the node with the highest peak
    {
        return *std::max_element(m_peaks.begin(), m_peaks.end()) / Mebibyte;
    }

private:
    static constexpr std::size_t Mebibyte = 1'048'576;
    static constexpr std::chrono::milliseconds Period{2};

    void follow(store_fleet &fleet)
    {
        while (!m_ended) {
            for (std::size_t i = 0; i < m_peaks.size(); ++i) {
                m_peaks[i] = std::max<std::size_t>(m_peaks[i], fleet.node(i).usage().residentBytes);
            }
            std::this_thread::sleep_for(Period);
        }
    }

    std::atomic<bool> m_ended{false};
    std::vector<std::atomic<std::size_t>> m_peaks; // bytes
    std::thread m_thread;
};

} // namespace dandelionstall::testing
