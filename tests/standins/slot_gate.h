// Slots of a stand-in worker: a FIFO counting semaphore for coroutines of one thread.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>

namespace dandelionstall::standins {

class slot_gate;

// Owns one slot and releases it on destruction; an empty lease owns none.
class slot_lease
{
public:
    slot_lease() = default;
    explicit slot_lease(slot_gate &gate);
    ~slot_lease();
    slot_lease(slot_lease &&other) noexcept;
    slot_lease &operator=(slot_lease &&other) noexcept;

    bool ownsSlot() const;

private:
    slot_gate *m_gate = nullptr; // null for an empty lease
};

class slot_gate
{
public:
    slot_gate(boost::asio::io_context &io, std::uint32_t slots);

    boost::asio::awaitable<slot_lease> acquire(); // waits for a slot; returns an empty lease when cancelled
    void release();                               // passes the slot to the first waiter, if any
    std::uint32_t busy() const;                   // returns the number of slots in use
    std::size_t waiting() const;                  // returns the number of waiting coroutines

private:
    struct waiter {
        boost::asio::steady_timer wake; // never expires; cancelled to wake the waiter
        bool granted = false;
    };

    boost::asio::io_context &m_io;
    std::uint32_t m_slots;
    std::uint32_t m_busy = 0;
    std::list<waiter *> m_waiters;
};

} // namespace dandelionstall::standins
