// Promise: a process of the fleet stops by graceful shutdown, which aborts no request in flight.
//
// Mechanism: a stopping node announces that it is leaving, keeps serving while the other nodes receive the announcement,
// closes callers' connections with "Connection: close" and exits when no request is in flight. Without the wait, requests
// are aborted.
#include "expect.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>

#include <csignal>
#include <thread>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

constexpr std::chrono::seconds StopCap{20};

// Callers connect without the fault proxy, which cannot pass on refused connections.
fleet_plan directCallers()
{
    fleet_plan plan = threeDataCentres();
    plan.proxyCallers = false;
    return plan;
}

void stopAndExpectSuccess(fleet &fleet, std::size_t index)
{
    fleet.node(index).process.signal(SIGTERM);
    cr_assert(fleet.node(index).process.awaitExit(StopCap), "%s is still running", fleet.node(index).name.c_str());
    cr_assert_eq(fleet.node(index).process.exitCode(), 0, "exit code %d", fleet.node(index).process.exitCode());
}

} // namespace

Test(graceful_stop, all_nodes_replaced_one_at_a_time_under_load)
{
    fleet fleet(directCallers());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(36, 80, {{"cost_ms", "50"}}));
    for (std::size_t i = 0; i < fleet.nodeCount(); ++i) {
        stopAndExpectSuccess(fleet, i);
        fleet.startNode(i);
        cr_assert(fleet.awaitReady(i));
    }
    check_input evidence = fleet.evidence(load.finish());
    evidence.cutsAllowed = false;
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.99);
    expectUseful(evidence.calls, "book", 0.99);
}

Test(graceful_stop, second_signal_does_not_abort_long_requests)
{
    fleet_plan plan = directCallers();
    plan.routes[1].settings["timeout"] = "10s";
    fleet fleet(plan);
    fleet.start();
    const std::string longWork = phase(1, 8) + bookings({{"cost_ms", "6000"}, {"deadline_ms", "10000"}});
    load_job load = fleet.startLoad(longWork, {1});
    fleet.awaitRuns(6);
    fleet.node(1).process.signal(SIGTERM);
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    stopAndExpectSuccess(fleet, 1);
    check_input evidence = fleet.evidence(load.finish());
    evidence.cutsAllowed = false;
    expectStarted(evidence, 6);
    expectClean(fleet, evidence);
}

Test(graceful_stop, stops_with_a_dead_peer_and_without_the_configuration_service)
{
    fleet fleet(directCallers());
    fleet.start();
    load_job load = fleet.startLoad(mixedLoad(8, 60), {0, 1, 2, 3});
    fleet.awaitRuns(60);
    fleet.stopConfigService();
    fleet.node(5).process.kill();
    stopAndExpectSuccess(fleet, 1);
    check_input evidence = fleet.evidence(load.finish());
    evidence.cutsAllowed = false; // the killed node had no callers
    expectClean(fleet, evidence);
    expectUseful(evidence.calls, "lookup", 0.95);
}

// A connection is established before the node accepts it. The node is paused around the time at which it stops listening, so that many
// are waiting then; each has sent its request.
Test(graceful_stop, connections_that_wait_to_be_accepted_are_served)
{
    using boost::asio::ip::tcp;
    constexpr std::size_t Connections = 40;
    constexpr std::chrono::milliseconds PausedAt{2500}; // after SIGTERM; the node stops listening after 3 s
    constexpr std::chrono::milliseconds PauseTime{1000};
    fleet fleet(directCallers());
    fleet.start();
    const std::string request = "GET /lookup HTTP/1.1\r\nHost: x\r\nX-Test-Cost-Ms: 5\r\n\r\n";
    child_process &node = fleet.node(1).process;
    node.signal(SIGTERM);
    std::this_thread::sleep_for(PausedAt);
    node.signal(SIGSTOP);
    boost::asio::io_context io;
    std::vector<tcp::socket> sockets;
    for (std::size_t i = 0; i < Connections; ++i) {
        sockets.emplace_back(io);
        sockets.back().connect(tcp::endpoint(boost::asio::ip::make_address(fleet.node(1).ip), CallerPort));
        boost::asio::write(sockets.back(), boost::asio::buffer(request));
    }
    std::this_thread::sleep_for(PauseTime);
    node.signal(SIGCONT);
    std::size_t served = 0;
    std::string others;
    for (tcp::socket &socket : sockets) {
        std::string answer;
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        const bool isServed = answer.starts_with("HTTP/1.1 200");
        served += isServed ? 1 : 0;
        others += isServed ? "" : "\n[" + error.message() + "] " + answer;
    }
    cr_assert_eq(served, Connections, "%zu of %zu requests served; the others:%s\n%s", served, Connections, others.c_str(), fleet.nodeLogs().c_str());
    cr_assert(node.awaitExit(StopCap));
}
