// Measures what one pool costs a node as the pool grows: evaluating and publishing its view after a few reports, the texts for
// its log lines, the choice of a worker for one attempt, and a change of one discovered worker. It only prints results and checks
// no limits.
//
// Usage: bench_pool_size
#include <dandelionstall/coordination/balancing/balancer.h>
#include <dandelionstall/coordination/health/pool_tracker.h>
#include <dandelionstall/coordination/membership/gossip_node.h>

#include <fmt/format.h>
#include <pcg_random.hpp>

#include <iostream>

using namespace dandelionstall;
using namespace dandelionstall::coordination;

namespace {

constexpr std::uint64_t Seed = 20'261'204;
constexpr std::size_t DataCentres = 5;
constexpr auto EvaluationSpan = std::chrono::milliseconds(100);
constexpr int Evaluations = 300;
constexpr std::size_t ReportsPerEvaluation = 3;
constexpr int Choices = 3000;
constexpr int Changes = 200;

struct row {
    std::size_t workers = 0;
    double evaluationUs = 0.0; // recording ReportsPerEvaluation reports, evaluating, publishing and explaining changed states
    double choiceUs = 0.0;     // choosing the worker of one attempt
    double changeUs = 0.0;     // hearing that one worker starts or stops leaving, up to the new views of its pool
};

state::pool makePool(std::size_t workers)
{
    state::pool pool;
    pool.name = "dressing-order";
    pool.slots = 4;
    for (std::size_t i = 0; i < workers; ++i) {
        pool.workers.push_back(
            {fmt::format("worker-{:04}", i), fmt::format("dc-{}", i % DataCentres), {fmt::format("10.0.{}.{}", i / 250, i % 250 + 1), 7400}, 0});
    }
    return pool;
}

worker_report makeReport(const state::pool &pool, const state::pool_worker &worker, std::uint64_t version)
{
    worker_report report;
    report.worker = worker.id;
    report.pool = pool.name;
    report.node = worker.node;
    report.incarnation = 1;
    report.version = version;
    report.slots = pool.slots;
    report.samples = 20;
    report.risk = 0.1;
    report.latency = std::chrono::milliseconds(250);
    return report;
}

double microsecondsPer(state::time_point begin, int runs)
{
    return std::chrono::duration<double, std::micro>(state::clock::now() - begin).count() / runs;
}

row measure(std::size_t workers)
{
    auto table = std::make_shared<state::pool_table>();
    table->pools.push_back(makePool(workers));
    const state::pool &pool = table->pools.front();
    pcg32 random(Seed);
    state::time_point now{std::chrono::hours(1)};
    pool_tracker tracker(Seed, "dc-0");
    tracker.setTable(table, now);
    tracker.addLocalPool(pool.name);
    std::uint64_t version = 0;
    for (const state::pool_worker &worker : pool.workers) {
        tracker.recordReport(makeReport(pool, worker, ++version), now);
    }
    tracker.evaluate(now);
    tracker.consumeStateChanges(now);
    auto begin = state::clock::now();
    for (int i = 0; i < Evaluations; ++i) {
        now += EvaluationSpan;
        for (std::size_t report = 0; report < ReportsPerEvaluation; ++report) {
            tracker.recordReport(makeReport(pool, pool.workers[random(static_cast<std::uint32_t>(workers))], ++version), now);
        }
        tracker.evaluate(now);
        tracker.consumeStateChanges(now);
    }
    row result{workers, microsecondsPer(begin, Evaluations), 0.0};
    const auto view = tracker.views().at(pool.name);
    const auto balancer = *makeBalancer("least_wait");
    const std::vector<std::uint32_t> inFlight(workers, 0);
    begin = state::clock::now();
    for (int i = 0; i < Choices; ++i) {
        pick_request request;
        request.dataCentre = "dc-0";
        request.inFlight = inFlight;
        request.random = random();
        request.now = now;
        if (balancer->pick(*view, request) == NoWorker) {
            std::cerr << "no worker was chosen\n";
        }
    }
    result.choiceUs = microsecondsPer(begin, Choices);
    return result;
}

discovered_worker makeEntry(const state::pool &pool, std::size_t index, std::uint64_t revision, worker_phase phase)
{
    const state::pool_worker &worker = pool.workers[index];
    discovered_worker entry;
    entry.id = worker.id;
    entry.pool = pool.name;
    entry.dataCentre = worker.dataCentre;
    entry.node = worker.node;
    entry.address = {worker.node.ip, 8000};
    entry.slots = pool.slots;
    entry.phase = phase;
    entry.revision.revision = revision;
    return entry;
}

double measureChange(std::size_t workers)
{
    const state::pool pool = makePool(workers);
    state::time_point now{std::chrono::hours(1)};
    gossip_node node({pool.workers.front().node, "dc-0", 1}, Seed);
    node.start({}, now);
    node.offerFromService(table_kind::pools, fmt::format("[table]\nrevision = 1\n[pool.{}]\nslots = 4\ndiscovered = yes\n", pool.name), now);
    std::vector<discovered_worker> entries;
    entries.reserve(workers);
    for (std::size_t i = 0; i < workers; ++i) {
        entries.push_back(makeEntry(pool, i, i + 1, worker_phase::ready));
    }
    node.replaceWorkers({entries, {}}, {0, workers}, now);
    node.tick(now);
    pool_tracker tracker(Seed, "dc-0");
    tracker.setTable(node.pools(), now);
    tracker.addLocalPool(pool.name);
    std::uint64_t revision = workers;
    const auto begin = state::clock::now();
    for (int i = 0; i < Changes; ++i) {
        const worker_phase phase = i % 2 == 0 ? worker_phase::leaving : worker_phase::ready;
        now += TickInterval;
        node.offerWorker(makeEntry(pool, static_cast<std::size_t>(i / 2) % workers, ++revision, phase), now);
        node.tick(now);
        tracker.setTable(node.pools(), now);
    }
    return microsecondsPer(begin, Changes);
}

} // namespace

int main()
{
    for (const std::size_t workers : {21U, 64U, 284U, 1000U}) {
        row entry = measure(workers);
        entry.changeUs = measureChange(workers);
        std::cout << fmt::format("{:>5} workers: {:8.1f} us an evaluation, {:6.1f} us a choice, {:8.1f} us a change of one worker\n",
                                 entry.workers,
                                 entry.evaluationUs,
                                 entry.choiceUs,
                                 entry.changeUs);
    }
    return 0;
}
