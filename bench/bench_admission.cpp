// Compares admission policies under the same seeded load: worth answered at peak load, latency of short requests behind
// long ones, attempts added by retries during a total failure, and the admitted share of an organisation's rate.
//
// Usage: bench_admission [--json]
// Prints a table, or an array of JSON rows with --json.
#include "bench_admission_model.h"

#include <dandelionstall/coordination/limits/limits.h>
#include <dandelionstall/coordination/repeats/retry.h>

#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <array>
#include <iostream>
#include <limits>

namespace {

using namespace dandelionstall;
using namespace dandelionstall::bench;
using namespace std::chrono_literals;

constexpr std::array<std::uint64_t, 5> Seeds{11, 22, 33, 44, 55};
constexpr std::array<const char *, 2> Policies{"fifo", "worth_density"};
constexpr double PeakLoad = 3.0;           // multiple of the pool's capacity
constexpr double OrdinaryLoad = 0.6;       // share of the pool's capacity
constexpr double HiddenStragglers = 0.001; // share of requests that run longer than expected, without a hint beforehand

// Range and mean of the values of one figure over all seeds.
struct value_range {
    double low = std::numeric_limits<double>::max();
    double high = std::numeric_limits<double>::lowest();
    double sum = 0.0;
    std::size_t count = 0;

    void add(double value)
    {
        low = std::min(low, value);
        high = std::max(high, value);
        sum += value;
        ++count;
    }

    double mean() const
    {
        return sum / static_cast<double>(count);
    }
};

// Prints rows as text at once, or collects them and prints a JSON array at the end.
class report
{
public:
    explicit report(bool json)
        : m_json(json)
    { }

    ~report()
    {
        if (m_json) {
            std::cout << boost::json::serialize(m_rows) << '\n';
        }
    }

    void add(const std::string &scenario, const std::string &policy, const std::string &figure, const value_range &values)
    {
        if (m_json) {
            m_rows.push_back(boost::json::object{
                {"scenario", scenario}, {"policy", policy}, {"figure", figure}, {"mean", values.mean()}, {"low", values.low}, {"high", values.high}});
        } else {
            fmt::print("{:38} {:14} {:34} {:10.3f}  [{:.3f}, {:.3f}]\n", scenario, policy, figure, values.mean(), values.low, values.high);
        }
    }

private:
    bool m_json;
    boost::json::array m_rows;
};

run_setup makePeakLoad(const char *policy, std::uint64_t seed, duration length)
{
    run_setup setup;
    setup.policy = policy;
    setup.seed = seed;
    setup.measureFrom = time_point{10s};
    setup.measureUntil = setup.measureFrom + length;
    setup.phases = {{setup.measureFrom, OrdinaryLoad}, {setup.measureUntil, PeakLoad}, {setup.measureUntil + 5s, OrdinaryLoad}};
    return setup;
}

run_setup makeOrdinaryLoad(const char *policy, std::uint64_t seed, double load)
{
    run_setup setup;
    setup.policy = policy;
    setup.seed = seed;
    setup.measureFrom = time_point{10s};
    setup.measureUntil = time_point{40s};
    setup.phases = {{setup.measureUntil, load}};
    return setup;
}

void reportPeakLoad(report &out, const pool_size &pool, duration length, double hiddenStragglers)
{
    const auto scenario = fmt::format("{} crest {} s{}", pool.name, length / 1s, hiddenStragglers > 0 ? ", hidden stragglers" : "");
    for (const char *policy : Policies) {
        std::map<std::string, value_range> figures;
        for (const std::uint64_t seed : Seeds) {
            run_setup setup = makePeakLoad(policy, seed, length);
            setup.hiddenStragglers = hiddenStragglers;
            const run_result result = runPool(pool, setup);
            figures["worth of achievable"].add(result.worthAnswered / result.worthAchievable);
            figures["worth of achievable in open slots"].add(result.worthOpen / result.achievableOpen);
            figures["worth of achievable by hindsight"].add(result.worthAnswered / result.worthHindsight);
            figures["slot time wasted"].add(result.wasted);
            figures["mean time to refusal, ms"].add(result.refusedAfterMs);
        }
        for (const auto &[figure, values] : figures) {
            out.add(scenario, policy, figure, values);
        }
    }
}

void reportShortBehindLong(report &out, const pool_size &pool, double load, bool balanced, double hiddenStragglers)
{
    const auto scenario = fmt::format("{} load {} {}{}", pool.name, load, balanced ? "balanced" : "random", hiddenStragglers > 0 ? ", hidden stragglers" : "");
    for (const char *policy : Policies) {
        std::map<std::string, value_range> figures;
        for (const std::uint64_t seed : Seeds) {
            run_setup setup = makeOrdinaryLoad(policy, seed, load);
            setup.balanced = balanced;
            setup.withLong = false;
            const run_result without = runPool(pool, setup);
            setup.withLong = true;
            setup.hiddenStragglers = hiddenStragglers;
            const run_result with = runPool(pool, setup);
            figures["short p99 without, ms"].add(without.shortP99Ms);
            figures["short p99 with, ms"].add(with.shortP99Ms);
            figures["short p99 with / without"].add(with.shortP99Ms / without.shortP99Ms);
            figures["short answered"].add(with.shortAnswered);
            figures["long answered"].add(with.longAnswered);
        }
        for (const auto &[figure, values] : figures) {
            out.add(scenario, policy, figure, values);
        }
    }
}

// Returns the attempts per request when every attempt fails before it has run.
double measureAmplification(const char *policy, double requestsPerSecond, std::uint64_t seed)
{
    const auto retries = *coordination::makeRetryPolicy(policy, seed);
    const auto gap = std::chrono::duration_cast<duration>(std::chrono::duration<double>(1.0 / requestsPerSecond));
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0;
    for (time_point now{1h}; now < time_point{1h + 60s}; now += gap) {
        ++requests;
        retries->recordRequest(now);
        coordination::failed_attempt failure;
        failure.retryReason = coordination::retry_reason::connect_failed;
        failure.run = coordination::run_state::not_run;
        failure.deadline = now + 1s;
        failure.attempts = 1;
        while (retries->decide(failure, now).retry) {
            ++failure.attempts;
        }
        attempts += failure.attempts;
    }
    return static_cast<double>(attempts) / static_cast<double>(requests);
}

void reportRetries(report &out)
{
    for (const double rate : {1.0, 68.0, 1000.0}) {
        for (const char *policy : {"fixed_count", "budgeted"}) {
            value_range amplification;
            for (const std::uint64_t seed : Seeds) {
                amplification.add(measureAmplification(policy, rate, seed));
            }
            out.add(fmt::format("total failure, {} requests/s", rate), policy, "attempts per request", amplification);
        }
    }
}

// Returns the admitted share of an organisation's rate when it sends three times that rate. Its requests arrive at
// `reached` of all nodes; the limiter of each node admits one node's share of the rate.
double measureLimit(std::uint32_t nodes, std::uint32_t reached, std::uint64_t seed)
{
    constexpr double Rate = 20.0;
    constexpr duration Length = 120s;
    std::vector<std::unique_ptr<coordination::organisation_limiter>> limiters;
    limiters.reserve(reached);
    for (std::uint32_t node = 0; node < reached; ++node) {
        limiters.push_back(coordination::makeOrganisationLimiter(16, seed));
    }
    pcg64 random(seed);
    std::exponential_distribution<double> gap(3.0 * Rate);
    double admitted = 0.0;
    for (time_point now{1h}; now < time_point{1h + Length}; now += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random)))) {
        admitted += limiters[random(reached)]->admit({"organisation", "route", Rate, nodes}, now).admitted ? 1.0 : 0.0;
    }
    return admitted / (Rate * std::chrono::duration<double>(Length).count());
}

void reportLimits(report &out)
{
    struct reach {
        std::uint32_t nodes;
        std::uint32_t reached;
    };
    for (const auto &[nodes, reached] : {reach{15, 15}, reach{15, 2}, reach{23, 23}, reach{23, 2}, reach{3400, 3400}, reach{3400, 15}}) {
        value_range share;
        for (const std::uint64_t seed : Seeds) {
            share.add(measureLimit(nodes, reached, seed));
        }
        out.add(fmt::format("organisation at {} of {} nodes", reached, nodes), "limiter", "admitted share of its rate", share);
    }
}

} // namespace

int main(int argc, char **argv)
{
    boost::program_options::options_description options("bench_admission");
    options.add_options()("json", "print a JSON array of rows")("help", "print this help");
    boost::program_options::variables_map chosen;
    boost::program_options::store(boost::program_options::parse_command_line(argc, argv, options), chosen);
    if (chosen.contains("help")) {
        std::cout << options;
        return 0;
    }
    report out(chosen.contains("json"));
    if (!chosen.contains("json")) {
        fmt::print("seeds: {}\nmean [lowest, highest] over the seeds\n", fmt::join(Seeds, " "));
    }
    for (const pool_size &pool : {makeKiambu(), makeVaga()}) {
        for (const duration length : {duration(2s), duration(10s)}) {
            reportPeakLoad(out, pool, length, 0.0);
        }
        reportPeakLoad(out, pool, 10s, HiddenStragglers);
        for (const double load : {0.3, 0.5, 0.7}) {
            reportShortBehindLong(out, pool, load, false, 0.0);
        }
        reportShortBehindLong(out, pool, 0.7, true, 0.0);
        reportShortBehindLong(out, pool, 0.5, true, HiddenStragglers);
    }
    reportRetries(out);
    reportLimits(out);
    return 0;
}
