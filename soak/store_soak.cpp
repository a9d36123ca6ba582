#include "store_soak.h"

#include <store_fleet.h>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

namespace dandelionstall::soak {

using standins::steadyNow;
using std::chrono::milliseconds;
using testing::store_fleet;

namespace {

constexpr std::size_t Nodes = store_fleet::Nodes;
constexpr unsigned StatusOk = 200;
constexpr milliseconds TickTime{50};
constexpr milliseconds CallPause{15};
constexpr std::uint32_t BookEvery = 4;    // one request in this many is non-idempotent
constexpr std::uint32_t OldEvery = 7;     // one request in this many has the path of the version before
constexpr std::uint64_t FirstVersion = 2; // the fleet starts with version 1, which has another path
constexpr double LimitedRate = 20;        // requests per second and burst of the organisation that sends more
constexpr milliseconds LimitedPause{45};  // between its requests at each node: over four times its rate
constexpr const char *LimitedKey = "Api-Key: lk-1\r\n";
constexpr std::size_t MostLeaving = 1;        // workers that leave at once: the others can do the work
constexpr milliseconds StopCap{8000};         // a node that has got SIGTERM must end within it
constexpr std::chrono::seconds SettleTime{8}; // after the last fault: restarts, entries that return, configurations

struct node_state {
    std::atomic<unsigned> incarnation{1};
    std::atomic<bool> ready{true};
    bool stopping = false;     // has got SIGTERM
    steady_time startAt{0};    // when to start it again; 0: it is running
    steady_time stopBefore{0}; // limit of the graceful stop
};

struct worker_state {
    unsigned lifetime = 1;
    bool leaving = false;
    steady_time replaceAt{0};
    steady_time since{0};
};

// Status of an answer "HTTP/1.1 200 ..."; 0 without an answer.
unsigned statusOf(const std::string &answer)
{
    constexpr std::size_t StatusAt = 9;
    constexpr std::size_t StatusDigits = 3;
    return answer.size() > StatusAt + StatusDigits ? static_cast<unsigned>(std::stoul(answer.substr(StatusAt, StatusDigits))) : 0;
}

class store_soak
{
public:
    store_soak(const store_plan &plan, bool namesEra)
        : m_plan(plan)
        , m_eraFault(namesEra ? "" : "era=none\n")
    { }

    store_soak_result run();

private:
    store_soak_result summarize();
    void callUntilEnded(std::size_t node);
    void callLimitedUntilEnded(std::size_t node);          // for the organisation that sends more than its rate
    void readOnce(std::size_t node, std::uint32_t number); // the path of the newest configuration, or of the one before
    void tick(steady_time now);
    void inject(const store_step &step, steady_time now);
    void writeConfiguration(std::uint64_t version);
    void announceWorkers();
    void leave(std::size_t place, steady_time now, milliseconds lasts);
    void replaceLeaving(steady_time now);
    void watchNodes(steady_time now);
    void startAgain(std::size_t node);
    void endRefusal(steady_time now);
    std::string workerId(std::size_t place) const;

    const store_plan &m_plan;
    const std::string m_eraFault; // of the store, besides those of the plan
    store_fleet m_fleet;
    std::array<node_state, Nodes> m_nodes;
    std::array<worker_state, Nodes> m_workers;
    std::atomic<std::uint64_t> m_newest{0};
    std::atomic<bool> m_ended{false};
    steady_time m_refusedUntil{0};
    steady_time m_rewriteAt{0};
    std::mutex m_callsMutex;
    standins::send_times m_limitedSent;
    store_evidence m_evidence;
    std::vector<standins::violation> m_broken;
};

// [SECTION] Callers

void store_soak::callUntilEnded(std::size_t node)
{
    for (std::uint32_t i = 0; !m_ended; ++i) {
        if (i % BookEvery == 1) {
            m_fleet.request(node, "POST", "/book/1", fmt::format("book-{}-{}", node, i)); // judged by the logs of the workers
        } else {
            readOnce(node, i);
        }
        std::this_thread::sleep_for(CallPause);
    }
}

void store_soak::readOnce(std::size_t node, std::uint32_t number)
{
    const node_state &state = m_nodes[node];
    const std::uint64_t newest = m_newest;
    store_call call;
    call.node = node;
    call.incarnation = state.incarnation;
    call.version = number % OldEvery == 3 && newest > 1 ? newest - 1 : newest;
    call.sent = steadyNow();
    const std::string answer = m_fleet.request(node, "GET", fmt::format("/read{}/1", call.version), fmt::format("read-{}-{}", node, number));
    call.ended = steadyNow();
    call.status = statusOf(answer);
    if (state.ready && call.incarnation == state.incarnation) {
        const std::lock_guard lock(m_callsMutex);
        m_evidence.calls.push_back(call);
    }
}

void store_soak::callLimitedUntilEnded(std::size_t node)
{
    for (std::uint32_t i = 0; !m_ended; ++i) {
        const std::string id = fmt::format("limited-{}-{}", node, i);
        {
            const std::lock_guard lock(m_callsMutex);
            m_limitedSent[id] = steadyNow();
        }
        m_fleet.request(node, "GET", fmt::format("/read{}/1", m_newest.load()), id, "1.1", {}, LimitedKey); // judged by the logs of the workers
        std::this_thread::sleep_for(LimitedPause);
    }
}

// [SECTION] Operator and workers

// As store_fleet::configure, with public routes and an organisation.
std::string documentOf(std::uint64_t version)
{
    const std::string common = R"("timeoutMs":2000,"service":"orders","maxAttempts":2,"public":true)";
    return fmt::format(R"({{"version":{},"services":[{{"name":"orders"}}],)"
                       R"("tenants":[{{"name":"limited","apiKeys":["lk-1"],"priority":1,"ratePerS":{},"burst":{}}}],)"
                       R"("virtualHosts":[{{"host":"shop.example","paths":[)"
                       R"({{"name":"read","prefix":"/read{}/","kind":"idempotent","priority":2,{}}},)"
                       R"({{"name":"book","prefix":"/book/","kind":"non_idempotent","priority":1,{}}}]}}]}})",
                       version,
                       LimitedRate,
                       LimitedRate,
                       version,
                       common,
                       common);
}

void store_soak::writeConfiguration(std::uint64_t version)
{
    config_write write{version, steadyNow(), {}};
    m_fleet.writeConfiguration(documentOf(version));
    write.writtenAt = steadyNow();
    if (version != m_newest) {
        m_evidence.writes.push_back(write);
    }
    m_newest = version;
}

std::string store_soak::workerId(std::size_t place) const
{
    const unsigned lifetime = m_workers[place].lifetime;
    return lifetime == 1 ? fmt::format("w{}", place) : fmt::format("w{}-{}", place, lifetime); // the fleet has started those of lifetime 1
}

void store_soak::announceWorkers()
{
    for (std::size_t place = 0; place < Nodes; ++place) {
        m_fleet.announce(place, workerId(place), m_workers[place].leaving ? "draining" : "ready", m_workers[place].lifetime);
    }
}

void store_soak::leave(std::size_t place, steady_time now, milliseconds lasts)
{
    const auto leaving = std::count_if(m_workers.begin(), m_workers.end(), [](const worker_state &each) { return each.leaving; });
    if (static_cast<std::size_t>(leaving) >= MostLeaving) {
        return;
    }
    worker_state &worker = m_workers[place];
    worker.leaving = true;
    worker.replaceAt = now + lasts;
    announceWorkers();
    worker.since = steadyNow();
}

void store_soak::replaceLeaving(steady_time now)
{
    for (std::size_t place = 0; place < Nodes; ++place) {
        worker_state &worker = m_workers[place];
        if (!worker.leaving || now < worker.replaceAt) {
            continue;
        }
        m_evidence.leavings.push_back({place, worker.since, steadyNow()});
        m_fleet.removeEntry(workerId(place));
        ++worker.lifetime;
        worker.leaving = false;
        m_fleet.startWorker(place, workerId(place));
        m_fleet.announce(place, workerId(place), "ready", worker.lifetime);
    }
}

// [SECTION] Faults

void store_soak::inject(const store_step &step, steady_time now)
{
    node_state &node = m_nodes[step.target];
    const bool running = node.startAt.count() == 0 && !node.stopping;
    switch (step.kind) {
    case store_fault::rewind:
        m_evidence.rewinds.push_back({steadyNow(), step.age});
        m_fleet.rewindStore(step.age);
        m_rewriteAt = steadyNow() + RewriteTime / 2;
        break;
    case store_fault::configure:
        writeConfiguration(m_newest + 1);
        break;
    case store_fault::worker_leave:
        leave(step.target, now, step.duration);
        break;
    case store_fault::node_kill:
        if (running) {
            node.ready = false;
            m_fleet.node(step.target).kill();
            node.startAt = now + step.duration;
        }
        break;
    case store_fault::node_stop:
        if (running) {
            node.ready = false;
            node.stopping = true;
            node.stopBefore = now + StopCap;
            m_fleet.node(step.target).signal(SIGTERM);
        }
        break;
    case store_fault::refuse:
        m_fleet.setStoreFault(m_eraFault + fmt::format("refuse={}\n", m_fleet.nodeIp(step.target)));
        m_refusedUntil = now + step.duration;
        break;
    }
}

void store_soak::endRefusal(steady_time now)
{
    if (m_refusedUntil.count() > 0 && now >= m_refusedUntil) {
        m_refusedUntil = {};
        m_fleet.setStoreFault(m_eraFault);
    }
}

void store_soak::startAgain(std::size_t node)
{
    ++m_nodes[node].incarnation;
    m_nodes[node].stopping = false;
    m_nodes[node].startAt = {};
    m_fleet.startNode(node);
}

void store_soak::watchNodes(steady_time now)
{
    for (std::size_t i = 0; i < Nodes; ++i) {
        node_state &node = m_nodes[i];
        if (node.startAt.count() > 0) {
            if (now >= node.startAt) {
                startAgain(i);
            }
        } else if (!m_fleet.node(i).running()) {
            if (!node.stopping) {
                m_broken.push_back({"died", "", fmt::format("node {} has ended by itself", i)});
            }
            startAgain(i);
        } else if (node.stopping && now >= node.stopBefore) {
            m_broken.push_back({"died", "", fmt::format("node {} did not stop", i)});
            m_fleet.node(i).kill();
        } else if (!node.stopping && !node.ready && m_fleet.isReady(i)) {
            m_evidence.starts.push_back({i, node.incarnation, steadyNow()});
            node.ready = true;
        }
    }
}

// [SECTION] Run

void store_soak::tick(steady_time now)
{
    replaceLeaving(now);
    endRefusal(now);
    watchNodes(now);
    if (m_rewriteAt.count() > 0 && now >= m_rewriteAt) {
        m_rewriteAt = {};
        writeConfiguration(m_newest);
        announceWorkers();
    }
}

store_soak_result store_soak::run()
{
    m_fleet.setStoreFault(m_eraFault);
    m_fleet.addWorkerArguments({"--log-headers"});
    m_fleet.start();
    for (std::size_t i = 0; i < Nodes; ++i) {
        m_evidence.starts.push_back({i, 1, steadyNow()});
    }
    writeConfiguration(FirstVersion);
    std::this_thread::sleep_for(InForceTime);
    std::vector<std::thread> callers;
    callers.reserve(2 * Nodes);
    for (std::size_t i = 0; i < Nodes; ++i) {
        callers.emplace_back([this, i] { callUntilEnded(i); });
        callers.emplace_back([this, i] { callLimitedUntilEnded(i); });
    }
    const steady_time begunAt = steadyNow();
    const steady_time endsAt = begunAt + m_plan.length + SettleTime;
    steady_time heartbeatAt = begunAt;
    std::size_t next = 0;
    for (steady_time now = begunAt; now < endsAt; now = steadyNow()) {
        for (; next < m_plan.steps.size() && now >= begunAt + m_plan.steps[next].at; ++next) {
            inject(m_plan.steps[next], now);
        }
        tick(now);
        if (now >= heartbeatAt) {
            announceWorkers();
            heartbeatAt = now + RewriteTime / 2;
        }
        std::this_thread::sleep_for(TickTime);
    }
    m_ended = true;
    for (std::thread &caller : callers) {
        caller.join();
    }
    m_evidence.endedAt = steadyNow();
    return summarize();
}

store_soak_result store_soak::summarize()
{
    for (std::size_t place = 0; place < Nodes; ++place) {
        standins::run_log log;
        standins::parseRunLog(m_fleet.workerLog(place), workerId(place), log);
        m_evidence.runs.push_back(std::move(log.runs));
        const auto limited = standins::parseOrganisationRuns(m_fleet.workerLog(place), "Tenant-Id", m_limitedSent)["limited"];
        m_evidence.organisationRuns.insert(m_evidence.organisationRuns.end(), limited.begin(), limited.end());
    }
    m_evidence.organisationRate = {.perSecond = LimitedRate, .burst = LimitedRate};
    const auto endsFirst = [](const store_call &a, const store_call &b) {
        return a.ended < b.ended;
    };
    std::sort(m_evidence.calls.begin(), m_evidence.calls.end(), endsFirst);
    store_soak_result result;
    result.calls = m_evidence.calls.size();
    result.served = static_cast<std::size_t>(
        std::count_if(m_evidence.calls.begin(), m_evidence.calls.end(), [](const store_call &each) { return each.status == StatusOk; }));
    result.rewinds = m_evidence.rewinds.size();
    result.broken = findStoreViolations(m_evidence);
    result.broken.insert(result.broken.end(), m_broken.begin(), m_broken.end());
    if (!result.broken.empty()) {
        result.logs = m_fleet.linesWith("name=");
    }
    return result;
}

} // namespace

store_soak_result runStoreSoak(const store_plan &plan, bool namesEra)
{
    return store_soak(plan, namesEra).run();
}

} // namespace dandelionstall::soak
