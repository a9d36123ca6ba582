#include "soak_run.h"

#include <http_call.h>
#include <load_report.h>

#include <fmt/format.h>

#include <array>
#include <set>
#include <thread>

namespace dandelionstall::soak {

namespace {

using std::chrono::milliseconds;
using testing::fleet;
using testing::fleet_plan;

constexpr milliseconds StepInterval{10};               // between two looks at the plan
constexpr std::chrono::seconds SliceTime{5};           // length of one load; the promises are checked at its end
constexpr std::chrono::seconds WholeCap{45};           // for stops and restarts to end after the last fault
constexpr std::chrono::seconds RecoverTime{8};         // after all faults are over, until callers are served as before
constexpr std::chrono::seconds CalmTime{5};            // of load after that
constexpr std::chrono::seconds InForceTime{7};         // for a route table to be in force everywhere
constexpr std::chrono::milliseconds LookInterval{120}; // between two looks at the table of a node
constexpr std::chrono::milliseconds LookTimeout{400};
constexpr std::array DataCentres{"kiambu", "thika", "ruiru"};

fleet_plan planFleet(const fault_plan &plan)
{
    fleet_plan result = testing::threeDataCentres();
    result.proxyCallers = false; // callers see refused connections as they are
    result.seed = plan.seed;
    result.nodes.clear();
    for (std::size_t i = 0; i < plan.nodes; ++i) {
        const char *dataCentre = DataCentres.at(i % DataCentres.size());
        result.nodes.push_back({dataCentre, {{fmt::format("{}-{}", dataCentre, i / DataCentres.size()), "orders"}}});
    }
    return result;
}

std::string loadText(std::chrono::seconds length, double rate)
{
    return fmt::format("[phase.all]\nseconds={}\nrate={}\n"
                       "[class.lookup]\nshare=0.5\npath=/lookup\nidempotent=yes\ncost_ms=10\ncost_sigma=0.3\ndeadline_ms=2000\nbytes=700\n"
                       "[class.book]\nshare=0.3\npath=/book\nmethod=POST\nidempotent=no\ncost_ms=20\ndeadline_ms=2000\nworth=5\n"
                       "[class.book_again]\nshare=0.2\npath=/book\nmethod=POST\nidempotent=no\nticket=yes\nretries=2\ncost_ms=20\ndeadline_ms=2000\nworth=5\n",
                       length.count(),
                       rate);
}

class soak_run
{
public:
    soak_run(const fault_plan &plan, const soak_options &options)
        : m_options(options)
        , m_fleet(planFleet(plan))
        , m_injector(m_fleet, plan)
    {
        m_result.plan = plan;
    }

    soak_result run()
    {
        m_fleet.start();
        for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i) {
            m_evidence.callers.push_back(m_fleet.node(i).callers);
        }
        m_startedAt = state::clock::now();
        const auto start = standins::steadyNow();
        while (elapsed() < m_result.plan.length && check()) {
            playSlice(SliceTime);
        }
        if (m_result.broken.empty()) {
            recover();
        }
        m_result.served = servedBySecond(m_evidence.seen.calls, start);
        m_result.load = standins::formatReport(standins::summarize(m_evidence.seen.calls));
        if (!m_result.broken.empty()) {
            m_result.logs = m_fleet.nodeLogs();
        }
        return std::move(m_result);
    }

private:
    milliseconds elapsed() const
    {
        return std::chrono::duration_cast<milliseconds>(state::clock::now() - m_startedAt);
    }

    // Load for a while, with faults and looks at the tables meanwhile.
    std::vector<standins::call_record> playSlice(std::chrono::seconds length)
    {
        testing::load_job load = m_fleet.startLoad(loadText(length, m_options.rate));
        while (load.running()) {
            m_injector.advance(elapsed());
            lookAtTables();
            std::this_thread::sleep_for(StepInterval);
        }
        std::vector<standins::call_record> calls = load.finish();
        m_evidence.seen.calls.insert(m_evidence.seen.calls.end(), calls.begin(), calls.end());
        return calls;
    }

    void recover()
    {
        m_injector.endAll();
        const auto whole = [this] {
            m_injector.advance(m_result.plan.length);
            return m_injector.isWhole();
        };
        if (!testing::waitUntil(whole, WholeCap)) {
            m_result.broken.push_back({"died", "-", "a process did not come back after the last fault"});
            return;
        }
        playSlice(RecoverTime);
        const auto inForce = [this] {
            return allServeLastTable();
        };
        if (!testing::waitUntil(inForce, InForceTime)) {
            m_evidence.tables.push_back(fmt::format("table_late revision {} is not in force everywhere", m_injector.log().lastTable));
        }
        m_evidence.afterwards = playSlice(CalmTime);
        check();
    }

    bool check()
    {
        m_evidence.seen.workers = m_fleet.evidence({}).workers;
        m_evidence.done = m_injector.log();
        m_result.broken = findBrokenPromises(m_evidence);
        return m_result.broken.empty();
    }

    // ---- Tables ----

    bool knowsTable(std::size_t node, std::uint64_t revision)
    {
        if (revision < 2) {
            return true;
        }
        const testing::http_outcome outcome = testing::callHttp({m_fleet.node(node).callers, fmt::format("/table-{}", revision), "GET", {}}, LookTimeout);
        return outcome.status != 0 && outcome.body.find("no_route") == std::string::npos && outcome.body.find("not_ready") == std::string::npos;
    }

    bool allServeLastTable()
    {
        for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i) {
            if (!knowsTable(i, m_injector.log().lastTable)) {
                return false;
            }
        }
        return true;
    }

    // One node at a time: what it has served once, it serves until its process ends.
    void lookAtTables()
    {
        const state::time_point now = state::clock::now();
        if (now < m_nextLook) {
            return;
        }
        m_nextLook = now + LookInterval;
        m_lookedAt = (m_lookedAt + 1) % m_fleet.nodeCount();
        const std::size_t node = m_lookedAt;
        if (!m_injector.isUp(node)) {
            return;
        }
        const std::uint64_t life = m_injector.lifeOf(node);
        table_seen &seen = m_tables[node];
        if (seen.life != life) {
            seen = {life, 0};
        }
        if (knowsTable(node, m_injector.log().lastTable)) {
            seen.highest = m_injector.log().lastTable;
            return;
        }
        const testing::http_outcome again = testing::callHttp({m_fleet.node(node).callers, fmt::format("/table-{}", seen.highest), "GET", {}}, LookTimeout);
        if (seen.highest >= 2 && again.body.find("no_route") != std::string::npos) {
            m_evidence.tables.push_back(fmt::format("table_back {} had served revision {}", m_fleet.node(node).name, seen.highest));
        }
    }

    struct table_seen {
        std::uint64_t life = 0;
        std::uint64_t highest = 0; // revision that it has served
    };

    soak_options m_options;
    fleet m_fleet;
    injector m_injector;
    soak_evidence m_evidence;
    soak_result m_result;
    state::time_point m_startedAt;
    state::time_point m_nextLook;
    std::size_t m_lookedAt = 0;
    std::map<std::size_t, table_seen> m_tables;
};

} // namespace

soak_result runSoak(const fault_plan &plan, const soak_options &options)
{
    return soak_run(plan, options).run();
}

} // namespace dandelionstall::soak
