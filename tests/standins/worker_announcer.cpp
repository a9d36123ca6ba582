#include "worker_announcer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace dandelionstall::standins {

worker_announcer::worker_announcer(asio::io_context &io, announcement what)
    : m_io(io)
    , m_what(std::move(what))
    , m_bornMs(std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count())
    , m_connections(io, "")
{ }

void worker_announcer::start()
{
    if (!m_what.store.empty()) {
        asio::co_spawn(m_io, run(), asio::detached);
    }
}

std::string worker_announcer::entry(std::uint64_t sequence) const
{
    return boost::json::serialize(boost::json::object{{"service", m_what.service},
                                                      {"address", m_what.address},
                                                      {"zone", m_what.zone},
                                                      {"version", "v1"},
                                                      {"slots", m_what.slots},
                                                      {"state", "ready"},
                                                      {"coldRemainingMs", 0},
                                                      {"sequence", sequence},
                                                      {"born", m_bornMs}});
}

asio::awaitable<void> worker_announcer::run()
{
    for (std::uint64_t sequence = 1;; ++sequence) {
        http_request request(http::verb::put, "/_put/servers/" + m_what.id, 11);
        request.set(http::field::host, m_what.store);
        request.body() = entry(sequence);
        co_await m_connections.exchange(m_what.store, std::move(request), m_what.interval);
        co_await pauseFor(m_what.interval);
    }
}

} // namespace dandelionstall::standins
