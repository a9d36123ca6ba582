// Slots of a stand-in worker: a counting semaphore for coroutines of one thread, first come first served.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <list>

namespace dandelionstall::standins {

class slot_gate;

// Holds one slot until the end of its life; an empty lease holds none.
class slot_lease
{
public:
    slot_lease() = default;
    explicit slot_lease(slot_gate &gate);
    ~slot_lease();
    slot_lease(slot_lease &&other) noexcept;
    slot_lease &operator=(slot_lease &&other) noexcept;

    bool held() const;

private:
    slot_gate *m_gate = nullptr; // null when empty
};

class slot_gate
{
public:
    slot_gate(boost::asio::io_context &io, std::uint32_t slots);

    boost::asio::awaitable<slot_lease> enter(); // waits for a slot; empty when cancelled
    void leave();                               // gives the slot to the first waiter
    std::uint32_t busy() const;                 // slots in use
    std::size_t waiting() const;                // coroutines waiting

private:
    struct waiter {
        boost::asio::steady_timer wake; // cancelled to wake the waiter
        bool granted = false;
    };

    boost::asio::io_context &m_io;
    std::uint32_t m_slots;
    std::uint32_t m_busy = 0;
    std::list<waiter *> m_waiters;
};

} // namespace dandelionstall::standins
