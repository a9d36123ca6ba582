// Connections of one ingress or sidecar to the nodes whose sidecars serve the workers: opened on demand, reused, and closed when idle.
// Used only on the thread of its io_context.
#pragma once

#include "stream_reader.h"

#include <dandelionstall/protocol/clock_estimate.h>
#include <dandelionstall/state/settings.h>

#include <absl/status/statusor.h>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>

namespace dandelionstall {

// An open connection to a node, with the estimate of that node's clock and its incarnation.
struct peer_link {
    state::node_address node;                         // advertised address of the node
    std::shared_ptr<transport::node_session> session; // open when connect() returns the link
    protocol::clock_estimate clock;                   // estimate of the sidecar's clock
    state::incarnation incarnation = 0;               // incarnation of the sidecar; 0 before the first clock exchange
    state::time_point nextClockExchangeAt;            // earliest time of the next clock exchange
};

class peer_directory
{
public:
    peer_directory(boost::asio::io_context &io, const state::settings &settings);

    // Returns the open link to a node, or connects to it. A transport error means that no request was sent to the node.
    boost::asio::awaitable<absl::StatusOr<std::shared_ptr<peer_link>>> connect(state::node_address node, state::time_point deadline);
    state::time_point lastContactAt(const state::node_address &node) const; // last receipt of bytes on the link to the node; epoch without a link
    void removeLink(const state::node_address &node, const std::shared_ptr<peer_link> &link); // removes a failed link, unless a new one has replaced it
    void closeIdle(state::time_point now);                                                    // closes links idle for IdleLinkTimeout, removes closed ones
    std::size_t size() const;                                                                 // number of links

private:
    boost::asio::awaitable<absl::StatusOr<std::shared_ptr<peer_link>>> dial(state::node_address node, state::time_point deadline);
    boost::asio::awaitable<absl::Status> exchangeClock(std::shared_ptr<peer_link> link, state::time_point deadline);

    boost::asio::io_context &m_io;
    const state::settings &m_settings;
    std::map<state::node_address, std::shared_ptr<peer_link>> m_links;
    std::map<state::node_address, std::shared_ptr<boost::asio::steady_timer>> m_dialing; // timers cancelled when the dial to the node ends
};

} // namespace dandelionstall
