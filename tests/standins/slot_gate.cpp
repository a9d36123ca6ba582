#include "slot_gate.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace dandelionstall::standins {

namespace asio = boost::asio;

slot_lease::slot_lease(slot_gate &gate)
    : m_gate(&gate)
{ }

slot_lease::~slot_lease()
{
    if (m_gate != nullptr) {
        m_gate->release();
    }
}

slot_lease::slot_lease(slot_lease &&other) noexcept
    : m_gate(std::exchange(other.m_gate, nullptr))
{ }

slot_lease &slot_lease::operator=(slot_lease &&other) noexcept
{
    std::swap(m_gate, other.m_gate);
    return *this;
}

bool slot_lease::ownsSlot() const
{
    return m_gate != nullptr;
}

slot_gate::slot_gate(asio::io_context &io, std::uint32_t slots)
    : m_io(io)
    , m_slots(slots)
{ }

asio::awaitable<slot_lease> slot_gate::acquire()
{
    if (m_busy < m_slots) {
        ++m_busy;
        co_return slot_lease(*this);
    }
    waiter self{asio::steady_timer(m_io, asio::steady_timer::time_point::max())};
    m_waiters.push_back(&self);
    boost::system::error_code ignored;
    co_await self.wake.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (!self.granted) {
        m_waiters.remove(&self);
        co_return slot_lease();
    }
    co_return slot_lease(*this);
}

void slot_gate::release()
{
    if (m_waiters.empty()) {
        --m_busy;
        return;
    }
    waiter *next = m_waiters.front();
    m_waiters.pop_front();
    next->granted = true; // the waiter inherits the slot, so m_busy does not change
    next->wake.cancel();
}

std::uint32_t slot_gate::busy() const
{
    return m_busy;
}

std::size_t slot_gate::waiting() const
{
    return m_waiters.size();
}

} // namespace dandelionstall::standins
