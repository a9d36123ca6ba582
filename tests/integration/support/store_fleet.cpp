#include "store_fleet.h"

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <sstream>
#include <stdexcept>
#include <unistd.h>

namespace dandelionstall::testing {

using boost::asio::ip::tcp;

namespace {

constexpr unsigned NodePort = 7400;
constexpr unsigned CallersPort = 7480;
constexpr unsigned ReadyPort = 7481;
constexpr unsigned AdministrationPort = 7490;
constexpr unsigned WorkerPort = 9000;
constexpr std::size_t FirstNodeHost = 10;

} // namespace

store_fleet::store_fleet(std::size_t nodes, std::size_t dataCentres)
    : m_prefix(fmt::format("127.{}.{}.", 64 + (static_cast<unsigned>(getpid()) / 256) % 128, static_cast<unsigned>(getpid()) % 256))
    , m_dataCentres(dataCentres)
    , m_nodes(nodes)
    , m_workers(nodes)
{
    m_storeAddress = ip(1) + ":8500";
    m_store = child_process(programPath("standin_keyed_store"), {"--listen", m_storeAddress}, m_directory.path("store.log"));
    awaitPort(m_store);
}

// [SECTION] Processes

std::size_t store_fleet::size() const
{
    return m_nodes.size();
}

void store_fleet::start()
{
    configure(1, "read");
    for (std::size_t i = 0; i < size(); ++i) {
        startWorker(i, fmt::format("w{}", i));
        announce(i, fmt::format("w{}", i));
        startNode(i);
    }
    for (std::size_t i = 0; i < size(); ++i) {
        if (!waitUntil([&] { return isReady(i); })) {
            throw std::runtime_error(fmt::format("node {} did not become ready: {}", i, m_nodes[i].output()));
        }
    }
}

void store_fleet::startNode(std::size_t index)
{
    const std::string at = nodeIp(index);
    std::string text = fmt::format("[node]\nname = node-{}\ndata_centre = dc-{}\nregion = here\nlisten = {}:{}\n", index, index % m_dataCentres, at, NodePort);
    text += fmt::format(
        "callers = {}:{}\nadmin = {}:{}\nready = {}:{}\nown_pool = orders\nstop_grace = 6s\n", at, CallersPort, at, AdministrationPort, at, ReadyPort);
    text += fmt::format("[platform]\nkind = keyed_store\nconfig_service = {}\nbound.drainMs = 2000\nbound.retryBudgetSlack = 56\n", m_storeAddress);
    text += fmt::format("[discovered_worker]\npool = orders\naddress = {}:{}\n", at, WorkerPort);
    text += "[headers]\nrequest_id = Attempt-Id\ntime_left = Deadline-Remaining\norigin_pool = Caller-Service\n";
    text += "expected_worker = Expect-Instance\nnot_run = Not-Executed\nseal = Server-Stamp\nrate_limit = Server-Limit\nleaving = Server-Leaving\n";
    text += "api_key = Api-Key\norganisation = Tenant-Id\n";
    const std::string settings = m_directory.write(fmt::format("node-{}.ini", index), text);
    m_nodes[index] = child_process(programPath("dandelionstall"), {"--config", settings}, nodeLog(index));
}

bool store_fleet::isReady(std::size_t index) const
{
    return getHttp(fmt::format("{}:{}", nodeIp(index), ReadyPort), "/ready").status == 200;
}

void store_fleet::addWorkerArguments(const std::vector<std::string> &arguments)
{
    m_workerArguments.insert(m_workerArguments.end(), arguments.begin(), arguments.end());
}

void store_fleet::startWorker(std::size_t index, const std::string &id)
{
    const std::string address = fmt::format("{}:{}", nodeIp(index), WorkerPort);
    m_workers[index].kill(); // an earlier one has the address
    std::vector<std::string> arguments{"--listen",
                                       address,
                                       "--name",
                                       id,
                                       "--echo",
                                       "Attempt-Id",
                                       "--seal",
                                       "Server-Stamp",
                                       "--identity",
                                       "Expect-Instance",
                                       "--not-run",
                                       "Not-Executed",
                                       "--rate-limit",
                                       "Server-Limit",
                                       "--leaving",
                                       "Server-Leaving"};
    arguments.insert(arguments.end(), m_workerArguments.begin(), m_workerArguments.end());
    m_workers[index] = child_process(programPath("standin_worker"), arguments, m_directory.path(fmt::format("worker-{}.log", index)));
    awaitPort(m_workers[index]);
}

void store_fleet::stopWorker(std::size_t index)
{
    m_workers[index].kill();
}

// [SECTION] Platform

void store_fleet::announce(std::size_t index, const std::string &id, const std::string &state, std::uint64_t born, std::size_t slots, std::uint64_t sequence)
{
    const std::string entry = fmt::format(
        R"({{"service":"orders","address":"{}:{}","zone":"dc-{}","version":"v1","slots":{},"state":"{}","coldRemainingMs":0,"sequence":{},"born":{}}})",
        nodeIp(index),
        WorkerPort,
        index % m_dataCentres,
        slots,
        state,
        sequence,
        born);
    command(m_storeAddress, "/_put/servers/" + id, entry);
}

void store_fleet::removeEntry(const std::string &id) const
{
    command(m_storeAddress, "/_remove/servers/" + id, "");
}

void store_fleet::writeEntry(const std::string &id, const std::string &value) const
{
    command(m_storeAddress, "/_put/servers/" + id, value);
}

void store_fleet::configure(std::uint64_t version, const std::string &path, std::chrono::milliseconds timeout)
{
    writeConfiguration(
        fmt::format(R"({{"version":{},"services":[{{"name":"orders"}}],"virtualHosts":[{{"host":"shop.example","paths":[)"
                    R"({{"name":"read","prefix":"/{}/","kind":"idempotent","timeoutMs":{},"priority":2,"service":"orders","maxAttempts":2}},)"
                    R"({{"name":"book","prefix":"/book/","kind":"non_idempotent","timeoutMs":{},"priority":1,"service":"orders","maxAttempts":2}}]}}]}})",
                    version,
                    path,
                    timeout.count(),
                    timeout.count()));
}

void store_fleet::writeConfiguration(const std::string &document) const
{
    command(m_storeAddress, "/_put/op/config", document);
}

void store_fleet::setStoreFault(const std::string &lines) const
{
    command(m_storeAddress, "/_fault", lines);
}

void store_fleet::cutWatches() const
{
    command(m_storeAddress, "/_cut", "");
}

void store_fleet::rewindStore(std::chrono::milliseconds age) const
{
    command(m_storeAddress, "/_rewind", std::to_string(age.count()));
}

void store_fleet::heartbeat(int times)
{
    for (int i = 0; i < times; ++i) {
        for (std::size_t index = 0; index < size(); ++index) {
            announce(index, fmt::format("w{}", index));
        }
    }
}

void store_fleet::setWorkerFault(std::size_t index, const std::string &lines) const
{
    command(fmt::format("{}:{}", nodeIp(index), WorkerPort), "/_fault", lines);
}

// [SECTION] Requests

std::string store_fleet::request(std::size_t index,
                                 const std::string &method,
                                 const std::string &path,
                                 const std::string &id,
                                 const std::string &version,
                                 const std::string &body,
                                 const std::string &headers) const
{
    boost::asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(tcp::endpoint(boost::asio::ip::make_address(nodeIp(index)), CallersPort), error);
    const std::string text = fmt::format("{} {} HTTP/{}\r\nHost: shop.example\r\nAttempt-Id: {}\r\nX-Request-Id: {}\r\nDeadline-Remaining: "
                                         "1500\r\nContent-Length: {}\r\nConnection: close\r\n{}\r\n{}",
                                         method,
                                         path,
                                         version,
                                         id,
                                         id,
                                         body.size(),
                                         headers,
                                         body);
    boost::asio::write(socket, boost::asio::buffer(text), error);
    std::string answer;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
    return answer;
}

std::string store_fleet::statusOf(std::size_t index, const std::string &path, const std::string &headers) const
{
    return request(index, "GET", path, "probe", "1.1", {}, headers).substr(0, 12);
}

// [SECTION] Evidence

std::size_t store_fleet::runsAt(std::size_t index) const
{
    const std::string log = workerLog(index);
    std::size_t count = 0;
    for (std::size_t at = log.find("start "); at != std::string::npos; at = log.find("start ", at + 1)) {
        ++count;
    }
    return count;
}

std::string store_fleet::workerLog(std::size_t index) const
{
    return m_workers[index].output();
}

std::string store_fleet::linesWith(const std::string &text) const
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

std::vector<std::size_t> store_fleet::endlessBytes() const
{
    std::string log = m_store.output();
    for (const child_process &worker : m_workers) {
        log += worker.output();
    }
    std::vector<std::size_t> bytes;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("endless - ")) {
            bytes.push_back(std::stoul(line.substr(10)));
        }
    }
    return bytes;
}

// [SECTION] Addresses

std::string store_fleet::ip(std::size_t host) const
{
    return m_prefix + std::to_string(host);
}

std::string store_fleet::nodeIp(std::size_t index) const
{
    return ip(FirstNodeHost + index);
}

std::string store_fleet::callers(std::size_t index) const
{
    return fmt::format("{}:{}", nodeIp(index), CallersPort);
}

std::string store_fleet::nodeLog(std::size_t index) const
{
    return m_directory.path(fmt::format("node-{}.log", index));
}

std::string store_fleet::admin(std::size_t index) const
{
    return fmt::format("{}:{}", nodeIp(index), AdministrationPort);
}

state::node_address store_fleet::workerAddress(std::size_t index) const
{
    return {nodeIp(index), WorkerPort};
}

child_process &store_fleet::node(std::size_t index)
{
    return m_nodes[index];
}

} // namespace dandelionstall::testing
