#include "lab.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr std::uint16_t StorePort = 8142;
constexpr std::uint16_t NodePort = 7380;
constexpr std::uint16_t ReadyPort = 8141;
constexpr std::uint16_t WorkerPort = 8145;
constexpr std::uint16_t CallersPort = 8147;
constexpr std::uint16_t AdminPort = 9464;
constexpr std::size_t FirstHost = 10;
constexpr milliseconds BeatInterval{1500};
constexpr milliseconds StartSpread{300}; // machines, and with them their workers, start within this
constexpr milliseconds WorkerIdle{10'000};
constexpr milliseconds AnswerTimeout{5000};
constexpr int Backlog = 256;

sockaddr_in addressOf(const std::string &ip, std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string parameterOf(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    std::istringstream parts(query == std::string::npos ? std::string() : target.substr(query + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        if (part.starts_with(name + "=")) {
            return part.substr(name.size() + 1);
        }
    }
    return {};
}

std::string unescape(const std::string &text)
{
    std::string out;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            out += text[i];
        }
    }
    return out;
}

std::string base64(const std::string &in)
{
    constexpr std::string_view Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (i + j < in.size() ? static_cast<std::uint8_t>(in[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j <= in.size() ? Digits[(group >> (18U - 6U * static_cast<std::uint32_t>(j))) & 63U] : '=';
        }
    }
    return out;
}

std::uint64_t numberOf(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string describeItem(const std::string &key, const std::string &value, std::uint64_t revision)
{
    return "{\"key\":\"" + key + "\",\"value\":\"" + base64(value) + "\",\"rev\":" + std::to_string(revision) + ",\"created\":" + std::to_string(revision)
           + ",\"lease\":0}";
}

void replaceAll(std::string &text, const std::string &from, const std::string &to)
{
    for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
}

// Replaces the section of the template between "{{#name}}" (or "{{^name}}") and "{{/name}}".
void replaceSection(std::string &text, const std::string &mark, const std::string &name, const std::function<std::string(const std::string &)> &render)
{
    const std::string opening = "{{" + mark + name + "}}";
    const std::string closing = "{{/" + name + "}}";
    const std::size_t open = text.find(opening);
    const std::size_t close = open == std::string::npos ? open : text.find(closing, open);
    if (close == std::string::npos) {
        throw std::runtime_error("the template lacks the section " + name);
    }
    const std::string inside = text.substr(open + opening.size(), close - open - opening.size());
    text.replace(open, close + closing.size() - open, render(inside));
}

// Returns the text of an entry without its sequence: an entry changes when more than that changes.
std::string withoutSequence(const std::string &entry)
{
    constexpr std::string_view Name = "\"sequence\":";
    const std::size_t begin = entry.find(Name);
    if (begin == std::string::npos) {
        return entry;
    }
    const std::size_t end = std::min(entry.find_first_not_of("0123456789", begin + Name.size()), entry.size());
    return entry.substr(0, begin) + entry.substr(end);
}

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

} // namespace

// [SECTION] HTTP

std::string http_message::find(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (key.size() == name.size() && strncasecmp(key.data(), name.data(), name.size()) == 0) {
            return value;
        }
    }
    return {};
}

connection::connection(int socket)
    : m_socket(socket)
{
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

connection::~connection()
{
    ::close(m_socket);
}

std::shared_ptr<connection> connection::open(const std::string &ip, std::uint16_t port, const std::string &fromIp)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in from = addressOf(fromIp, 0);
    sockaddr_in to = addressOf(ip, port);
    const bool isBound = ::bind(socket, reinterpret_cast<sockaddr *>(&from), sizeof(from)) == 0;
    if (!isBound || ::connect(socket, reinterpret_cast<sockaddr *>(&to), sizeof(to)) != 0) {
        ::close(socket);
        return nullptr;
    }
    return std::make_shared<connection>(socket);
}

bool connection::fill(time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now());
    pollfd waited{m_socket, POLLIN, 0};
    if (left.count() <= 0 || ::poll(&waited, 1, static_cast<int>(left.count())) <= 0) {
        return false;
    }
    std::array<char, 65'536> buffer{};
    const ssize_t bytes = ::recv(m_socket, buffer.data(), buffer.size(), 0);
    if (bytes <= 0) {
        return false;
    }
    m_input.append(buffer.data(), static_cast<std::size_t>(bytes));
    return true;
}

bool connection::read(http_message &message, milliseconds timeout)
{
    const time_point until = clock::now() + timeout;
    message = {};
    std::size_t end = m_input.find("\r\n\r\n");
    while (end == std::string::npos) {
        if (!fill(until)) {
            return false;
        }
        end = m_input.find("\r\n\r\n");
    }
    std::istringstream lines(m_input.substr(0, end));
    for (std::string line; std::getline(lines, line);) {
        if (line.ends_with('\r')) {
            line.pop_back();
        }
        const std::size_t colon = line.find(':');
        if (message.first.empty()) {
            message.first = line;
        } else if (colon != std::string::npos) {
            const std::size_t value = line.find_first_not_of(' ', colon + 1);
            message.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
    }
    m_input.erase(0, end + 4);
    const std::size_t length = numberOf(message.find("Content-Length")); // the nodes send whole answers of the stand-ins with a length
    while (m_input.size() < length) {
        if (!fill(until)) {
            return false;
        }
    }
    message.body = m_input.substr(0, length);
    m_input.erase(0, length);
    return true;
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::isPeerClosed() const
{
    char byte = 0;
    const ssize_t bytes = ::recv(m_socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return bytes == 0 || (bytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::cut()
{
    ::shutdown(m_socket, SHUT_RDWR);
}

void connection::reset()
{
    const linger now{1, 0};
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    cut();
}

std::string connection::peerIp() const
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getpeername(m_socket, reinterpret_cast<sockaddr *>(&address), &size);
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
    return text.data();
}

struct listener::shared {
    int socket = -1;
    std::mutex mutex;
    std::set<std::shared_ptr<connection>> connections;
    bool closed = false;
};

listener::listener(const std::string &ip, std::uint16_t port, connection_handler handler)
    : m_shared(std::make_shared<shared>())
{
    m_shared->socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_shared->socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    sockaddr_in address = addressOf(ip, port);
    if (::bind(m_shared->socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 || ::listen(m_shared->socket, Backlog) != 0) {
        throw std::runtime_error("cannot listen at " + ip + ":" + std::to_string(port));
    }
    std::thread([state = m_shared, handler = std::move(handler)] {
        while (true) {
            const int accepted = ::accept4(state->socket, nullptr, nullptr, SOCK_CLOEXEC);
            const std::lock_guard lock(state->mutex);
            if (state->closed || accepted < 0) {
                if (accepted >= 0) {
                    ::close(accepted);
                }
                return;
            }
            const auto peer = std::make_shared<connection>(accepted);
            state->connections.insert(peer);
            std::thread([state, handler, peer] {
                handler(peer);
                const std::lock_guard inner(state->mutex);
                state->connections.erase(peer);
            }).detach();
        }
    }).detach();
}

listener::~listener()
{
    close();
}

void listener::close()
{
    const std::lock_guard lock(m_shared->mutex);
    if (std::exchange(m_shared->closed, true)) {
        return;
    }
    ::shutdown(m_shared->socket, SHUT_RDWR);
    ::close(m_shared->socket);
    for (const auto &peer : m_shared->connections) {
        peer->reset();
    }
}

std::string makeAnswer(const std::string &status, const std::vector<std::pair<std::string, std::string>> &headers, std::string_view body)
{
    std::string out = "HTTP/1.1 " + status + "\r\n";
    for (const auto &[name, value] : headers) {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
    out += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    out += body;
    return out;
}

// [SECTION] Store

store::store(const std::string &ip, std::uint16_t port)
    : m_listener(ip, port, [this](const std::shared_ptr<connection> &peer) { serve(peer); })
{ }

std::uint64_t store::append(const std::string &key, std::optional<std::string> value)
{
    const std::lock_guard lock(m_mutex);
    m_log.push_back({++m_revision, key, std::move(value)});
    m_changed.notify_all();
    return m_revision;
}

std::uint64_t store::put(const std::string &key, const std::string &value)
{
    {
        const std::lock_guard lock(m_mutex);
        const auto last = std::find_if(m_log.rbegin(), m_log.rend(), [&](const change &each) { return each.key == key; });
        if (last != m_log.rend() && last->value && withoutSequence(*last->value) == withoutSequence(value)) {
            return m_revision;
        }
    }
    return append(key, value);
}

std::uint64_t store::remove(const std::string &key)
{
    return append(key, std::nullopt);
}

std::size_t store::cutWatches()
{
    const std::lock_guard lock(m_mutex);
    const std::size_t count = m_waiting.size();
    for (const auto &peer : m_waiting) {
        peer->cut();
    }
    m_changed.notify_all();
    return count;
}

void store::setStale(const std::string &ip, std::uint64_t revision)
{
    const std::lock_guard lock(m_mutex);
    m_stale[ip] = revision;
}

std::uint64_t store::revision() const
{
    const std::lock_guard lock(m_mutex);
    return m_revision;
}

std::size_t store::countWaiting() const
{
    const std::lock_guard lock(m_mutex);
    return m_waiting.size();
}

std::set<std::string> store::watchers() const
{
    const std::lock_guard lock(m_mutex);
    return m_watchers;
}

void store::serve(const std::shared_ptr<connection> &peer)
{
    http_message request;
    while (peer->read(request, WorkerIdle)) {
        std::istringstream line(request.first);
        std::string method;
        std::string target;
        line >> method >> target;
        const bool isWatch = target.starts_with("/dandelionstall/kv-watch");
        const std::string body = isWatch ? watch(target, peer) : range(target, peer->peerIp());
        if (body.empty() || !peer->send(makeAnswer("200 OK", {{"Content-Type", "application/json"}}, body))) {
            return;
        }
    }
}

std::string store::range(const std::string &target, const std::string &reader) const
{
    const std::lock_guard lock(m_mutex);
    const std::string prefix = unescape(parameterOf(target, "prefix"));
    const auto stale = m_stale.find(reader);
    const bool isStale = parameterOf(target, "serializable") == "1" && stale != m_stale.end() && stale->second != 0;
    const std::uint64_t asOf = isStale ? stale->second : m_revision;
    std::map<std::string, const change *> present;
    for (const change &each : m_log) {
        if (each.revision <= asOf && each.key.starts_with(prefix)) {
            present[each.key] = &each;
        }
    }
    std::string items;
    for (const auto &[key, each] : present) {
        if (each->value) {
            items += (items.empty() ? "" : ",") + describeItem(key, *each->value, each->revision);
        }
    }
    return "{\"items\":[" + items + "],\"truncated\":false,\"asOf\":" + std::to_string(asOf) + "}";
}

std::string store::watch(const std::string &target, const std::shared_ptr<connection> &peer)
{
    const std::uint64_t after = numberOf(parameterOf(target, "after"));
    const std::string prefix = unescape(parameterOf(target, "prefix"));
    const time_point until = clock::now() + milliseconds(numberOf(parameterOf(target, "waitMs")));
    std::unique_lock lock(m_mutex);
    const auto hasNews = [&] {
        return std::any_of(m_log.rbegin(), m_log.rend(), [&](const change &each) { return each.revision > after && each.key.starts_with(prefix); });
    };
    m_waiting.insert(peer);
    m_watchers.insert(peer->peerIp());
    while (!hasNews() && clock::now() < until && !peer->isPeerClosed()) {
        m_changed.wait_until(lock, std::min(until, clock::now() + milliseconds(100)));
    }
    m_waiting.erase(peer);
    std::string events;
    for (const change &each : m_log) {
        if (each.revision > after && each.key.starts_with(prefix)) {
            const std::string tombstone = "{\"key\":\"" + each.key + "\",\"rev\":" + std::to_string(each.revision) + ",\"tombstone\":true}";
            events += (events.empty() ? "" : ",") + (each.value ? describeItem(each.key, *each.value, each.revision) : tombstone);
        }
    }
    return "{\"events\":[" + events + "],\"asOf\":" + std::to_string(m_revision) + "}";
}

// [SECTION] Workers

worker::worker(const std::string &ip, std::uint16_t port, worker_options options, std::function<void(const worker_run &)> onRun)
    : m_options(std::move(options))
    , m_onRun(std::move(onRun))
    , m_listener(ip, port, [this](const std::shared_ptr<connection> &peer) { serve(peer); })
{ }

void worker::leave()
{
    m_gone = true;
    m_listener.close();
}

const std::string &worker::id() const
{
    return m_options.id;
}

void worker::serve(const std::shared_ptr<connection> &peer)
{
    http_message request;
    while (!m_gone && peer->read(request, WorkerIdle)) {
        const std::string id = request.find("Attempt-Id");
        const std::string expected = request.find("Expect-Instance");
        std::string answer;
        if (!expected.empty() && expected != m_options.id) {
            answer = makeAnswer("421 Misdirected Request", {{"Instance-Id", m_options.id}}, "");
        } else {
            m_onRun({m_options.id, id, clock::now(), request.find("Caller-Service")});
            const time_point until = clock::now() + m_options.work;
            while (clock::now() < until && !m_gone) {
                sleepFor(milliseconds(5));
            }
            const std::string body = "done " + id + " by " + m_options.id;
            answer = makeAnswer("200 OK", {{"Attempt-Id", id}, {"Server-Stamp", m_options.id}, {"Keep-Alive", "timeout=10"}}, body);
        }
        if (m_gone || !peer->send(answer)) {
            return;
        }
    }
}

// [SECTION] Lab

lab::lab(const std::string &recordPath, lab_options options)
    : m_options(std::move(options))
    , m_record(recordPath)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto pid = static_cast<unsigned>(getpid());
    m_prefix = "127." + std::to_string(65 + (pid / 250) % 120) + "." + std::to_string(1 + pid % 250) + ".";
    std::string pattern = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) {
        throw std::runtime_error("no temporary directory");
    }
    m_directory = pattern;
    for (const machine_plan &plan : m_options.machines) {
        m_machines.emplace_back().plan = plan;
    }
}

lab::~lab() = default;

void lab::startAll()
{
    m_store = std::make_unique<store>(m_prefix + "1", StorePort);
    m_store->put("op/config", m_options.configuration);
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
        startWorker(i, "i-" + std::to_string(1000 + i));
        announce(i, "ready");
    }
    std::thread([this] { beat(); }).detach();
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
        startNode(i, true);
    }
    if (!awaitReady(milliseconds(10'000))) {
        write("the nodes did not become ready");
        finish(2);
    }
    write("all nodes are ready");
}

std::string lab::settingsOf(std::size_t machine, bool isFirstStart) const
{
    std::string text = readFile("deploy/node.ini");
    const auto repeat = [](const std::vector<std::pair<std::string, std::string>> &rows) {
        return [rows](const std::string &inside) {
            std::string out;
            for (const auto &[name, value] : rows) {
                std::string each = inside;
                replaceAll(each, "{{@}}", name);
                replaceAll(each, "{{.}}", value);
                out += each;
            }
            return out;
        };
    };
    std::map<std::string, std::string> zones;
    for (const review::lab::machine &each : m_machines) {
        zones[each.plan.zone] = "here";
    }
    replaceSection(text, "#", "bounds", repeat(m_options.bounds));
    replaceSection(text, "#", "zones", repeat({zones.begin(), zones.end()}));
    replaceSection(text, "#", "bootstrap", [&](const std::string &inside) { return isFirstStart ? inside : std::string(); });
    replaceSection(text, "^", "bootstrap", [&](const std::string &inside) { return isFirstStart ? std::string() : inside; });
    const std::string at = ip(machine);
    replaceAll(text, "0.0.0.0:" + std::to_string(AdminPort), at + ":" + std::to_string(AdminPort)); // the machines of the case share one host
    const std::map<std::string, std::string> values{{"nodeName", "side-" + std::to_string(machine)},
                                                    {"zone", m_machines[machine].plan.zone},
                                                    {"region", "here"},
                                                    {"ip", at},
                                                    {"internalPorts.0", std::to_string(NodePort)},
                                                    {"listen.outbound", at + ":" + std::to_string(CallersPort)},
                                                    {"listen.readyAddress", at + ":" + std::to_string(ReadyPort)},
                                                    {"service", m_machines[machine].plan.service},
                                                    {"platform.address", m_prefix + "1:" + std::to_string(StorePort)},
                                                    {"contracts", "base,drain,config,cost,retry,recover,health,platform"},
                                                    {"appAddress", at + ":" + std::to_string(WorkerPort)},
                                                    {"limits.memoryMb", "260"}};
    for (const auto &[name, value] : values) {
        replaceAll(text, "{{" + name + "}}", value);
    }
    if (text.find("{{") != std::string::npos) {
        throw std::runtime_error("the template has a placeholder that the case does not know");
    }
    return text;
}

void lab::startNode(std::size_t machine, bool isFirstStart)
{
    const std::string base = m_directory + "/node-" + std::to_string(machine);
    std::ofstream(base + ".ini") << settingsOf(machine, isFirstStart);
    const std::string variable = "DANDELIONSTALL_SETTINGS=" + base + ".ini";
    const std::string log = base + ".log";
    const std::string program = "target/programs/dandelionstall/dandelionstall";
    const pid_t child = fork();
    if (child == 0) {
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        prctl(PR_SET_PDEATHSIG, SIGKILL); // the node ends with the program of the case
        std::array<char *, 2> arguments{const_cast<char *>(program.c_str()), nullptr};
        std::array<char *, 2> environment{const_cast<char *>(variable.c_str()), nullptr};
        execve(program.c_str(), arguments.data(), environment.data());
        _exit(127);
    }
    m_machines[machine].node = child;
    write("node " + std::to_string(machine) + " started");
}

void lab::killNode(std::size_t machine, int signal)
{
    const pid_t node = m_machines[machine].node;
    if (node <= 0) {
        return;
    }
    kill(node, signal);
    write("node " + std::to_string(machine) + " got signal " + std::to_string(signal));
    if (signal == SIGKILL) {
        waitpid(node, nullptr, 0);
        m_machines[machine].node = -1;
    }
}

bool lab::isReady(std::size_t machine) const
{
    const auto peer = connection::open(ip(machine), ReadyPort, m_prefix + "2");
    http_message answer;
    return peer && peer->send("GET /dandelionstall/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n") && peer->read(answer, milliseconds(1000))
           && answer.first.starts_with("HTTP/1.1 200");
}

bool lab::awaitReady(milliseconds timeout) const
{
    const time_point until = clock::now() + timeout;
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
        while (!isReady(i)) {
            if (clock::now() >= until) {
                return false;
            }
            sleepFor(milliseconds(20));
        }
    }
    return true;
}

void lab::startWorker(std::size_t machine, const std::string &id)
{
    review::lab::machine &at = m_machines[machine];
    at.born = static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    at.worker = std::make_unique<worker>(ip(machine), WorkerPort, worker_options{id, m_options.work}, [this](const worker_run &run) {
        const std::lock_guard lock(m_mutex);
        m_runs.push_back(run);
    });
    at.beats = true;
}

void lab::announce(std::size_t machine, const std::string &state)
{
    putEntry(machine, makeEntry(machine, state));
}

std::string lab::makeEntry(std::size_t machine, const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    review::lab::machine &at = m_machines[machine];
    return "{\"service\":\"" + at.plan.service + "\",\"address\":\"" + ip(machine) + ":" + std::to_string(WorkerPort) + "\",\"zone\":\"" + at.plan.zone
           + R"(","version":"v1","slots":5,"state":")" + state + R"(","coldRemainingMs":0,"sequence":)" + std::to_string(++at.sequence)
           + ",\"born\":" + std::to_string(at.born) + "}";
}

void lab::putEntry(std::size_t machine, const std::string &entry)
{
    m_store->put("servers/" + m_machines[machine].worker->id(), entry);
}

void lab::setBeatState(std::size_t machine, const std::string &state)
{
    const std::lock_guard lock(m_mutex);
    m_machines[machine].beatState = state;
}

void lab::stopHeartbeat(std::size_t machine)
{
    const std::lock_guard lock(m_mutex);
    m_machines[machine].beats = false;
}

void lab::beat()
{
    while (true) {
        sleepFor(BeatInterval - StartSpread);
        for (std::size_t i = 0; i < m_machines.size(); ++i) {
            std::string state;
            {
                const std::lock_guard lock(m_mutex);
                state = m_machines[i].beats ? m_machines[i].beatState : std::string();
            }
            if (!state.empty()) {
                announce(i, state);
            }
            sleepFor(StartSpread / m_machines.size());
        }
    }
}

store &lab::platform()
{
    return *m_store;
}

worker &lab::workerAt(std::size_t machine)
{
    return *m_machines[machine].worker;
}

std::string lab::ip(std::size_t machine) const
{
    return m_prefix + std::to_string(FirstHost + machine);
}

std::uint16_t lab::callersPort() const
{
    return CallersPort;
}

caller_answer lab::request(std::size_t machine, bool isBooking, const std::string &id, milliseconds timeLeft) const
{
    caller_answer result;
    result.id = id;
    result.machine = machine;
    result.isBooking = isBooking;
    result.sentAt = clock::now();
    const std::string body = isBooking ? "booking " + id : std::string();
    const std::string text = std::string(isBooking ? "POST /book/" : "GET /read/") + id + " HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: " + id
                             + "\r\nDeadline-Remaining: " + std::to_string(timeLeft.count()) + "\r\n"
                             + (isBooking ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" + body;
    const auto peer = connection::open(ip(machine), CallersPort, ip(machine));
    http_message answer;
    if (peer && peer->send(text) && peer->read(answer, timeLeft + AnswerTimeout)) {
        result.status = static_cast<int>(numberOf(answer.first.substr(answer.first.find(' ') + 1)));
        result.worker = answer.find("Server-Stamp");
        result.body = answer.body;
    }
    result.answeredAt = clock::now();
    return result;
}

void lab::load(const load_plan &plan)
{
    m_loading = true;
    for (std::size_t machine = 0; machine < m_machines.size(); ++machine) {
        for (std::size_t caller = 0; caller < plan.callers; ++caller) {
            ++m_callers;
            std::thread([this, machine, caller, plan] { runCaller(machine, caller, plan); }).detach();
        }
    }
    write("callers have started");
}

void lab::runCaller(std::size_t machine, std::size_t caller, load_plan plan)
{
    for (std::size_t number = 0; m_loading; ++number) {
        const std::string id = "m" + std::to_string(machine) + "c" + std::to_string(caller) + "n" + std::to_string(number);
        const caller_answer answer = request(machine, number % 2 == 1, id, plan.timeLeft);
        {
            const std::lock_guard lock(m_mutex);
            m_answers.push_back(answer);
        }
        sleepFor(plan.pause);
    }
    --m_callers;
}

void lab::stopLoad()
{
    m_loading = false;
    while (m_callers > 0) {
        sleepFor(milliseconds(10));
    }
    write("callers have ended");
}

std::vector<caller_answer> lab::answers() const
{
    const std::lock_guard lock(m_mutex);
    return m_answers;
}

std::vector<worker_run> lab::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

std::string lab::nodeLog(std::size_t machine) const
{
    return readFile(m_directory + "/node-" + std::to_string(machine) + ".log");
}

void lab::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    m_record << millis(clock::now()) << " " << line << std::endl;
}

std::int64_t lab::millis(time_point at) const
{
    return std::chrono::duration_cast<milliseconds>(at - m_startedAt).count();
}

void lab::finish(int code)
{
    for (std::size_t i = 0; i < m_machines.size(); ++i) {
        killNode(i, SIGKILL);
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_directory, ignored);
    } else {
        std::cerr << m_directory << "\n";
    }
    write("exit code " + std::to_string(code));
    m_record.flush();
    std::cout.flush();
    std::_Exit(code);
}

// ---- Functions ----

void recordTraffic(lab &bench)
{
    for (const caller_answer &answer : bench.answers()) {
        bench.write("request " + answer.id + (answer.isBooking ? " (non-idempotent)" : " (idempotent)") + " at machine " + std::to_string(answer.machine)
                    + ": sent at " + std::to_string(bench.millis(answer.sentAt)) + ", ended at " + std::to_string(bench.millis(answer.answeredAt)) + " with "
                    + (answer.status == 0 ? "no answer" : std::to_string(answer.status) + " " + answer.body.substr(0, answer.body.find('\n'))));
    }
    for (const worker_run &run : bench.runs()) {
        bench.write("run of " + run.id + " begun at " + std::to_string(bench.millis(run.at)) + " by " + run.worker);
    }
}

std::size_t recordLateRuns(lab &bench, const std::string &workerId, time_point ackedAt, milliseconds limit, time_point from)
{
    std::size_t late = 0;
    for (const worker_run &run : bench.runs()) {
        if (run.worker == workerId && run.at > ackedAt + limit && run.at >= from) {
            ++late;
            bench.write("LATE: run of " + run.id + " begun by " + run.worker + " " + std::to_string(bench.millis(run.at) - bench.millis(ackedAt))
                        + " ms after the ack");
        }
    }
    return late;
}

std::size_t countUnknownBookings(lab &bench, time_point sentAfter)
{
    const std::vector<caller_answer> answers = bench.answers();
    return static_cast<std::size_t>(std::count_if(answers.begin(), answers.end(), [sentAfter](const caller_answer &answer) {
        return answer.isBooking && answer.sentAt > sentAfter && (answer.status == 502 || answer.status == 504 || answer.status == 0);
    }));
}

std::size_t countServed(lab &bench)
{
    const std::vector<caller_answer> answers = bench.answers();
    return static_cast<std::size_t>(std::count_if(answers.begin(), answers.end(), [](const caller_answer &answer) { return answer.status == 200; }));
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

std::string makeConfiguration(std::uint64_t version, const std::string &service)
{
    const std::string common = R"(,"timeoutMs":2000,"targetLatencyMs":800,"service":")" + service + R"(","maxAttempts":2})";
    return "{\"version\":" + std::to_string(version) + R"(,"services":[{"name":")" + service
           + R"(","healthPath":"/health","maxConnections":330,"protocol":"h1","tls":false}],)"
             R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
             R"("virtualHosts":[{"host":"shop.example","paths":[{"name":"read","prefix":"/read/","kind":"idempotent","priority":2)"
           + common + R"(,{"name":"book","prefix":"/book/","kind":"non_idempotent","priority":1)" + common + "]}]}";
}

void sleepFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

} // namespace review
