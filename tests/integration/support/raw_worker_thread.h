// A worker of a fleet that sends scripted bytes in place of answers, on a thread of the test. See transport/tests/raw_worker.h.
//
// Usage:
//   fleet.stopWorker(1);
//   raw_worker_thread worker(fleet.workerAddress(1), [](std::string_view) { return scripted_answer{...}; });
#pragma once

#include <raw_worker.h>

#include <thread>

namespace dandelionstall::testing {

class raw_worker_thread
{
public:
    raw_worker_thread(const state::node_address &address, transport::testing::answer_script script)
        : m_worker(m_io, address, std::move(script))
        , m_thread([this] { m_io.run(); })
    { }

    ~raw_worker_thread()
    {
        m_io.stop();
        m_thread.join();
    }

    std::size_t requests() const
    {
        return m_worker.requests;
    }

    std::size_t sentBytes() const
    {
        return m_worker.sentBytes;
    }

private:
    boost::asio::io_context m_io{1};
    transport::testing::raw_worker m_worker;
    std::thread m_thread;
};

} // namespace dandelionstall::testing
