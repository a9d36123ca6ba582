// Admission policies compared on the same seeded load: worth answered at a crest, short work behind long work,
// what retries add under total failure, and what an organisation gets of its rate. Prints a table, or rows of JSON with --json.
#include "bench_admission_model.h"

#include <dandelionstall/coordination/limits.h>
#include <dandelionstall/coordination/retry.h>

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
constexpr double CrestLoad = 3.0;
constexpr double OrdinaryLoad = 0.6;
constexpr double HiddenStragglers = 0.001;

// The values of one figure over the seeds.
struct spread {
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

    void add(const std::string &scenario, const std::string &policy, const std::string &figure, const spread &values)
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

run_setup makeCrest(const char *policy, std::uint64_t seed, duration length)
{
    run_setup setup;
    setup.policy = policy;
    setup.seed = seed;
    setup.measureFrom = time_point{10s};
    setup.measureUntil = setup.measureFrom + length;
    setup.phases = {{setup.measureFrom, OrdinaryLoad}, {setup.measureUntil, CrestLoad}, {setup.measureUntil + 5s, OrdinaryLoad}};
    return setup;
}

run_setup makeOrdinary(const char *policy, std::uint64_t seed, double load)
{
    run_setup setup;
    setup.policy = policy;
    setup.seed = seed;
    setup.measureFrom = time_point{10s};
    setup.measureUntil = time_point{40s};
    setup.phases = {{setup.measureUntil, load}};
    return setup;
}

void reportCrest(report &out, const pool_size &pool, duration length, double hiddenStragglers)
{
    const auto scenario = fmt::format("{} crest {} s{}", pool.name, length / 1s, hiddenStragglers > 0 ? ", hidden stragglers" : "");
    for (const char *policy : Policies) {
        std::map<std::string, spread> figures;
        for (const std::uint64_t seed : Seeds) {
            run_setup setup = makeCrest(policy, seed, length);
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
        std::map<std::string, spread> figures;
        for (const std::uint64_t seed : Seeds) {
            run_setup setup = makeOrdinary(policy, seed, load);
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

// Every attempt fails without being run; counts attempts per request.
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
            spread amplification;
            for (const std::uint64_t seed : Seeds) {
                amplification.add(measureAmplification(policy, rate, seed));
            }
            out.add(fmt::format("total failure, {} requests/s", rate), policy, "attempts per request", amplification);
        }
    }
}

// Share of its rate that an organisation gets when it asks for three times as much. Its requests reach the limiters of
// some of the nodes, each limiter holding the share of one node of all.
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
        spread share;
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
    options.add_options()("json", "print an array of rows")("help", "show this text");
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
            reportCrest(out, pool, length, 0.0);
        }
        reportCrest(out, pool, 10s, HiddenStragglers);
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
