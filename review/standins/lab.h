// Stand-ins for the review's scripts: the platform's store, workers, clients, a slow link, and the start of nodes as processes of
// their own. Everything uses loopback addresses, blocking sockets and the real clock; each server connection has a thread.
//
// Index:
//   [SECTION] Record and time
//   [SECTION] Sockets and HTTP
//   [SECTION] Store
//   [SECTION] Worker
//   [SECTION] Link
//   [SECTION] Node
//   [SECTION] Client
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace lab {

using std::chrono::milliseconds;

// [SECTION] Record and time

std::int64_t nowMs();                     // milliseconds since the start of the program
std::int64_t unixMs();                    // milliseconds since the Unix epoch
void openRecord(const std::string &path); // the file that note() writes
void note(const std::string &line);       // writes a line with its time to the record
void pauseFor(milliseconds time);
bool hasTrouble(); // false with TROUBLE=0 in the environment

// Ends the program when it has run for this long: exit status 2, after the started processes have been killed.
void limitRunTime(milliseconds time);

// [SECTION] Sockets and HTTP

struct address {
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const;
};

// Header names are stored in lower case.
struct message {
    std::string first; // request line or status line, without the line end
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const;
    int status() const;         // of an answer; 0 when there is none
    std::string method() const; // of a request
    std::string target() const;
};

class connection
{
public:
    explicit connection(int descriptor = -1);
    ~connection();
    connection(connection &&other) noexcept;
    connection &operator=(connection &&other) noexcept;
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    static connection open(const address &to, milliseconds timeout = milliseconds(1000));

    bool isOpen() const;
    int descriptor() const;
    std::string peerIp() const;
    bool send(std::string_view bytes);
    std::optional<message> read(milliseconds timeout, bool isAnswer); // nullopt when the connection ended or the time is over
    bool wasEnded() const;                                            // the other side closed or reset the connection
    void close();

private:
    bool fill(std::int64_t deadline);

    int m_descriptor = -1;
    std::string m_buffer;
    bool m_ended = false;
};

using connection_handler = std::function<void(connection)>;

// Accepts connections until the program ends, each on a thread of its own.
void serve(const address &at, connection_handler handler);
std::string loopbackPrefix(); // "127.x.y." of this process

// [SECTION] Store

class store
{
public:
    explicit store(const address &at);

    void put(const std::string &key, const std::string &value);
    void turnAway(const std::set<std::string> &ips);              // answers 503 to these machines from now on, also to waiting calls
    std::set<std::string> watchersSince(std::int64_t time) const; // machines that have asked for changes since then

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    void handle(connection peer);
    std::string range(const std::string &prefix, const std::string &after);
    std::string watch(const std::string &machine, const std::string &prefix, std::uint64_t after, milliseconds wait);
    bool isTurnedAway(const std::string &machine) const;
    static std::string describe(const std::string &key, const item &entry);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::set<std::string> m_turnedAway;
    std::map<std::string, std::int64_t> m_lastWatch; // by machine
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 1;
};

// [SECTION] Worker

struct worker_options {
    std::string id;
    std::string service;
    std::string zone;
    address at;
    unsigned slots = 3;
    milliseconds work{200};
    std::size_t answerBytes = 400;
    std::size_t queue = 24; // requests that wait for a slot; more are rejected
};

struct run_record {
    std::int64_t startedAt = 0;
    std::int64_t endedAt = 0;           // 0 while the run lasts
    std::vector<std::int64_t> arrivals; // times at which it reached the worker
    int runs = 0;                       // how often the request was run
};

// Runs requests, rejects what does not fit, and writes its entry to the store every 1.5 s.
class worker
{
public:
    worker(store &platform, worker_options options);

    std::map<std::string, run_record> runs() const; // by request id
    int arrivals() const;
    const worker_options &options() const;
    std::string entry(std::uint64_t sequence, const std::string &state) const;
    void report(const std::string &state); // "ready" or "draining", in the store at once and from then on

private:
    void handle(connection peer);
    message process(const message &request, const connection &peer);
    bool awaitSlot(std::int64_t deadline, const connection &peer);
    void announce();
    void write();

    store &m_store;
    worker_options m_options;
    std::int64_t m_born;
    std::string m_state = "ready";
    std::uint64_t m_sequence = 0;
    mutable std::mutex m_mutex;
    std::condition_variable m_slotFreed;
    unsigned m_busy = 0;
    std::size_t m_waiting = 0;
    std::map<std::string, run_record> m_runs;
    std::atomic<int> m_arrivals{0};
};

// [SECTION] Link

// Passes connections on to another address; all bytes to the accepting side's callers together share the rate. Datagrams that arrive at
// the address are passed on, too.
void startLink(const address &at, const address &to, double bytesPerSecond);

// [SECTION] Node

struct node_options {
    std::string name;
    std::string zone;
    std::string ip;
    std::string service;
    address platform;
    address workerAt;                          // the worker of this machine
    std::string advertise;                     // address for other nodes when it is not the own one; empty: none
    std::map<std::string, std::string> bounds; // as the platform states them
};

class node
{
public:
    node(node_options options, const std::string &folder);
    ~node();
    node(const node &) = delete;
    node &operator=(const node &) = delete;

    address callers() const;
    bool awaitReady(milliseconds timeout) const; // the readiness endpoint answers 200
    bool isReady() const;
    void signal(int number) const;
    bool isRunning();
    std::size_t memoryMegabytes() const; // resident memory
    pid_t process() const;

private:
    node_options m_options;
    pid_t m_process = -1;
    bool m_ended = false;
};

// [SECTION] Client

struct call {
    std::string method;
    std::string host;
    std::string path;
    std::string id;
    milliseconds budget{0};
    std::string body;
};

struct result {
    int status = 0;      // 0: no whole answer
    bool closed = false; // the connection ended without a whole answer
    std::int64_t sentAt = 0;
    std::int64_t endedAt = 0;
    message answer;
};

std::string requestText(const call &what);
result request(connection &to, const call &what, milliseconds patience); // on a kept connection

} // namespace lab
