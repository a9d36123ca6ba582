// Connections of one ingress to the nodes beside the workers: opened when needed, kept while used, closed when idle.
// Used from the ingress' thread.
#pragma once

#include "stream_reader.h"

#include <dandelionstall/protocol/clock_estimate.h>
#include <dandelionstall/state/settings.h>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>

namespace dandelionstall {

// An open connection to a node, with what is known about that node's clock and life.
struct peer_link {
    state::node_address node;                         // advertised address
    std::shared_ptr<transport::node_session> session; // open when handed out
    protocol::clock_estimate clock;                   // of the sidecar
    state::incarnation incarnation = 0;               // of the sidecar
    state::time_point nextClockExchangeAt;            // next exchange of clocks
};

class peer_directory
{
public:
    peer_directory(boost::asio::io_context &io, const state::settings &settings);

    // The link to a node; connects when there is none. Fails with transport errors before anything has been sent.
    boost::asio::awaitable<absl::StatusOr<std::shared_ptr<peer_link>>> connect(state::node_address node, state::time_point deadline);
    state::time_point lastContactAt(const state::node_address &node) const;                   // last bytes on the link to it; epoch without one
    void removeLink(const state::node_address &node, const std::shared_ptr<peer_link> &link); // forgets a link that has failed
    void closeIdle(state::time_point now);                                                    // ends links that were not used lately
    std::size_t size() const;                                                                 // open links

private:
    boost::asio::awaitable<absl::StatusOr<std::shared_ptr<peer_link>>> dial(state::node_address node, state::time_point deadline);
    boost::asio::awaitable<absl::Status> exchangeClock(std::shared_ptr<peer_link> link, state::time_point deadline);

    boost::asio::io_context &m_io;
    const state::settings &m_settings;
    std::map<state::node_address, std::shared_ptr<peer_link>> m_links;
    std::map<state::node_address, std::shared_ptr<boost::asio::steady_timer>> m_dialing; // cancelled when the dial ends
};

} // namespace dandelionstall
