// Learns how long answers take and says when an attempt has become so late that another worker is the better choice.
// Pure; used from one thread.
//
// Made for workers that hang or have turned slow while they still look healthy: work that may be repeated is not left
// there until its deadline, when no other worker could do it in time any more.
#pragma once

#include <dandelionstall/state/types.h>

#include <map>
#include <string>
#include <string_view>

namespace dandelionstall::coordination {

struct running_attempt {
    std::string_view route;                    // route name
    state::time_point placedAt;                // sent to a node
    state::time_point deadline;                // of the request
    std::chrono::microseconds expectedWait{0}; // in the worker's queue, as last reported
    std::chrono::microseconds runTime{0};      // typical at the worker, as last reported; zero when not known
};

class answer_times
{
public:
    void noteAnswer(std::string_view route, state::duration time);  // from placing an attempt to the head of its answer, or to
                                                                    // giving it up: what is given up would have taken longer
    state::time_point lateAt(const running_attempt &attempt) const; // time_point::max(): wait for it to the end
    state::duration usual(std::string_view route) const;            // most answers take less; zero when little is known

private:
    struct route_times {
        std::uint32_t answers = 0;
        double high = 0.0; // seconds, the estimated quantile
    };

    std::map<std::string, route_times, std::less<>> m_routes;
};

} // namespace dandelionstall::coordination
