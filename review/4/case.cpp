// Stops a node with SIGTERM while requests that it took wait in the queue of another node's worker, and checks that each request that
// the node had read gets an answer before the node ends.
#include "../standins/lab.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace {

using lab::milliseconds;

constexpr milliseconds RunLimit{100'000};
constexpr milliseconds Budget{8000};       // time budget of a booking
constexpr milliseconds Work{400};          // time that a worker needs for a booking
constexpr unsigned Slots = 4;              // of each worker
constexpr milliseconds Interval{40};       // between two bookings at the whole fleet
constexpr milliseconds LoadTime{20'000};   // steady load before the stop
constexpr std::int64_t GraceMs = 6000;     // graceS
constexpr std::int64_t LossSlackMs = 200;  // lossSlackMs
constexpr std::int64_t LastSixthMs = 1000; // of the grace time
constexpr std::int64_t EarlySendMs = 3000; // requests sent later after the SIGTERM have no excuse
constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCannotRun = 2;

struct sent_request {
    std::string id;
    std::size_t node = 0;
    lab::result end;
};

constexpr std::string_view Config = R"({"version":7,"services":[{"name":"tagdesk","healthPath":"/health","maxConnections":1350,"protocol":"h1","tls":false}],)"
                                    R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
                                    R"("virtualHosts":[{"host":"tags.example","paths":[{"name":"r-claim","prefix":"/claim/","kind":"non_idempotent",)"
                                    R"("timeoutMs":8000,"targetLatencyMs":8000,"priority":1,"service":"tagdesk","maxAttempts":2}]}]})";

class load
{
public:
    explicit load(std::vector<lab::address> nodes)
        : m_nodes(std::move(nodes))
        , m_takesWork(m_nodes.size(), true)
    { }

    // Sends bookings to the nodes in turn, each from a client of its own with a connection that it keeps.
    void run(const std::atomic<bool> &ended)
    {
        std::vector<std::thread> clients;
        for (int number = 0; !ended; ++number) {
            const std::size_t at = static_cast<std::size_t>(number) % m_nodes.size();
            if (m_takesWork[at]) {
                clients.emplace_back([this, at, number] { sendOne(at, "c-" + std::to_string(number)); });
            }
            lab::pauseFor(Interval);
        }
        for (std::thread &each : clients) {
            each.join();
        }
    }

    void endWorkAt(std::size_t node)
    {
        m_takesWork[node] = false;
    }

    std::vector<sent_request> requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    void sendOne(std::size_t at, const std::string &id)
    {
        lab::connection to = takeConnection(at);
        lab::note("request " + id + " is sent to node " + std::to_string(at));
        const lab::result end = lab::request(to, {"POST", "tags.example", "/claim/" + id, id, Budget, "bay"}, Budget + milliseconds(2000));
        lab::note("request " + id + (end.closed ? " ends with a closed connection" : " is answered " + std::to_string(end.status)));
        const std::lock_guard lock(m_mutex);
        m_requests.push_back({id, at, end});
        if (end.status != 0 && end.answer.header("Connection") != "close") {
            m_idle[at].push_back(std::move(to));
        }
    }

    lab::connection takeConnection(std::size_t at)
    {
        const std::lock_guard lock(m_mutex);
        if (m_idle[at].empty()) {
            return lab::connection::open(m_nodes[at]);
        }
        lab::connection kept = std::move(m_idle[at].back());
        m_idle[at].pop_back();
        return kept;
    }

    std::vector<lab::address> m_nodes;
    std::vector<bool> m_takesWork;
    std::mutex m_mutex;
    std::map<std::size_t, std::vector<lab::connection>> m_idle;
    std::vector<sent_request> m_requests;
};

// True when the request got no answer and none of the rule's excuses holds.
bool isLost(const sent_request &each, std::int64_t stoppedAt, const std::vector<lab::worker *> &workers)
{
    const bool cut = each.end.closed && each.end.endedAt - each.end.sentAt > LossSlackMs;
    const bool inTime = each.end.endedAt - each.end.sentAt < Budget.count();
    const bool planned = each.end.endedAt >= stoppedAt && each.end.endedAt <= stoppedAt + GraceMs + 1000;
    if (!cut || !inTime || !planned) {
        return false;
    }
    const bool early = each.end.sentAt <= stoppedAt + EarlySendMs;
    for (const lab::worker *worker : workers) {
        const auto runs = worker->runs();
        const auto run = runs.find(each.id);
        const bool atWork = run != runs.end() && (run->second.endedAt == 0 || run->second.endedAt >= stoppedAt + GraceMs - LastSixthMs);
        if (atWork && early) {
            return false;
        }
    }
    return true;
}

int runCase(const std::string &folder)
{
    const std::string prefix = lab::loopbackPrefix();
    const lab::address storeAt{prefix + "2", 8142};
    lab::store &platform = *new lab::store(storeAt); // serves until the program ends
    platform.put("op/config", std::string(Config));
    std::vector<lab::worker *> workers; // they serve until the program ends
    std::vector<std::unique_ptr<lab::node>> nodes;
    std::vector<lab::address> callers;
    for (int i = 0; i < 2; ++i) {
        const std::string ip = prefix + std::to_string(10 + i);
        lab::worker_options worker{"i-" + std::to_string(i), "tagdesk", "sul-" + std::to_string(i), {ip, 8145}, Slots, Work};
        workers.push_back(new lab::worker(platform, worker));
        lab::node_options node{"node-" + std::to_string(i), "sul-" + std::to_string(i), ip, "tagdesk", storeAt, {ip, 8145}, {}, {}};
        node.bounds = {{"contactMs", "3000"},
                       {"drainMs", "2500"},
                       {"graceS", "6"},
                       {"lossSlackMs", "200"},
                       {"retryBudgetRatio", "0.2"},
                       {"retryWindowS", "10"},
                       {"retryBudgetSlack", "170"},
                       {"floorShare", "0.7"}};
        nodes.push_back(std::make_unique<lab::node>(node, folder));
        callers.push_back(nodes.back()->callers());
    }
    for (const auto &each : nodes) {
        if (!each->awaitReady(milliseconds(15'000))) {
            lab::note("a node isn't ready");
            return ExitCannotRun;
        }
    }
    std::atomic<bool> ended = false;
    load clients(callers);
    std::thread sending([&] { clients.run(ended); });
    lab::pauseFor(LoadTime);
    const std::int64_t stoppedAt = lab::nowMs();
    if (lab::hasTrouble()) {
        nodes[0]->signal(SIGTERM);
    }
    // The platform asks each second; after two misses the machine's clients get no new work. After the grace time it kills the process.
    int misses = 0;
    while (lab::nowMs() < stoppedAt + GraceMs && nodes[0]->isRunning()) {
        lab::pauseFor(milliseconds(1000));
        misses = nodes[0]->isReady() ? 0 : misses + 1;
        if (misses >= 2) {
            clients.endWorkAt(0);
        }
    }
    if (lab::hasTrouble() && nodes[0]->isRunning()) {
        nodes[0]->signal(SIGKILL);
    } else {
        lab::note(nodes[0]->isRunning() ? "node-0 runs on" : "node-0 has ended");
    }
    lab::pauseFor(milliseconds(2000));
    ended = true;
    sending.join();
    std::size_t lost = 0;
    std::map<int, int> statuses;
    for (const sent_request &each : clients.requests()) {
        ++statuses[each.end.status];
        if (isLost(each, stoppedAt, workers)) {
            ++lost;
            lab::note("LOST: request " + each.id + " was sent at " + std::to_string(each.end.sentAt) + ", read, and cut without an answer at "
                      + std::to_string(each.end.endedAt) + "; SIGTERM came at " + std::to_string(stoppedAt));
        }
    }
    for (const auto &[status, count] : statuses) {
        lab::note("status " + std::to_string(status) + ": " + std::to_string(count));
    }
    lab::note("lost requests: " + std::to_string(lost));
    return lost > 0 ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return ExitCannotRun;
    }
    lab::openRecord(argv[2]);
    lab::limitRunTime(RunLimit);
    const int status = runCase(argv[1]);
    std::fflush(nullptr);
    std::_Exit(status);
}
