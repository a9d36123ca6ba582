#include "lab.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace lab {

namespace {

constexpr std::size_t ReadBytes = 65'536;
constexpr int Backlog = 1024;
constexpr milliseconds BeatInterval{1500};
constexpr milliseconds ReadyPoll{50};
constexpr int ExitCannotRun = 2;

const auto startOfProgram = std::chrono::steady_clock::now();

std::mutex recordMutex;
std::FILE *recordFile = nullptr;

std::mutex processMutex;
std::set<pid_t> processes;

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

std::uint64_t numberOf(const std::string &text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

sockaddr_in socketAddress(const address &at)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(at.port);
    inet_pton(AF_INET, at.ip.c_str(), &out.sin_addr);
    return out;
}

int listenAt(const address &at)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const sockaddr_in name = socketAddress(at);
    const bool bound = ::bind(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) == 0;
    if (!bound || ::listen(descriptor, Backlog) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

// The value of a parameter of a query, with its escapes resolved.
std::string parameterOf(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    std::istringstream fields(query == std::string::npos ? std::string() : target.substr(query + 1));
    for (std::string field; std::getline(fields, field, '&');) {
        if (!field.starts_with(name + "=")) {
            continue;
        }
        std::string out;
        for (std::size_t i = name.size() + 1; i < field.size(); ++i) {
            if (field[i] == '%' && i + 2 < field.size()) {
                out += static_cast<char>(std::strtol(field.substr(i + 1, 2).c_str(), nullptr, 16));
                i += 2;
            } else {
                out += field[i];
            }
        }
        return out;
    }
    return {};
}

std::string base64(const std::string &text)
{
    static constexpr std::string_view Letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            out += i + j <= text.size() ? Letters[(group >> (18U - 6U * j)) & 63U] : '=';
        }
    }
    return out;
}

std::string answerText(const message &answer)
{
    std::string out = "HTTP/1.1 " + answer.first + "\r\n";
    for (const auto &[name, value] : answer.headers) {
        out.append(name).append(": ").append(value).append("\r\n");
    }
    return out + "Content-Length: " + std::to_string(answer.body.size()) + "\r\n\r\n" + answer.body;
}

message makeAnswer(const std::string &first, std::string body = {})
{
    message answer;
    answer.first = first;
    answer.body = std::move(body);
    return answer;
}

void killProcesses()
{
    const std::lock_guard lock(processMutex);
    for (const pid_t each : processes) {
        ::kill(each, SIGKILL);
    }
}

} // namespace

// [SECTION] Record and time

std::int64_t nowMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - startOfProgram).count();
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

void openRecord(const std::string &path)
{
    recordFile = std::fopen(path.c_str(), "w");
}

void note(const std::string &line)
{
    const std::lock_guard lock(recordMutex);
    if (recordFile != nullptr) {
        std::fprintf(recordFile, "%7lld %s\n", static_cast<long long>(nowMs()), line.c_str());
        std::fflush(recordFile);
    }
}

void pauseFor(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

void limitRunTime(milliseconds time)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::thread([time] {
        pauseFor(time);
        note("the time limit of the script is over");
        killProcesses();
        std::_Exit(ExitCannotRun);
    }).detach();
}

// [SECTION] Sockets and HTTP

std::string address::text() const
{
    return ip + ":" + std::to_string(port);
}

std::string message::header(const std::string &name) const
{
    const auto found = headers.find(lowerCase(name));
    return found == headers.end() ? std::string() : found->second;
}

int message::status() const
{
    return first.size() < 12 ? 0 : static_cast<int>(numberOf(first.substr(9, 3)));
}

std::string message::method() const
{
    return first.substr(0, first.find(' '));
}

std::string message::target() const
{
    const std::size_t begin = first.find(' ');
    const std::size_t end = first.rfind(' ');
    return begin == std::string::npos || end <= begin ? std::string() : first.substr(begin + 1, end - begin - 1);
}

connection::connection(int descriptor)
    : m_descriptor(descriptor)
{
    const int yes = 1;
    if (m_descriptor >= 0) {
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    }
}

connection::~connection()
{
    close();
}

connection::connection(connection &&other) noexcept
    : m_descriptor(std::exchange(other.m_descriptor, -1))
    , m_buffer(std::move(other.m_buffer))
    , m_ended(other.m_ended)
{ }

connection &connection::operator=(connection &&other) noexcept
{
    if (this != &other) {
        close();
        m_descriptor = std::exchange(other.m_descriptor, -1);
        m_buffer = std::move(other.m_buffer);
        m_ended = other.m_ended;
    }
    return *this;
}

connection connection::open(const address &to, milliseconds timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in name = socketAddress(to);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        return connection();
    }
    pollfd waiting{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t length = sizeof(error);
    const bool done = ::poll(&waiting, 1, static_cast<int>(timeout.count())) == 1;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (!done || error != 0) {
        ::close(descriptor);
        return connection();
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return connection(descriptor);
}

bool connection::isOpen() const
{
    return m_descriptor >= 0;
}

int connection::descriptor() const
{
    return m_descriptor;
}

std::string connection::peerIp() const
{
    sockaddr_in name{};
    socklen_t length = sizeof(name);
    std::array<char, INET_ADDRSTRLEN> text{};
    ::getpeername(m_descriptor, reinterpret_cast<sockaddr *>(&name), &length);
    return ::inet_ntop(AF_INET, &name.sin_addr, text.data(), text.size()) != nullptr ? text.data() : "";
}

bool connection::wasEnded() const
{
    return m_ended;
}

void connection::close()
{
    if (m_descriptor >= 0) {
        ::close(m_descriptor);
        m_descriptor = -1;
    }
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) {
            continue;
        }
        if (sent <= 0) {
            m_ended = true;
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::fill(std::int64_t deadline)
{
    const std::int64_t left = deadline - nowMs();
    pollfd waiting{m_descriptor, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left)) != 1) {
        return false;
    }
    std::array<char, ReadBytes> bytes{};
    const ssize_t got = ::recv(m_descriptor, bytes.data(), bytes.size(), 0);
    if (got <= 0) {
        m_ended = true;
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<std::size_t>(got));
    return true;
}

std::optional<message> connection::read(milliseconds timeout, bool isAnswer)
{
    const std::int64_t deadline = nowMs() + timeout.count();
    std::size_t end = std::string::npos;
    while ((end = m_buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!fill(deadline)) {
            return std::nullopt;
        }
    }
    message out;
    std::istringstream lines(m_buffer.substr(0, end + 2));
    std::string line;
    std::getline(lines, line);
    out.first = line.substr(0, line.find('\r'));
    while (std::getline(lines, line)) {
        const std::size_t colon = line.find(':');
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        if (colon != std::string::npos && begin != std::string::npos) {
            out.headers[lowerCase(line.substr(0, colon))] = line.substr(begin, line.find('\r') - begin);
        }
    }
    m_buffer.erase(0, end + 4);
    const bool chunked = lowerCase(out.header("Transfer-Encoding")) == "chunked";
    if (!chunked) {
        const std::size_t length = numberOf(out.header("Content-Length"));
        while (m_buffer.size() < length) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        out.body = m_buffer.substr(0, length);
        m_buffer.erase(0, length);
        return out;
    }
    while (isAnswer || chunked) {
        while ((end = m_buffer.find("\r\n")) == std::string::npos) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        const std::size_t length = std::strtoul(m_buffer.substr(0, end).c_str(), nullptr, 16);
        while (m_buffer.size() < end + 2 + length + 2) {
            if (!fill(deadline)) {
                return std::nullopt;
            }
        }
        out.body += m_buffer.substr(end + 2, length);
        m_buffer.erase(0, end + 2 + length + 2);
        if (length == 0) {
            break;
        }
    }
    return out;
}

void serve(const address &at, connection_handler handler)
{
    const int listening = listenAt(at);
    if (listening < 0) {
        note("cannot listen at " + at.text());
        killProcesses();
        std::_Exit(ExitCannotRun);
    }
    std::thread([listening, handler = std::move(handler)] {
        while (true) {
            const int descriptor = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor >= 0) {
                std::thread([handler, descriptor] { handler(connection(descriptor)); }).detach();
            }
        }
    }).detach();
}

std::string loopbackPrefix()
{
    const auto number = static_cast<unsigned>(::getpid());
    return "127." + std::to_string(64 + (number / 250) % 120) + "." + std::to_string(1 + number % 250) + ".";
}

// [SECTION] Store

store::store(const address &at)
{
    serve(at, [this](connection peer) { handle(std::move(peer)); });
}

void store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    m_items[key] = {value, ++m_revision, false};
    m_changed.notify_all();
}

void store::turnAway(const std::set<std::string> &ips)
{
    const std::lock_guard lock(m_mutex);
    m_turnedAway = ips;
    m_changed.notify_all();
}

bool store::isTurnedAway(const std::string &machine) const
{
    const std::lock_guard lock(m_mutex);
    return m_turnedAway.contains(machine);
}

std::set<std::string> store::watchersSince(std::int64_t time) const
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> machines;
    for (const auto &[machine, at] : m_lastWatch) {
        if (at >= time) {
            machines.insert(machine);
        }
    }
    return machines;
}

std::string store::describe(const std::string &key, const item &entry)
{
    const std::string start = R"({"key":")" + key + R"(","rev":)" + std::to_string(entry.revision);
    if (entry.removed) {
        return start + R"(,"tombstone":true})";
    }
    return start + R"(,"created":)" + std::to_string(entry.revision) + R"(,"lease":0,"value":")" + base64(entry.value) + R"("})";
}

std::string store::range(const std::string &prefix, const std::string &after)
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    for (const auto &[key, entry] : m_items) {
        if (!entry.removed && key.starts_with(prefix) && key > after) {
            items += (items.empty() ? "" : ",") + describe(key, entry);
        }
    }
    return R"({"items":[)" + items + R"(],"truncated":false,"asOf":)" + std::to_string(m_revision) + "}";
}

std::string store::watch(const std::string &machine, const std::string &prefix, std::uint64_t after, milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    m_lastWatch[machine] = nowMs();
    const auto changes = [&] {
        std::map<std::uint64_t, std::string> ordered;
        for (const auto &[key, entry] : m_items) {
            if (entry.revision > after && key.starts_with(prefix)) {
                ordered[entry.revision] = describe(key, entry);
            }
        }
        return ordered;
    };
    m_changed.wait_for(lock, wait, [&] { return !changes().empty() || m_turnedAway.contains(machine); });
    std::string events;
    for (const auto &[revision, text] : changes()) {
        events += (events.empty() ? "" : ",") + text;
    }
    return R"({"events":[)" + events + R"(],"asOf":)" + std::to_string(m_revision) + "}";
}

void store::handle(connection peer)
{
    const std::string machine = peer.peerIp();
    while (const auto asked = peer.read(milliseconds(60'000), false)) {
        const std::string target = asked->target();
        message answer = makeAnswer("404 Not Found");
        if (target.starts_with("/dandelionstall/kv-range?")) {
            answer = makeAnswer("200 OK", range(parameterOf(target, "prefix"), parameterOf(target, "after")));
        } else if (target.starts_with("/dandelionstall/kv-watch?")) {
            answer = makeAnswer(
                "200 OK",
                watch(machine, parameterOf(target, "prefix"), numberOf(parameterOf(target, "after")), milliseconds(numberOf(parameterOf(target, "waitMs")))));
        }
        if (isTurnedAway(machine)) {
            answer = makeAnswer("503 Service Unavailable");
        }
        answer.headers["Content-Type"] = "application/json";
        if (!peer.send(answerText(answer))) {
            return;
        }
    }
}

// [SECTION] Worker

worker::worker(store &platform, worker_options options)
    : m_store(platform)
    , m_options(std::move(options))
    , m_born(unixMs())
{
    serve(m_options.at, [this](connection peer) { handle(std::move(peer)); });
    std::thread([this] { announce(); }).detach();
}

const worker_options &worker::options() const
{
    return m_options;
}

std::string worker::entry(std::uint64_t sequence, const std::string &state) const
{
    return R"({"service":")" + m_options.service + R"(","address":")" + m_options.at.text() + R"(","zone":")" + m_options.zone + R"(","version":"v1","slots":)"
           + std::to_string(m_options.slots) + R"(,"state":")" + state + R"(","coldRemainingMs":0,"sequence":)" + std::to_string(sequence) + R"(,"born":)"
           + std::to_string(m_born) + "}";
}

void worker::announce()
{
    while (true) {
        write();
        pauseFor(BeatInterval);
    }
}

void worker::write()
{
    std::string text;
    {
        const std::lock_guard lock(m_mutex);
        text = entry(++m_sequence, m_state);
    }
    m_store.put("servers/" + m_options.id, text);
}

void worker::report(const std::string &state)
{
    {
        const std::lock_guard lock(m_mutex);
        m_state = state;
    }
    write();
    note(m_options.id + " reports " + state);
}

std::map<std::string, run_record> worker::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

int worker::arrivals() const
{
    return m_arrivals;
}

// Waits for a slot. False when the queue is full, the time budget has passed or the connection was closed.
bool worker::awaitSlot(std::int64_t deadline, const connection &peer)
{
    std::unique_lock lock(m_mutex);
    if (m_busy >= m_options.slots && m_waiting >= m_options.queue) {
        return false;
    }
    ++m_waiting;
    bool closed = false;
    while (m_busy >= m_options.slots && nowMs() < deadline && !closed) {
        m_slotFreed.wait_for(lock, milliseconds(10));
        pollfd state{peer.descriptor(), POLLRDHUP, 0};
        closed = ::poll(&state, 1, 0) == 1;
    }
    --m_waiting;
    const bool granted = m_busy < m_options.slots && nowMs() < deadline && !closed;
    m_busy += granted ? 1 : 0;
    return granted;
}

message worker::process(const message &request, const connection &peer)
{
    const std::string id = request.header("Attempt-Id");
    const std::string expected = request.header("Expect-Instance");
    ++m_arrivals;
    if (!expected.empty() && expected != m_options.id) {
        message answer = makeAnswer("421 Misdirected Request");
        answer.headers["Instance-Id"] = m_options.id;
        return answer;
    }
    const std::string left = request.header("Deadline-Remaining");
    const std::int64_t deadline = nowMs() + (left.empty() ? 60'000 : static_cast<std::int64_t>(numberOf(left)));
    {
        const std::lock_guard lock(m_mutex);
        m_runs[id].arrivals.push_back(nowMs());
    }
    if (!awaitSlot(deadline, peer)) {
        message answer = makeAnswer("503 Service Unavailable");
        answer.headers["Not-Executed"] = "1";
        return answer;
    }
    {
        const std::lock_guard lock(m_mutex);
        run_record &run = m_runs[id];
        run.startedAt = nowMs();
        ++run.runs;
    }
    note("run " + id + " begins at " + m_options.id + " " + request.method() + " " + request.target());
    const std::int64_t endsAt = nowMs() + m_options.work.count();
    pauseFor(milliseconds(std::max<std::int64_t>(std::min(endsAt, deadline) - nowMs(), 0)));
    {
        const std::lock_guard lock(m_mutex);
        m_runs[id].endedAt = nowMs();
        --m_busy;
    }
    m_slotFreed.notify_all();
    note("run " + id + " ends at " + m_options.id);
    message answer = endsAt > deadline ? makeAnswer("504 Gateway Timeout") : makeAnswer("200 OK", std::string(m_options.answerBytes, 'x'));
    answer.headers["Server-Stamp"] = "stamp." + id;
    return answer;
}

void worker::handle(connection peer)
{
    while (const auto asked = peer.read(milliseconds(10'000), false)) {
        if (asked->target() == "/health") {
            message answer = makeAnswer("200 OK");
            answer.headers["Instance-Id"] = m_options.id;
            peer.send(answerText(answer));
            continue;
        }
        message answer = process(*asked, peer);
        answer.headers["Attempt-Id"] = asked->header("Attempt-Id");
        answer.headers["Keep-Alive"] = "timeout=10";
        if (!peer.send(answerText(answer))) {
            return;
        }
    }
}

// [SECTION] Link

namespace {

// The time at which a link has sent what it was given; connections of one link share it.
class link_budget
{
public:
    explicit link_budget(double bytesPerSecond)
        : m_bytesPerSecond(bytesPerSecond)
    { }

    void await(std::size_t bytes)
    {
        std::chrono::steady_clock::time_point until;
        {
            const std::lock_guard lock(m_mutex);
            const auto time = std::chrono::duration<double>(static_cast<double>(bytes) / m_bytesPerSecond);
            m_readyAt = std::max(m_readyAt, std::chrono::steady_clock::now()) + std::chrono::duration_cast<std::chrono::nanoseconds>(time);
            until = m_readyAt;
        }
        std::this_thread::sleep_until(until);
    }

private:
    double m_bytesPerSecond;
    std::mutex m_mutex;
    std::chrono::steady_clock::time_point m_readyAt;
};

// Passes bytes on in small parts, as a link with this bandwidth does; a reader that is slow slows the sender.
void pump(int from, int to, link_budget &budget)
{
    constexpr std::size_t PartBytes = 4096;
    std::array<char, PartBytes> part{};
    while (true) {
        const ssize_t got = ::recv(from, part.data(), part.size(), 0);
        if (got <= 0) {
            break;
        }
        budget.await(static_cast<std::size_t>(got));
        std::string_view rest(part.data(), static_cast<std::size_t>(got));
        while (!rest.empty()) {
            const ssize_t sent = ::send(to, rest.data(), rest.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                break;
            }
            rest.remove_prefix(static_cast<std::size_t>(sent));
        }
        if (!rest.empty()) {
            break;
        }
    }
    ::shutdown(from, SHUT_RDWR);
    ::shutdown(to, SHUT_RDWR);
}

void passDatagrams(const address &at, const address &to)
{
    const int descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in own = socketAddress(at);
    const sockaddr_in target = socketAddress(to);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) != 0) {
        note("cannot receive datagrams at " + at.text());
    }
    std::thread([descriptor, target] {
        std::array<char, ReadBytes> bytes{};
        while (true) {
            const ssize_t got = ::recv(descriptor, bytes.data(), bytes.size(), 0);
            if (got > 0) {
                ::sendto(descriptor, bytes.data(), static_cast<std::size_t>(got), 0, reinterpret_cast<const sockaddr *>(&target), sizeof(target));
            }
        }
    }).detach();
}

} // namespace

void startLink(const address &at, const address &to, double bytesPerSecond)
{
    auto *out = new link_budget(bytesPerSecond);
    auto *back = new link_budget(bytesPerSecond);
    passDatagrams(at, to);
    serve(at, [to, out, back](connection peer) {
        connection onward = connection::open(to);
        if (!onward.isOpen()) {
            return;
        }
        std::thread answers([&] { pump(onward.descriptor(), peer.descriptor(), *back); });
        pump(peer.descriptor(), onward.descriptor(), *out);
        answers.join();
    });
}

// [SECTION] Node

namespace {

constexpr std::uint16_t NodePort = 7380;
constexpr std::uint16_t CallersPort = 8147;
constexpr std::uint16_t ReadyPort = 8141;
constexpr std::uint16_t AdminPort = 9464;

// The settings that the deploy file's template gives, with the administration address bound to the machine's own address.
std::string settingsText(const node_options &options)
{
    std::string text = "[node]\nname = " + options.name + "\ndata_centre = " + options.zone + "\nregion = here\n";
    text += "listen = " + address{options.ip, NodePort}.text() + "\ncallers = " + address{options.ip, CallersPort}.text() + "\n";
    text += "admin = " + address{options.ip, AdminPort}.text() + "\nready = " + address{options.ip, ReadyPort}.text() + "\n";
    text += options.advertise.empty() ? "" : "advertise = " + address{options.advertise, NodePort}.text() + "\n";
    text += "ready_path = /dandelionstall/ready\nown_pool = " + options.service + "\nfirst_start = yes\n\n";
    text += "[platform]\nkind = keyed_store\nconfig_service = " + options.platform.text() + "\n";
    for (const auto &[name, value] : options.bounds) {
        text.append("bound.").append(name).append(" = ").append(value).append("\n");
    }
    text += "\n[discovered_worker]\npool = " + options.service + "\naddress = " + options.workerAt.text() + "\n\n";
    text += "[limits]\nretry_after_fractions = yes\nmax_body_bytes = 67108864\n\n";
    text += "[headers]\nrequest_id = Attempt-Id\ntime_left = Deadline-Remaining\norigin_pool = Caller-Service\nexpected_worker = Expect-Instance\n";
    text += "not_run = Not-Executed\nseal = Server-Stamp\nrate_limit = Server-Limit\nleaving = Server-Leaving\n\n[log]\nlevel = info\n";
    return text;
}

} // namespace

node::node(node_options options, const std::string &folder)
    : m_options(std::move(options))
{
    const std::string settings = folder + "/" + m_options.name + ".ini";
    const std::string log = folder + "/" + m_options.name + ".log";
    std::ofstream(settings) << settingsText(m_options);
    const std::string program = "target/programs/dandelionstall/dandelionstall"; // as in deploy/system.toml
    const std::string variable = "DANDELIONSTALL_SETTINGS=" + settings;
    const std::string path = std::string("PATH=") + (std::getenv("PATH") != nullptr ? std::getenv("PATH") : "/usr/bin:/bin");
    std::array<char *, 2> arguments{const_cast<char *>(program.c_str()), nullptr};
    std::array<char *, 3> environment{const_cast<char *>(variable.c_str()), const_cast<char *>(path.c_str()), nullptr};
    m_process = ::fork();
    if (m_process == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the script, however that ends
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        std::signal(SIGPIPE, SIG_DFL);
        ::execve(program.c_str(), arguments.data(), environment.data());
        std::_Exit(127);
    }
    const std::lock_guard lock(processMutex);
    processes.insert(m_process);
    note("node " + m_options.name + " is started");
}

node::~node()
{
    if (isRunning()) {
        ::kill(m_process, SIGKILL);
        ::waitpid(m_process, nullptr, 0);
        const std::lock_guard lock(processMutex);
        processes.erase(m_process);
    }
}

address node::callers() const
{
    return {m_options.ip, CallersPort};
}

bool node::isReady() const
{
    connection asking = connection::open({m_options.ip, ReadyPort}, milliseconds(300));
    if (!asking.isOpen() || !asking.send("GET /dandelionstall/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
        return false;
    }
    const auto answer = asking.read(milliseconds(500), true);
    return answer && answer->status() == 200;
}

bool node::awaitReady(milliseconds timeout) const
{
    const std::int64_t until = nowMs() + timeout.count();
    while (nowMs() < until) {
        if (isReady()) {
            return true;
        }
        pauseFor(ReadyPoll);
    }
    return false;
}

void node::signal(int number) const
{
    note("signal " + std::to_string(number) + " to " + m_options.name);
    ::kill(m_process, number);
}

bool node::isRunning()
{
    if (!m_ended && ::waitpid(m_process, nullptr, WNOHANG) == m_process) {
        m_ended = true;
        const std::lock_guard lock(processMutex);
        processes.erase(m_process);
    }
    return !m_ended;
}

std::size_t node::memoryMegabytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::strtoul(line.c_str() + line.find_first_of("0123456789"), nullptr, 10) / 1024;
        }
    }
    return 0;
}

pid_t node::process() const
{
    return m_process;
}

// [SECTION] Client

std::string requestText(const call &what)
{
    std::string text = what.method + " " + what.path + " HTTP/1.1\r\nHost: " + what.host + "\r\nAttempt-Id: " + what.id + "\r\n";
    text += "Deadline-Remaining: " + std::to_string(what.budget.count()) + "\r\n";
    text += what.method == "GET" ? "" : "Content-Length: " + std::to_string(what.body.size()) + "\r\n";
    return text + "\r\n" + what.body;
}

result request(connection &to, const call &what, milliseconds patience)
{
    result out;
    out.sentAt = nowMs();
    if (to.isOpen() && to.send(requestText(what))) {
        if (auto answer = to.read(patience, true)) {
            out.status = answer->status();
            out.answer = *std::move(answer);
        }
    }
    out.endedAt = nowMs();
    out.closed = out.status == 0 && to.wasEnded();
    return out;
}

} // namespace lab
