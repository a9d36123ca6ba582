#include "soak_run.h"

#include "repeat_parts.h"

#include <http_call.h>
#include <load_report.h>

#include <fmt/format.h>

#include <set>
#include <thread>

namespace dandelionstall::soak {

namespace {

using std::chrono::milliseconds;
using testing::fleet;

constexpr milliseconds StepInterval{10};                     // interval between two calls of injector::advance()
constexpr std::chrono::seconds LoadTime{5};                  // length of one load process; the promises are checked at its end
constexpr std::chrono::seconds RestoreCap{45};               // upper bound for all stops and restarts to complete after the last fault
constexpr std::chrono::seconds RecoveryTime{8};              // time allowed, after all faults have ended, until callers are served as before
constexpr std::chrono::seconds AfterRecoveryTime{5};         // load after RecoveryTime, which the rule "recovery" evaluates
constexpr std::chrono::seconds InForceTime{7};               // upper bound for a route table to be in force on all nodes
constexpr std::chrono::milliseconds TableCheckInterval{120}; // interval between two checks of a node's route table
constexpr std::chrono::milliseconds TableCheckTimeout{400};
constexpr std::chrono::milliseconds WorkerCommandTimeout{100}; // a killed or paused worker does not answer

class soak_run
{
public:
    soak_run(const fault_plan &plan, const soak_options &options)
        : m_options(options)
        , m_fleet(options.played ? planDeployment(*options.played, options.how, plan.seed) : planFleet(plan, options.calls))
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
        if (m_options.played) {
            std::this_thread::sleep_until(m_fleet.startedAt() + m_options.played->lead);
        }
        m_startedAt = state::clock::now();
        const auto start = standins::steadyNow();
        while (elapsed() < m_result.plan.length && check()) {
            playLoad(m_options.played ? std::chrono::ceil<std::chrono::seconds>(m_result.plan.length) : LoadTime);
        }
        if (m_result.broken.empty()) {
            recover();
        }
        m_result.served = servedBySecond(m_evidence.observed.calls, start);
        m_result.load = standins::formatReport(standins::summarize(m_evidence.observed.calls));
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

    // Runs a load of the given length, and meanwhile injects the faults that are due and checks the route tables.
    std::vector<standins::call_record> playLoad(std::chrono::seconds length)
    {
        failRuns();
        testing::load_job load = m_fleet.startLoad(profileOf(length));
        while (load.running()) {
            m_injector.advance(elapsed());
            checkNextTable();
            std::this_thread::sleep_for(StepInterval);
        }
        std::vector<standins::call_record> calls = load.finish();
        m_evidence.observed.calls.insert(m_evidence.observed.calls.end(), calls.begin(), calls.end());
        return calls;
    }

    std::string profileOf(std::chrono::seconds length) const
    {
        if (m_options.played) {
            return deploymentLoad(*m_options.played, m_options.how, elapsed(), length);
        }
        return loadText(length, m_options.rate, m_options.calls.has_value());
    }

    // Share of the runs that end with an error at all workers, so that there is much to repeat.
    double failingShare() const
    {
        if (m_options.played) {
            return m_options.how.failing;
        }
        return m_options.calls ? m_options.calls->failing : 0.0;
    }

    // Makes all workers fail some of their runs. A worker fault that ends in between clears it until the next load.
    void failRuns()
    {
        for (std::size_t i = 0; failingShare() > 0.0 && i < m_fleet.nodeCount(); ++i) {
            testing::fleet_worker &worker = m_fleet.node(i).workers.front();
            testing::callHttp({worker.address, "/_fault", "PUT", fmt::format("fail={}", failingShare())}, WorkerCommandTimeout);
        }
    }

    void recover()
    {
        m_injector.endAll();
        const auto restored = [this] {
            m_injector.advance(m_result.plan.length);
            return m_injector.isRestored();
        };
        if (!testing::waitUntil(restored, RestoreCap)) {
            m_result.broken.push_back({"died", "-", "not all processes were restored and ready within the time limit after the last fault"});
            return;
        }
        playLoad(RecoveryTime);
        const auto inForce = [this] {
            return allServeLastTable();
        };
        if (!testing::waitUntil(inForce, InForceTime)) {
            m_evidence.tables.push_back(fmt::format("table_late revision {} is not in force on all nodes", m_injector.log().lastTable));
        }
        std::vector<standins::call_record> calls = playLoad(AfterRecoveryTime);
        if (!m_options.calls && !m_options.played) { // with workers that fail their runs, nothing can be as good as before
            m_evidence.callsAfterRecovery = std::move(calls);
        }
        check();
    }

    bool check()
    {
        m_evidence.observed.workers = m_fleet.evidence({}).workers;
        m_evidence.injected = m_injector.log();
        m_result.broken = findBrokenPromises(m_evidence);
        if (m_options.calls || m_options.played) {
            checkRetries();
        }
        return m_result.broken.empty();
    }

    void checkRetries()
    {
        const standins::check_input &observed = m_evidence.observed;
        standins::retry_traffic traffic = m_options.played ? trafficOf(*m_options.played, m_fleet.plan(), observed) : trafficOf(m_fleet.plan(), observed);
        traffic.excusedWorkers = m_evidence.injected.endedWorkers;
        const standins::retry_verdict verdict = standins::judgeRetries(traffic, m_options.played ? m_options.played->allowance : limitOf(*m_options.calls));
        const std::vector<standins::violation> found = standins::violationsOf(verdict);
        m_result.broken.insert(m_result.broken.end(), found.begin(), found.end());
        m_result.repeats = standins::describeRetries(verdict);
        for (const auto &[pool, sum] : largestSumOfParts(m_fleet.logsByNode())) {
            m_result.repeats += fmt::format("{}: parts of the extra repeats add up to {:.1f} at most\n", pool, sum);
        }
    }

    // ---- Tables ----

    bool hasTable(std::size_t node, std::uint64_t revision)
    {
        if (revision < 2) {
            return true;
        }
        const testing::http_outcome outcome
            = testing::callHttp({m_fleet.node(node).callers, m_fleet.tablePath(revision), "GET", {}, std::string(CallerHost)}, TableCheckTimeout);
        return outcome.status != 0 && outcome.body.find("no_route") == std::string::npos && outcome.body.find("not_ready") == std::string::npos;
    }

    bool allServeLastTable()
    {
        for (std::size_t i = 0; i < m_fleet.nodeCount(); ++i) {
            if (!hasTable(i, m_injector.log().lastTable)) {
                return false;
            }
        }
        return true;
    }

    // Checks one node per call, in turn: a route that the node has served must be served until its process ends.
    void checkNextTable()
    {
        const state::time_point now = state::clock::now();
        if (now < m_nextTableCheck) {
            return;
        }
        m_nextTableCheck = now + TableCheckInterval;
        m_checkedNode = (m_checkedNode + 1) % m_fleet.nodeCount();
        const std::size_t node = m_checkedNode;
        if (!m_injector.isUp(node)) {
            return;
        }
        const std::uint64_t restarts = m_injector.restartsOf(node);
        observed_table &observed = m_tables[node];
        if (observed.restarts != restarts) {
            observed = {restarts, 0};
        }
        if (hasTable(node, m_injector.log().lastTable)) {
            observed.highest = m_injector.log().lastTable;
            return;
        }
        const testing::http_outcome highestTable
            = testing::callHttp({m_fleet.node(node).callers, m_fleet.tablePath(observed.highest), "GET", {}, std::string(CallerHost)}, TableCheckTimeout);
        if (observed.highest >= 2 && highestTable.body.find("no_route") != std::string::npos) {
            m_evidence.tables.push_back(
                fmt::format("table_back {} no longer serves revision {}, which it had served", m_fleet.node(node).name, observed.highest));
        }
    }

    struct observed_table {
        std::uint64_t restarts = 0;
        std::uint64_t highest = 0; // highest revision that the node has served
    };

    soak_options m_options;
    fleet m_fleet;
    injector m_injector;
    soak_evidence m_evidence;
    soak_result m_result;
    state::time_point m_startedAt;
    state::time_point m_nextTableCheck;
    std::size_t m_checkedNode = 0;
    std::map<std::size_t, observed_table> m_tables;
};

} // namespace

soak_result runSoak(const fault_plan &plan, const soak_options &options)
{
    return soak_run(plan, options).run();
}

} // namespace dandelionstall::soak
