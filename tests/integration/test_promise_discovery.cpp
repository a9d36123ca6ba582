// A fleet on a platform with a key-value store: workers announce themselves there, one document holds the configuration,
// and nodes only read from the store.
//
// Promises: a node is not ready before it can serve; leaving workers receive no new requests after two seconds; a
// configuration is in force on all nodes within two seconds, also when the store is unavailable to some nodes or has
// dropped its history; nodes keep serving without the store; the cause of a failed request can be found in the logs by
// the request's id.
//
// Mechanisms: key_value_source, worker_directory, worker_dissemination, and the sidecar that follows its worker's
// announcement.
#include "expect.h"

#include <boost/asio.hpp>
#include <criterion/criterion.h>
#include <fmt/format.h>
#include <unistd.h>

using namespace dandelionstall::testing;
using boost::asio::ip::tcp;

namespace {

constexpr unsigned NodePort = 7400;
constexpr unsigned CallersPort = 7480;
constexpr unsigned ReadyPort = 7481;
constexpr unsigned AdministrationPort = 7490;
constexpr unsigned WorkerPort = 9000;
constexpr std::size_t Nodes = 4;
constexpr std::chrono::seconds InForceTime{2}; // limit for a new configuration or a leaving worker, counted from the store's acknowledgement

// Four nodes with one worker each, and the key-value store.
class store_fleet
{
public:
    store_fleet()
        : m_prefix(fmt::format("127.{}.{}.", 64 + (static_cast<unsigned>(getpid()) / 256) % 128, static_cast<unsigned>(getpid()) % 256))
    {
        m_storeAddress = ip(1) + ":8500";
        m_store = child_process(programPath("standin_keyed_store"), {"--listen", m_storeAddress}, m_directory.path("store.log"));
        awaitPort(m_store);
    }

    std::string ip(std::size_t host) const
    {
        return m_prefix + std::to_string(host);
    }

    std::string nodeIp(std::size_t index) const
    {
        return ip(10 + index);
    }

    void startNode(std::size_t index)
    {
        const std::string at = nodeIp(index);
        std::string text = fmt::format("[node]\nname = node-{}\ndata_centre = dc-{}\nregion = here\nlisten = {}:{}\n", index, index % 2, at, NodePort);
        text += fmt::format(
            "callers = {}:{}\nadmin = {}:{}\nready = {}:{}\nown_pool = orders\nstop_grace = 6s\n", at, CallersPort, at, AdministrationPort, at, ReadyPort);
        text += fmt::format("[platform]\nkind = keyed_store\nconfig_service = {}\nbound.drainMs = 2000\nbound.retryBudgetSlack = 56\n", m_storeAddress);
        text += fmt::format("[discovered_worker]\npool = orders\naddress = {}:{}\n", at, WorkerPort);
        text += "[headers]\nrequest_id = Attempt-Id\ntime_left = Deadline-Remaining\norigin_pool = Caller-Service\n";
        text += "expected_worker = Expect-Instance\nnot_run = Not-Executed\nseal = Server-Stamp\n";
        const std::string settings = m_directory.write(fmt::format("node-{}.ini", index), text);
        m_nodes[index] = child_process(programPath("dandelionstall"), {"--config", settings}, nodeLog(index));
    }

    void startWorker(std::size_t index, const std::string &id)
    {
        m_workers[index] = child_process(programPath("standin_worker"),
                                         {"--listen",
                                          fmt::format("{}:{}", nodeIp(index), WorkerPort),
                                          "--name",
                                          id,
                                          "--echo",
                                          "Attempt-Id",
                                          "--seal",
                                          "Server-Stamp",
                                          "--identity",
                                          "Expect-Instance",
                                          "--not-run",
                                          "Not-Executed"},
                                         m_directory.path(fmt::format("worker-{}.log", index)));
        awaitPort(m_workers[index]);
    }

    void announce(std::size_t index, const std::string &id, const std::string &state = "ready", std::uint64_t born = 1)
    {
        const std::string entry = fmt::format(
            R"({{"service":"orders","address":"{}:{}","zone":"dc-{}","version":"v1","slots":3,"state":"{}","coldRemainingMs":0,"sequence":1,"born":{}}})",
            nodeIp(index),
            WorkerPort,
            index % 2,
            state,
            born);
        command(m_storeAddress, "/_put/servers/" + id, entry);
    }

    void configure(std::uint64_t version, const std::string &path)
    {
        command(
            m_storeAddress,
            "/_put/op/config",
            fmt::format(R"({{"version":{},"services":[{{"name":"orders"}}],"virtualHosts":[{{"host":"shop.example","paths":[)"
                        R"({{"name":"read","prefix":"/{}/","kind":"idempotent","timeoutMs":2000,"priority":2,"service":"orders","maxAttempts":2}},)"
                        R"({{"name":"book","prefix":"/book/","kind":"non_idempotent","timeoutMs":2000,"priority":1,"service":"orders","maxAttempts":2}}]}}]}})",
                        version,
                        path));
    }

    void start()
    {
        configure(1, "read");
        for (std::size_t i = 0; i < Nodes; ++i) {
            startWorker(i, fmt::format("w{}", i));
            announce(i, fmt::format("w{}", i));
            startNode(i);
        }
        for (std::size_t i = 0; i < Nodes; ++i) {
            cr_assert(waitUntil([&] { return isReady(i); }), "node %zu did not become ready: %s", i, m_nodes[i].output().c_str());
        }
    }

    bool isReady(std::size_t index) const
    {
        return getHttp(fmt::format("{}:{}", nodeIp(index), ReadyPort), "/ready").status == 200;
    }

    // Sends one request with the given id and returns its whole answer, header included.
    std::string request(std::size_t index, const std::string &method, const std::string &path, const std::string &id) const
    {
        boost::asio::io_context io;
        tcp::socket socket(io);
        boost::system::error_code error;
        socket.connect(tcp::endpoint(boost::asio::ip::make_address(nodeIp(index)), CallersPort), error);
        const std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {}\r\nX-Request-Id: {}\r\nDeadline-Remaining: "
                                             "1500\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
                                             method,
                                             path,
                                             id,
                                             id);
        boost::asio::write(socket, boost::asio::buffer(text), error);
        std::string answer;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        return answer;
    }

    std::string statusOf(std::size_t index, const std::string &path) const
    {
        return request(index, "GET", path, "probe").substr(0, 12);
    }

    void setStoreFault(const std::string &lines) const
    {
        command(m_storeAddress, "/_fault", lines);
    }

    void setWorkerFault(std::size_t index, const std::string &lines) const
    {
        command(fmt::format("{}:{}", nodeIp(index), WorkerPort), "/_fault", lines);
    }

    void removeEntry(const std::string &id) const
    {
        command(m_storeAddress, "/_remove/servers/" + id, "");
    }

    std::size_t runsAt(std::size_t index) const
    {
        const std::string log = m_workers[index].output();
        std::size_t count = 0;
        for (std::size_t at = log.find("start "); at != std::string::npos; at = log.find("start ", at + 1)) {
            ++count;
        }
        return count;
    }

    std::string linesWith(const std::string &text) const
    {
        std::string found;
        for (const child_process &node : m_nodes) {
            const std::string log = node.output();
            for (std::size_t begin = 0; begin < log.size();) {
                const std::size_t end = std::min(log.find('\n', begin), log.size());
                const std::string line = log.substr(begin, end - begin);
                if (line.find(text) != std::string::npos) {
                    found += line + "\n";
                }
                begin = end + 1;
            }
        }
        return found;
    }

    child_process &node(std::size_t index)
    {
        return m_nodes[index];
    }

private:
    std::string nodeLog(std::size_t index) const
    {
        return m_directory.path(fmt::format("node-{}.log", index));
    }

    temporary_directory m_directory;
    std::string m_prefix;
    std::string m_storeAddress;
    child_process m_store;
    std::array<child_process, Nodes> m_nodes;
    std::array<child_process, Nodes> m_workers;
};

} // namespace

Test(discovery, applies_the_store_and_keeps_serving_without_it)
{
    store_fleet fleet;
    fleet.start();
    for (std::size_t i = 0; i < Nodes; ++i) {
        const std::string answer = fleet.request(i, "POST", "/book/1", fmt::format("calm-{}", i));
        cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
        cr_assert(answer.find(fmt::format("Attempt-Id: calm-{}", i)) != std::string::npos, "%s", answer.c_str());
        cr_assert(fleet.statusOf(i, "/unknown/1") == "HTTP/1.1 404");
    }
    // A new version is in force on all nodes within the limit, also on a node whose requests the store refuses.
    fleet.setStoreFault("refuse=" + fleet.nodeIp(0));
    fleet.configure(5, "lookup");
    for (std::size_t i = 0; i < Nodes; ++i) {
        cr_assert(waitUntil([&] { return fleet.statusOf(i, "/lookup/1") == "HTTP/1.1 200"; }, InForceTime), "node %zu", i);
        cr_assert(fleet.statusOf(i, "/read/1") == "HTTP/1.1 404");
    }
    // The store drops its history before the next version is written.
    fleet.setStoreFault("compact=yes");
    fleet.configure(9, "search");
    for (std::size_t i = 0; i < Nodes; ++i) {
        cr_assert(waitUntil([&] { return fleet.statusOf(i, "/search/1") == "HTTP/1.1 200"; }, 2 * InForceTime), "node %zu", i);
    }
    // Nodes keep serving without the store, and a restarted node receives configuration and workers from its peers.
    fleet.setStoreFault("silent=yes");
    fleet.node(2).kill();
    fleet.startNode(2);
    cr_assert(waitUntil([&] { return fleet.isReady(2); }), "%s", fleet.node(2).output().c_str());
    for (std::size_t i = 0; i < Nodes; ++i) {
        cr_assert(fleet.statusOf(i, "/search/1") == "HTTP/1.1 200");
    }
}

Test(discovery, follows_leaving_and_replaced_workers)
{
    store_fleet fleet;
    fleet.start();
    fleet.announce(1, "w1", "draining");
    usleep(std::chrono::duration_cast<std::chrono::microseconds>(InForceTime).count());
    const std::size_t runsAfterDrain = fleet.runsAt(1);
    for (int i = 0; i < 30; ++i) {
        cr_assert(fleet.statusOf(static_cast<std::size_t>(i) % Nodes, "/read/1") == "HTTP/1.1 200");
    }
    cr_assert(fleet.runsAt(1) == runsAfterDrain, "a leaving worker received %zu requests", fleet.runsAt(1) - runsAfterDrain);
    // Another worker with a different id starts at the same address while the entry of the first one still exists. The
    // other node of its data centre sends it requests.
    fleet.startWorker(1, "w1b");
    fleet.announce(1, "w1b", "ready", 2);
    cr_assert(waitUntil([&] { return fleet.statusOf(3, "/read/1") == "HTTP/1.1 200" && fleet.runsAt(1) > 0; }));
    fleet.removeEntry("w1");
    fleet.removeEntry("w1b");
    usleep(std::chrono::duration_cast<std::chrono::microseconds>(InForceTime).count());
    const std::size_t runsAfterRemoval = fleet.runsAt(1);
    for (int i = 0; i < 20; ++i) {
        cr_assert(fleet.statusOf(static_cast<std::size_t>(i) % Nodes, "/read/1") == "HTTP/1.1 200");
    }
    cr_assert(fleet.runsAt(1) == runsAfterRemoval);
}

Test(discovery, is_not_ready_before_it_can_serve)
{
    store_fleet fleet;
    fleet.startWorker(0, "w0");
    fleet.startNode(0);
    const std::string callers = fmt::format("{}:{}", fleet.nodeIp(0), CallersPort);
    cr_assert(waitUntil([&] { return getHttp(callers, "/read/1").status == 503; }));
    cr_assert(not(fleet.isReady(0)));
    fleet.announce(0, "w0");
    fleet.configure(3, "read");
    cr_assert(waitUntil([&] { return fleet.isReady(0); }));
    cr_assert(fleet.statusOf(0, "/read/1") == "HTTP/1.1 200");
}

// The three procedures of docs/OPERATIONS.md that lead from the id of a failed request to its cause by logs alone.
Test(discovery, logs_lead_from_a_request_id_to_its_cause)
{
    store_fleet fleet;
    fleet.start();
    for (std::size_t i = 0; i < Nodes; ++i) {
        fleet.setWorkerFault(i, "shed=1.0");
    }
    cr_assert(fleet.request(0, "POST", "/book/1", "walk-refused").starts_with("HTTP/1.1 503"));
    for (std::size_t i = 0; i < Nodes; ++i) {
        fleet.setWorkerFault(i, "fail=1.0");
    }
    cr_assert(fleet.request(1, "POST", "/book/1", "walk-failed").starts_with("HTTP/1.1 500"));
    cr_assert(fleet.request(2, "GET", "/nowhere/1", "walk-config").starts_with("HTTP/1.1 404"));

    const auto found = [&](const std::string &id, const std::string &text) {
        return waitUntil([&] { return fleet.linesWith("request=" + id).find(text) != std::string::npos; });
    };
    cr_assert(found("walk-refused", "name=request_refused"));
    cr_assert(found("walk-refused", "refusal=worker_shed run=not_run"));
    cr_assert(found("walk-refused", "name=attempt_broken"));
    cr_assert(found("walk-failed", "name=request_answered"));
    cr_assert(found("walk-failed", "end=answered status=500"));
    cr_assert(waitUntil([&] { return not(fleet.linesWith("name=worker_doubtful").empty()); }));
    cr_assert(found("walk-config", "reason=no_route"));
    cr_assert(found("walk-config", "revision=1"));
    cr_assert(not(fleet.linesWith("name=config_accepted").empty()));
}
