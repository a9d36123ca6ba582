// What the organisations have used of a node since the last look, for logs. Does no I/O and reads no clock; used from one thread.
//
// Usage:
//   use.record(name, organisation_event::offered);
//   for (const organisation_count &count : use.consumeBusiest(4)) ...   // once in UseLinePeriod
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace dandelionstall::coordination {

inline constexpr std::chrono::seconds UseLinePeriod{5};
inline constexpr std::size_t UseLines = 4; // organisations with a line in each period

// What has happened to a request at this node.
enum class organisation_event {
    offered, // came with a key of the organisation
    limited, // refused, since the organisation is over its rate
    not_run, // ended otherwise with the proof that no worker ran it
    started, // the local worker began to run it, or a call of such a run
};

struct organisation_count {
    std::string organisation;
    std::uint64_t offered = 0;
    std::uint64_t limited = 0;
    std::uint64_t notRun = 0;
    std::uint64_t started = 0;
};

class organisation_use
{
public:
    void record(std::string_view organisation, organisation_event what);
    std::vector<organisation_count> consumeBusiest(std::size_t most); // those with the most requests first; forgets all

private:
    std::unordered_map<std::string, organisation_count> m_counts; // by name
};

} // namespace dandelionstall::coordination
