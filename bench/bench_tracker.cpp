// Measures the processor time and memory of the control thread's pool views when a node routes to many pools: every answer
// carries reports, and the tracker evaluates and publishes every 100 ms. It only prints results and checks no limits.
//
// Usage: bench_tracker [--json]
#include <dandelionstall/coordination/health/pool_tracker.h>

#include <boost/json.hpp>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <malloc.h>

#include <iostream>
#include <string_view>

using namespace dandelionstall;
using namespace dandelionstall::coordination;

namespace {

constexpr std::uint64_t Seed = 20'261'203;
constexpr std::size_t WorkersPerPool = 21;
constexpr std::uint32_t AnswersPerTick = 7; // 70 answers per second, which approximates a load of 68
constexpr std::uint32_t ReportsPerAnswer = 3;
constexpr auto TickSpan = std::chrono::milliseconds(100);
constexpr int Ticks = 600; // one minute of simulated time

struct row {
    std::size_t pools = 0;       // tracked pools
    double percentOfCore = 0.0;  // processor time for recording reports, evaluating and publishing
    double bytesPerWorker = 0.0; // memory of the tracker
};

std::shared_ptr<const state::pool_table> makeTable(std::size_t pools)
{
    auto table = std::make_shared<state::pool_table>();
    for (std::size_t p = 0; p < pools; ++p) {
        state::pool pool;
        pool.name = fmt::format("service-{}", p);
        pool.slots = 3;
        for (std::size_t w = 0; w < WorkersPerPool; ++w) {
            const auto vm = (p * 7 + w * 161) % 3400;
            pool.workers.push_back({fmt::format("s{}-w{}", p, w), fmt::format("dc-{}", vm % 15), {fmt::format("10.0.{}.{}", vm / 250, vm % 250 + 1), 7400}, 0});
        }
        table->pools.push_back(std::move(pool));
    }
    return table;
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
    return report;
}

row measure(std::size_t pools)
{
    const auto table = makeTable(pools);
    pcg32 random(Seed);
    state::time_point now{std::chrono::hours(1)};
    const std::size_t before = mallinfo2().uordblks;
    pool_tracker tracker(Seed, "dc-0");
    tracker.setTable(table, now);
    for (const state::pool &pool : table->pools) {
        tracker.recordPoolUse(pool.name, now);
    }
    tracker.evaluate(now);
    const std::size_t bytes = mallinfo2().uordblks - before;
    std::uint64_t version = 0;
    std::size_t published = 0;
    const auto begin = state::clock::now();
    for (int tick = 0; tick < Ticks; ++tick) {
        now += TickSpan;
        for (std::uint32_t answer = 0; answer < AnswersPerTick; ++answer) {
            const state::pool &pool = table->pools[random(static_cast<std::uint32_t>(pools))];
            tracker.recordPoolUse(pool.name, now);
            for (std::uint32_t i = 0; i < ReportsPerAnswer; ++i) {
                tracker.recordReport(makeReport(pool, pool.workers[random(WorkersPerPool)], ++version), now);
            }
        }
        if (!tracker.evaluate(now).empty()) {
            published += tracker.views().size();
        }
    }
    const double busy = std::chrono::duration<double>(state::clock::now() - begin).count();
    const double span = std::chrono::duration<double>(TickSpan * Ticks).count();
    return {published > 0 ? pools : 0, 100.0 * busy / span, static_cast<double>(bytes) / static_cast<double>(pools * WorkersPerPool)};
}

} // namespace

int main(int argc, char **argv)
{
    const bool json = argc > 1 && std::string_view(argv[1]) == "--json";
    boost::json::array out;
    for (const std::size_t pools : {10U, 100U, 400U, 1400U}) {
        const row entry = measure(pools);
        if (json) {
            out.push_back({{"pools", entry.pools}, {"percent_of_core", entry.percentOfCore}, {"bytes_per_worker", entry.bytesPerWorker}});
        } else {
            std::cout << fmt::format(
                "{:>5} pools of {}: {:.3f} % of a core, {:.0f} bytes a worker\n", entry.pools, WorkersPerPool, entry.percentOfCore, entry.bytesPerWorker);
        }
    }
    if (json) {
        std::cout << boost::json::serialize(out) << '\n';
    }
    return 0;
}
