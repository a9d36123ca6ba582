// The operator writes two valid configurations. The first allows larger bodies and moves a route to another service; the second splits
// a route among nine services. Checks that each is in force at all nodes after configPropagationMs.
#include "../standins/lab.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <memory>

namespace {

using lab::milliseconds;

constexpr milliseconds RunLimit{100'000};
constexpr int Machines = 3;
constexpr milliseconds Interval{100};
constexpr milliseconds Budget{1500};
constexpr milliseconds PhaseTime{6000}; // after each change
constexpr std::int64_t ConfigPropagationMs = 2000;
constexpr std::uint64_t UsualBodyBytes = 67'108'864;   // 64 MiB
constexpr std::uint64_t LargerBodyBytes = 104'857'600; // 100 MiB
constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCannotRun = 2;

constexpr std::array<std::string_view, 8> Parts{"catalogue-kiambu-blue",
                                                "catalogue-kiambu-green",
                                                "catalogue-thika-blue",
                                                "catalogue-thika-green",
                                                "catalogue-ruiru-blue",
                                                "catalogue-ruiru-green",
                                                "catalogue-spare-blue",
                                                "catalogue-spare-green"};

std::string serviceText(std::string_view name)
{
    return R"({"name":")" + std::string(name) + R"(","healthPath":"/health","maxConnections":330,"protocol":"h1","tls":false})";
}

// A part of the requests to /read/ goes to each of the first `parts` new services, the rest to `service`.
std::string readTarget(const std::string &service, std::size_t parts)
{
    if (parts == 0) {
        return R"("service":")" + service + R"(")";
    }
    std::string text = R"("weightedServices":[{"service":")" + service + R"(","weight":92})";
    for (std::size_t i = 0; i < parts; ++i) {
        text += R"(,{"service":")" + std::string(Parts.at(i)) + R"(","weight":1})";
    }
    return text + "]";
}

std::string configuration(int version, const std::string &bookService, const std::string &target, std::uint64_t maxBodyBytes)
{
    std::string services = serviceText("dressing-order") + "," + serviceText("catalogue");
    for (const std::string_view part : Parts) {
        services += "," + serviceText(part);
    }
    return R"({"version":)" + std::to_string(version) + R"(,"services":[)" + services + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":)"
           + std::to_string(maxBodyBytes)
           + R"(,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"virtualHosts":[{"host":"orders.example","paths":[)"
             R"({"name":"r-book","prefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":800,"priority":1,"service":")"
           + bookService + R"(","maxAttempts":2},{"name":"r-read","prefix":"/read/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":800,"priority":2,)"
           + target + R"(,"maxAttempts":2}]}]})";
}

struct sent_request {
    std::string id;
    std::int64_t sentAt = 0;
};

class clients
{
public:
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
            m_requests.push_back({id, end.sentAt});
            if (end.status == 0) {
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

// Counts the requests of a route that a worker of the old service ran though they were sent later than the bound allows.
int countLate(const std::vector<sent_request> &requests, const std::string &route, std::int64_t ackedAt, const std::vector<lab::worker *> &workers)
{
    int late = 0;
    for (const sent_request &each : requests) {
        if (!each.id.starts_with(route) || each.sentAt <= ackedAt + ConfigPropagationMs) {
            continue;
        }
        for (const lab::worker *worker : workers) {
            const auto runs = worker->runs();
            if (worker->options().service == "dressing-order" && runs.contains(each.id)) {
                ++late;
                lab::note("CONFIG: request " + each.id + ", sent " + std::to_string(each.sentAt - ackedAt) + " ms after the ack, was run by "
                          + worker->options().id + " of dressing-order");
            }
        }
    }
    return late;
}

int runCase(const std::string &folder)
{
    const std::string prefix = lab::loopbackPrefix();
    const lab::address storeAt{prefix + "2", 8142};
    lab::store &platform = *new lab::store(storeAt); // serves until the program ends
    platform.put("op/config", configuration(7, "dressing-order", readTarget("dressing-order", 0), UsualBodyBytes));
    std::vector<lab::worker *> workers; // they serve until the program ends
    std::vector<std::unique_ptr<lab::node>> nodes;
    for (int i = 0; i < Machines; ++i) {
        const std::string ip = prefix + std::to_string(10 + i);
        const std::string service = i < 2 ? "dressing-order" : "catalogue";
        workers.push_back(new lab::worker(platform, {"i-" + std::to_string(i), service, "kiambu", {ip, 8145}, 3, milliseconds(60)}));
        lab::node_options options{"sidecar-kiambu-" + std::to_string(i), "kiambu", ip, service, storeAt, {ip, 8145}, {}, {}};
        options.bounds = {{"contactMs", "3000"},
                          {"drainMs", "2000"},
                          {"graceS", "6"},
                          {"configPropagationMs", "2000"},
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
    lab::pauseFor(milliseconds(5000));
    std::atomic<bool> ended = false;
    clients callers;
    std::vector<std::thread> sending;
    sending.reserve(Machines);
    for (int i = 0; i < Machines; ++i) {
        sending.emplace_back([&, i] { callers.run(nodes[static_cast<std::size_t>(i)]->callers(), i, ended); });
    }
    lab::pauseFor(milliseconds(1500));
    const bool trouble = lab::hasTrouble();
    const std::uint64_t bodyBytes = trouble ? LargerBodyBytes : UsualBodyBytes;
    platform.put("op/config", configuration(9, "catalogue", readTarget("dressing-order", 0), bodyBytes));
    const std::int64_t firstAckAt = lab::nowMs();
    lab::note("version 9 is acked: /book/ goes to catalogue, maxBodyBytes is " + std::to_string(bodyBytes));
    lab::pauseFor(PhaseTime);
    const std::vector<sent_request> firstRequests = callers.requests();
    platform.put("op/config", configuration(12, "catalogue", readTarget("catalogue", trouble ? Parts.size() : 1), UsualBodyBytes));
    const std::int64_t secondAckAt = lab::nowMs();
    lab::note("version 12 is acked: /read/ is split among " + std::to_string(trouble ? Parts.size() + 1 : 2) + " services, none of them dressing-order");
    lab::pauseFor(PhaseTime);
    ended = true;
    for (std::thread &each : sending) {
        each.join();
    }
    const int lateFirst = countLate(firstRequests, "book-", firstAckAt, workers);
    const int lateSecond = countLate(callers.requests(), "read-", secondAckAt, workers);
    lab::note("requests handled as only an older version allows: " + std::to_string(lateFirst) + " after version 9, " + std::to_string(lateSecond)
              + " after version 12");
    return lateFirst + lateSecond > 0 ? ExitBroken : ExitHeld;
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
