// Requests per second as a moving average that weighs a request less the longer ago it came.
#pragma once

#include <dandelionstall/state/types.h>

#include <algorithm>
#include <cmath>

namespace dandelionstall::coordination {

class rate_meter
{
public:
    void add(double requests, std::chrono::duration<double> span, state::time_point now) // span: time by which a request has lost most of its weight
    {
        m_rate = at(span, now) + requests / span.count();
        m_at = now;
    }

    // Requests that came one by one in the time before.
    void addSpread(double requests, std::chrono::duration<double> over, std::chrono::duration<double> span, state::time_point now)
    {
        const double part = std::max(over.count(), 1e-3) / span.count();
        m_rate = at(span, now) + requests / span.count() * (1.0 - std::exp(-part)) / part;
        m_at = now;
    }

    double at(std::chrono::duration<double> span, state::time_point now) const
    {
        return m_rate * std::exp(-std::chrono::duration<double>(now - m_at).count() / span.count());
    }

private:
    double m_rate = 0.0; // at m_at
    state::time_point m_at;
};

} // namespace dandelionstall::coordination
