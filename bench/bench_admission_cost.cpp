// Measures the time of an admission decision by queue length, the time of a limiter decision by number of organisations,
// and the memory of both the limiter and the cost model.
//
// Usage: bench_admission_cost [--json]
// Prints a table, or an array of JSON rows with --json.
#include <dandelionstall/coordination/admission/admission.h>
#include <dandelionstall/coordination/admission/cost.h>
#include <dandelionstall/coordination/limits/limits.h>

#include <boost/json.hpp>
#include <boost/program_options.hpp>
#include <fmt/format.h>
#include <pcg_random.hpp>

#include <malloc.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <vector>

namespace {

using namespace dandelionstall;
using namespace dandelionstall::coordination;
using namespace std::chrono_literals;

constexpr std::uint64_t Seed = 20'261'203;
constexpr std::size_t Rounds = 4000; // calls per measured time
constexpr std::uint32_t Slots = 5;
constexpr state::time_point Start{1h};

std::size_t heapInUse()
{
    return mallinfo2().uordblks;
}

template<typename work>
double nanosecondsPerCall(std::size_t count, const work &run)
{
    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < count; ++index) {
        run(index);
    }
    return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin).count() / static_cast<double>(count);
}

void addRow(boost::json::array &rows, const std::string &what, double size, const std::string &figure, double value)
{
    rows.push_back(boost::json::object{{"what", what}, {"size", size}, {"figure", figure}, {"value", value}});
}

// Measures a worker with all slots in use and a full queue: each offer is planned, and each finish starts the next item.
void measureAdmission(boost::json::array &rows, const char *name, std::uint32_t length)
{
    const auto policy = *makeAdmissionPolicy(name, {Slots, length}, Seed);
    pcg64 random(Seed);
    state::time_point now = Start;
    std::vector<state::attempt_id> running;
    std::uint64_t sequence = 0;
    const auto applyActions = [&](const admission_actions &actions) {
        running.insert(running.end(), actions.start.begin(), actions.start.end());
    };
    const auto offer = [&](std::size_t) {
        now += 100us;
        const double worth = 1.0 + static_cast<double>(random(400)) / 1000.0; // values so similar that no item is refused without being planned
        applyActions(policy->offer({.id = {1, ++sequence}, .route = "route", .worth = worth, .deadline = now + 1h, .costHint = 1ms}, now));
    };
    for (std::uint32_t filled = 0; filled < length + Slots; ++filled) {
        offer(0);
    }
    addRow(rows, name, length, "offer, ns", nanosecondsPerCall(Rounds, offer));
    addRow(rows, name, length, "end and offer, ns", nanosecondsPerCall(Rounds, [&](std::size_t index) {
               const state::attempt_id ended = running.front();
               running.erase(running.begin());
               now += 1ms;
               applyActions(policy->finish(ended, work_result::answered, now));
               offer(index);
           }));
    addRow(rows, name, length, "waiting at the end", policy->load(now).queued);
    addRow(rows, name, length, "load, ns", nanosecondsPerCall(Rounds, [&](std::size_t) { sequence += policy->load(now).queued == 0; }));
}

void measureRoutes(boost::json::array &rows, std::size_t routes)
{
    const std::size_t before = heapInUse();
    cost_model model({.maxClasses = routes});
    for (std::size_t route = 0; route < routes; ++route) {
        model.learn({costKey(fmt::format("route-{}", route), 0), Start, Start + 10ms, true});
    }
    addRow(rows,
           "cost_model",
           static_cast<double>(routes),
           "bytes per route and size class",
           static_cast<double>(heapInUse() - before) / static_cast<double>(routes));
}

void measureLimiter(boost::json::array &rows, std::size_t organisations, std::uint32_t places)
{
    std::vector<std::string> names;
    names.reserve(organisations);
    for (std::size_t index = 0; index < organisations; ++index) {
        names.push_back(fmt::format("organisation-{}", index));
    }
    pcg64 random(Seed);
    const std::size_t before = heapInUse();
    const auto limiter = makeOrganisationLimiter(places, Seed);
    const auto what = fmt::format("limiter of {} places", places);
    state::time_point now = Start;
    const double nanos = nanosecondsPerCall(20 * organisations, [&](std::size_t) {
        now += 15ms; // approximates a load of 68 requests per second
        limiter->admit({names[random(organisations)], "route", 10.0, 15}, now);
    });
    addRow(rows, what, static_cast<double>(organisations), "decision, ns", nanos);
    addRow(rows, what, static_cast<double>(organisations), "bytes in all", static_cast<double>(heapInUse() - before));
    addRow(rows, what, static_cast<double>(organisations), "organisations in memory", static_cast<double>(limiter->trackedPairs()));
}

} // namespace

int main(int argc, char **argv)
{
    boost::program_options::options_description options("bench_admission_cost");
    options.add_options()("json", "print a JSON array of rows")("help", "print this help");
    boost::program_options::variables_map chosen;
    boost::program_options::store(boost::program_options::parse_command_line(argc, argv, options), chosen);
    if (chosen.contains("help")) {
        std::cout << options;
        return 0;
    }
    boost::json::array rows;
    for (const char *name : {"fifo", "worth_density"}) {
        for (const std::uint32_t length : {8U, 16U, 32U, 64U, 128U, 256U, 512U, 1024U}) {
            measureAdmission(rows, name, length);
        }
    }
    for (const std::size_t routes : {16U, 256U, 12'000U}) {
        measureRoutes(rows, routes);
    }
    for (const std::size_t organisations : {1'000U, 10'000U, 75'000U}) {
        measureLimiter(rows, organisations, 8192);
        measureLimiter(rows, organisations, 75'000);
    }
    if (chosen.contains("json")) {
        std::cout << boost::json::serialize(rows) << '\n';
        return 0;
    }
    fmt::print("seed: {}\n", Seed);
    for (const auto &row : rows) {
        fmt::print("{:28} {:8.0f}  {:32} {:12.1f}\n",
                   row.at("what").as_string().c_str(),
                   row.at("size").as_double(),
                   row.at("figure").as_string().c_str(),
                   row.at("value").as_double());
    }
    return 0;
}
