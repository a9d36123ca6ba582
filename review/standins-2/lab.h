// Stand-ins for the cases from 6 on: the platform's store, workers, callers, and node processes that are started with the settings
// of the deployment's template. All addresses are loopback addresses, one IP address for each machine.
//
// Usage:
//   lab bench("record.txt", machines);   // writes the record; machines are numbered from 0
//   bench.startAll();                    // store, configuration, workers with heartbeats, nodes; waits until the nodes are ready
//   bench.load({...});                   // callers on every machine, until stopLoad()
//   return bench.finish(broken);         // ends all processes, and the program with the code of the case
//
// Index:
//   [SECTION] HTTP
//   [SECTION] Store
//   [SECTION] Workers
//   [SECTION] Lab
#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using milliseconds = std::chrono::milliseconds;

// [SECTION] HTTP

struct http_message {
    std::string first; // request line or status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string find(std::string_view name) const; // value of the header; empty when it is absent
};

// One TCP connection; all calls block.
class connection
{
public:
    explicit connection(int socket);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    static std::shared_ptr<connection> open(const std::string &ip, std::uint16_t port, const std::string &fromIp);

    bool read(http_message &message, milliseconds timeout); // false when the connection ends or is silent before the message is complete
    bool send(std::string_view bytes);
    bool isPeerClosed() const;
    void cut();   // ends the connection in both directions; may be called from another thread
    void reset(); // the same, with a reset
    std::string peerIp() const;

private:
    bool fill(time_point until);

    int m_socket;
    std::string m_input;
};

using connection_handler = std::function<void(const std::shared_ptr<connection> &peer)>;

// Accepts connections until it is closed, and serves each in a thread of its own.
class listener
{
public:
    listener(const std::string &ip, std::uint16_t port, connection_handler handler);
    ~listener();
    listener(const listener &) = delete;
    listener &operator=(const listener &) = delete;

    void close(); // also cuts all connections

private:
    struct shared;
    std::shared_ptr<shared> m_shared;
};

std::string makeAnswer(const std::string &status, const std::vector<std::pair<std::string, std::string>> &headers, std::string_view body);

// [SECTION] Store

// The platform's store: items with revisions, read by range and watched.
class store
{
public:
    store(const std::string &ip, std::uint16_t port);

    std::uint64_t put(const std::string &key, const std::string &value); // changes nothing when only the sequence of an entry differs
    std::uint64_t remove(const std::string &key);
    std::size_t cutWatches();                                     // cuts the watches that are waiting now
    void setStale(const std::string &ip, std::uint64_t revision); // serializable reads of this caller show the store at this revision; 0 ends it
    std::uint64_t revision() const;
    std::size_t countWaiting() const;       // watches that are waiting now
    std::set<std::string> watchers() const; // IP addresses of the callers that have watched so far

private:
    struct change {
        std::uint64_t revision;
        std::string key;
        std::optional<std::string> value; // none: removed
    };

    std::uint64_t append(const std::string &key, std::optional<std::string> value);
    void serve(const std::shared_ptr<connection> &peer);
    std::string range(const std::string &target, const std::string &reader) const;
    std::string watch(const std::string &target, const std::shared_ptr<connection> &peer);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<change> m_log;
    std::uint64_t m_revision = 10;
    std::map<std::string, std::uint64_t> m_stale;
    std::set<std::shared_ptr<connection>> m_waiting;
    std::set<std::string> m_watchers;
    listener m_listener;
};

// [SECTION] Workers

// What a worker has begun to work on.
struct worker_run {
    std::string worker;
    std::string id;
    time_point at;
    std::string service;
};

struct worker_options {
    std::string id;
    milliseconds work{50};
};

class worker
{
public:
    worker(const std::string &ip, std::uint16_t port, worker_options options, std::function<void(const worker_run &)> onRun);

    void leave(); // the process ends: its connections are cut
    const std::string &id() const;

private:
    void serve(const std::shared_ptr<connection> &peer);

    worker_options m_options;
    std::function<void(const worker_run &)> m_onRun;
    std::atomic<bool> m_gone{false};
    listener m_listener;
};

// [SECTION] Lab

struct machine_plan {
    std::string zone;
    std::string service = "orders";
};

struct lab_options {
    std::vector<machine_plan> machines;
    std::vector<std::pair<std::string, std::string>> bounds{{"contactMs", "3000"},
                                                            {"drainMs", "2000"},
                                                            {"graceS", "6"},
                                                            {"lossSlackMs", "200"},
                                                            {"configPropagationMs", "2000"},
                                                            {"retryBudgetRatio", "0.2"},
                                                            {"retryWindowS", "10"},
                                                            {"retryBudgetSlack", "56"},
                                                            {"floorShare", "0.7"}};
    milliseconds work{50};
    std::string configuration; // of version 1
};

struct caller_answer {
    std::string id;
    std::size_t machine = 0;
    bool isBooking = false;
    time_point sentAt;
    time_point answeredAt;
    int status = 0; // 0: the connection ended without an answer
    std::string worker;
    std::string body;
};

struct load_plan {
    milliseconds pause{40};      // of each caller between two requests
    std::size_t callers = 2;     // on each machine
    milliseconds timeLeft{2000}; // Deadline-Remaining
};

class lab
{
public:
    lab(const std::string &recordPath, lab_options options);
    ~lab();
    lab(const lab &) = delete;
    lab &operator=(const lab &) = delete;

    void startAll();
    void startNode(std::size_t machine, bool isFirstStart);
    void killNode(std::size_t machine, int signal);
    bool isReady(std::size_t machine) const;
    bool awaitReady(milliseconds timeout) const; // all nodes
    void startWorker(std::size_t machine, const std::string &id);
    void announce(std::size_t machine, const std::string &state);         // writes the worker's entry with the next sequence
    std::string makeEntry(std::size_t machine, const std::string &state); // the entry that announce() would write; counts its sequence
    void putEntry(std::size_t machine, const std::string &entry);         // writes an entry that makeEntry() has returned
    void setBeatState(std::size_t machine, const std::string &state);     // what the heartbeats state from now on
    void stopHeartbeat(std::size_t machine);
    store &platform();
    worker &workerAt(std::size_t machine);
    std::string ip(std::size_t machine) const;
    std::uint16_t callersPort() const;
    caller_answer request(std::size_t machine, bool isBooking, const std::string &id, milliseconds timeLeft) const;
    void load(const load_plan &plan);
    void stopLoad();
    std::vector<caller_answer> answers() const;
    std::vector<worker_run> runs() const;
    std::string nodeLog(std::size_t machine) const;
    void write(const std::string &line); // one line of the record, with the time in milliseconds since the start
    std::int64_t millis(time_point at) const;
    [[noreturn]] void finish(int code);

private:
    struct machine {
        machine_plan plan;
        pid_t node = -1;
        std::unique_ptr<review::worker> worker;
        std::uint64_t born = 0;
        std::uint64_t sequence = 0;
        bool beats = false;
        std::string beatState = "ready";
    };

    std::string settingsOf(std::size_t machine, bool isFirstStart) const;
    void beat();
    void runCaller(std::size_t machine, std::size_t caller, load_plan plan);

    lab_options m_options;
    time_point m_startedAt = clock::now();
    mutable std::mutex m_mutex;
    std::ofstream m_record;
    std::string m_directory;
    std::string m_prefix;
    std::vector<machine> m_machines;
    std::unique_ptr<store> m_store;
    std::vector<worker_run> m_runs;
    std::vector<caller_answer> m_answers;
    std::atomic<bool> m_loading{false};
    std::atomic<int> m_callers{0};
};

void recordTraffic(lab &bench); // writes all requests, answers and runs into the record

// Returns how many runs began at a worker later than the limit after the acknowledgement, and not before `from`; writes them into the
// record.
std::size_t recordLateRuns(lab &bench, const std::string &workerId, time_point ackedAt, milliseconds limit, time_point from);
std::size_t countUnknownBookings(lab &bench, time_point sentAfter); // bookings that ended with 502, 504 or without an answer
std::size_t countServed(lab &bench);

bool hasTrouble();                                                                // false when the environment has TROUBLE=0
std::string makeConfiguration(std::uint64_t version, const std::string &service); // the routes /read/ (idempotent) and /book/ (non-idempotent)
void sleepFor(milliseconds time);

} // namespace review
