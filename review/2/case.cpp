// The store turns away two of six machines, those that read it on behalf of the others, while it serves the other four and the
// operator. The operator moves a route to another service. Checks that the four machines in touch follow within configPropagationMs.
#include "../standins/lab.h"

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace {

using lab::milliseconds;

constexpr milliseconds RunLimit{100'000};
constexpr int Machines = 6;
constexpr milliseconds SettleTime{12'000};   // after the start, before the disruption
constexpr milliseconds TurnedAwayTime{9000}; // for_s of platform_down in the site file
constexpr milliseconds ChangeDelay{500};     // from the disruption to the change
constexpr milliseconds Interval{100};        // between two requests at one machine
constexpr milliseconds Budget{1500};
constexpr std::int64_t ConfigPropagationMs = 2000;
constexpr std::int64_t StretchMaxMs = 5000;
constexpr std::int64_t DrainMs = 2000;
constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCannotRun = 2;

std::string configuration(int version, const std::string &service)
{
    return R"({"version":)" + std::to_string(version)
           + R"(,"services":[{"name":"dressing-order","healthPath":"/health","maxConnections":330,"protocol":"h1","tls":false},)"
             R"({"name":"catalogue","healthPath":"/health","maxConnections":330,"protocol":"h1","tls":false}],)"
             R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
             R"("virtualHosts":[{"host":"orders.example","paths":[{"name":"r-book","prefix":"/book/","kind":"non_idempotent",)"
             R"("timeoutMs":1500,"targetLatencyMs":800,"priority":1,"service":")"
           + service
           + R"(","maxAttempts":2},{"name":"r-read","prefix":"/read/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":800,)"
             R"("priority":2,"service":"dressing-order","maxAttempts":2}]}]})";
}

struct sent_request {
    std::string id;
    std::int64_t sentAt = 0;
    int status = 0;
};

class clients
{
public:
    // Sends bookings and lookups to one machine, on a connection that is kept, until the end.
    void run(const lab::address &machine, int number, const std::atomic<bool> &ended)
    {
        lab::connection to = lab::connection::open(machine);
        for (int i = 0; !ended; ++i) {
            const bool isBooking = i % 2 == 0;
            const std::string id = (isBooking ? "book-" : "read-") + std::to_string(number) + "-" + std::to_string(i);
            const lab::call what{isBooking ? "POST" : "GET", "orders.example", (isBooking ? "/book/" : "/read/") + id, id, Budget, ""};
            const lab::result end = lab::request(to, what, Budget + milliseconds(1000));
            lab::note("request " + id + " sent at " + std::to_string(end.sentAt) + " ends with " + std::to_string(end.status));
            const std::lock_guard lock(m_mutex);
            m_requests.push_back({id, end.sentAt, end.status});
            if (!to.isOpen() || to.wasEnded() || end.status == 0) {
                to = lab::connection::open(machine);
            }
            lab::pauseFor(Interval);
        }
    }

    std::vector<sent_request> requests()
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

private:
    std::mutex m_mutex;
    std::vector<sent_request> m_requests;
};

int runCase(const std::string &folder)
{
    const std::string prefix = lab::loopbackPrefix();
    const lab::address storeAt{prefix + "2", 8142};
    lab::store &platform = *new lab::store(storeAt); // serves until the program ends
    platform.put("op/config", configuration(7, "dressing-order"));
    std::vector<lab::worker *> workers; // they serve until the program ends
    std::vector<std::unique_ptr<lab::node>> nodes;
    std::vector<std::string> ips;
    for (int i = 0; i < Machines; ++i) {
        const std::string number = std::to_string(i);
        const std::string service = i < 4 ? "dressing-order" : "catalogue";
        ips.push_back(prefix + std::to_string(10 + i));
        const lab::address workerAt{ips.back(), 8145};
        workers.push_back(new lab::worker(platform, {"i-" + number, service, "kiambu", workerAt, 3, milliseconds(60)}));
        lab::node_options options{"sidecar-kiambu-" + number, "kiambu", ips.back(), service, storeAt, workerAt, {}, {}};
        options.bounds = {{"contactMs", "3000"},
                          {"drainMs", "2000"},
                          {"graceS", "6"},
                          {"configPropagationMs", "2000"},
                          {"stretchMaxMs", "5000"},
                          {"retryBudgetRatio", "0.2"},
                          {"retryWindowS", "10"},
                          {"retryBudgetSlack", "56"},
                          {"floorShare", "0.7"}};
        nodes.push_back(std::make_unique<lab::node>(options, folder));
    }
    for (const auto &each : nodes) {
        if (!each->awaitReady(milliseconds(15'000))) {
            lab::note("a node isn't ready");
            return ExitCannotRun;
        }
    }
    lab::pauseFor(SettleTime);
    const std::set<std::string> readers = platform.watchersSince(lab::nowMs() - 3000);
    for (const std::string &each : readers) {
        lab::note("machine " + each + " has read the store in the last 3 s");
    }
    if (readers.empty() || readers.size() > 2) {
        lab::note("more machines read the store than the disruption's share allows, 2 of 6");
        return readers.empty() ? ExitCannotRun : ExitHeld;
    }
    std::atomic<bool> ended = false;
    clients callers;
    std::vector<std::thread> sending;
    sending.reserve(Machines);
    for (int i = 0; i < Machines; ++i) {
        if (!readers.contains(ips[static_cast<std::size_t>(i)])) {
            sending.emplace_back([&, i] { callers.run(nodes[static_cast<std::size_t>(i)]->callers(), i, ended); });
        }
    }
    lab::pauseFor(milliseconds(2000));
    if (lab::hasTrouble()) {
        lab::note("the store turns these machines away");
        platform.turnAway(readers);
    }
    lab::pauseFor(ChangeDelay);
    platform.put("op/config", configuration(9, "catalogue"));
    const std::int64_t ackedAt = lab::nowMs();
    lab::note("version 9 is acked: /book/ goes to catalogue");
    workers[0]->report("draining");
    const std::int64_t drainedAt = lab::nowMs();
    lab::pauseFor(TurnedAwayTime - ChangeDelay);
    platform.turnAway({});
    lab::note("the store serves all machines again");
    const std::int64_t endedAt = lab::nowMs();
    lab::pauseFor(milliseconds(3000));
    ended = true;
    for (std::thread &each : sending) {
        each.join();
    }
    int late = 0;
    int beyondStretch = 0;
    int drained = 0;
    for (const sent_request &each : callers.requests()) {
        if (each.sentAt >= endedAt) {
            continue;
        }
        for (const lab::worker *worker : workers) {
            const auto runs = worker->runs();
            const auto run = runs.find(each.id);
            if (run == runs.end() || run->second.runs == 0) {
                continue;
            }
            const bool isOldService = each.id.starts_with("book-") && worker->options().service == "dressing-order";
            if (isOldService && each.sentAt > ackedAt + ConfigPropagationMs) {
                ++late;
                beyondStretch += each.sentAt > ackedAt + ConfigPropagationMs + StretchMaxMs ? 1 : 0;
                lab::note("CONFIG: request " + each.id + ", sent " + std::to_string(each.sentAt - ackedAt) + " ms after the ack of version 9, was run by "
                          + worker->options().id + " of dressing-order");
            }
            if (worker == workers[0] && run->second.startedAt > drainedAt + DrainMs) {
                ++drained;
                lab::note("DRAIN: request " + each.id + " reached " + worker->options().id + " " + std::to_string(run->second.startedAt - drainedAt)
                          + " ms after its draining was acked");
            }
        }
    }
    lab::note("requests handled as only the older version allows: " + std::to_string(late) + ", of these sent later than configPropagationMs + stretchMaxMs: "
              + std::to_string(beyondStretch) + "; requests that reached the draining worker too late: " + std::to_string(drained));
    return late > 0 ? ExitBroken : ExitHeld;
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
