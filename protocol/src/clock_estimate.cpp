#include <dandelionstall/protocol/clock_estimate.h>

#include <cassert>

namespace dandelionstall::protocol {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;

constexpr std::int64_t DriftPartsPerMillion = 200; // largest relative drift of two steady clocks
constexpr std::int64_t Million = 1'000'000;

} // namespace

void clock_estimate::recordExchange(state::time_point sentAt, state::time_point peerClock, state::time_point receivedAt)
{
    const auto roundTrip = duration_cast<microseconds>(receivedAt - sentAt);
    if (roundTrip < microseconds::zero()) {
        return;
    }
    if (m_hasEstimate && roundTrip / 2 > uncertainty(receivedAt)) {
        return;
    }
    const state::time_point middle = sentAt + (receivedAt - sentAt) / 2;
    m_offset = duration_cast<microseconds>(peerClock - middle);
    m_roundTrip = roundTrip;
    m_recordedAt = receivedAt;
    m_hasEstimate = true;
}

bool clock_estimate::hasEstimate() const
{
    return m_hasEstimate;
}

state::time_point clock_estimate::toPeerClock(state::time_point local, state::time_point now) const
{
    assert(m_hasEstimate && "toPeerClock() needs a recorded exchange");
    return local + m_offset - uncertainty(now);
}

microseconds clock_estimate::uncertainty(state::time_point now) const
{
    const auto age = duration_cast<microseconds>(now - m_recordedAt);
    return m_roundTrip / 2 + microseconds(age.count() * DriftPartsPerMillion / Million);
}

microseconds clock_estimate::roundTrip() const
{
    return m_roundTrip;
}

} // namespace dandelionstall::protocol
