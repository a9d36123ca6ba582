// Measures the time of one route match with the index and with a linear search, and the memory per route, by table size.
//
// Usage: bench_routes [--matches N]
#include <dandelionstall/state/tables_index.h>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <random>

namespace options = boost::program_options;
using namespace dandelionstall;

namespace {

constexpr std::uint64_t Seed = 20261203;
constexpr std::size_t RoutesPerHost = 8; // routes with the same host in the generated table
constexpr std::array<std::size_t, 5> TableSizes{100, 1'000, 3'000, 6'000, 12'000};
constexpr std::size_t RequestCount = 4096;           // number of generated requests, matched in turn
constexpr std::size_t IndexedMatchesPerLinear = 200; // divisor of the number of matches for the slower linear search

struct request {
    std::string host;
    std::string path;
};

std::shared_ptr<const state::route_table> makeTable(std::size_t size)
{
    auto table = std::make_shared<state::route_table>();
    for (std::size_t i = 0; i < size; i++) {
        state::route row;
        row.name = fmt::format("route-{}", i);
        row.host = fmt::format("service-{}.example", i / RoutesPerHost);
        row.pathPrefix = fmt::format("/v1/resource-{}", i % RoutesPerHost);
        row.methods = {"GET", "HEAD"};
        row.pool = fmt::format("pool-{}", i / RoutesPerHost);
        table->routes.push_back(std::move(row));
    }
    return table;
}

std::vector<request> makeRequests(const state::route_table &table)
{
    std::mt19937_64 random(Seed);
    std::vector<request> requests;
    for (std::size_t i = 0; i < RequestCount; i++) {
        const state::route &row = table.routes[random() % table.routes.size()];
        requests.push_back({row.host, row.pathPrefix + "/items/" + std::to_string(random() % 1'000'000) + "?full=yes"});
    }
    return requests;
}

// Returns the memory of the table's rows and of strings that are allocated outside of them.
std::size_t tableBytes(const state::route_table &table)
{
    constexpr std::size_t InlineTextBytes = 15; // longest text that a std::string stores without an allocation
    const auto allocatedBytes = [](const std::string &text) {
        return text.size() > InlineTextBytes ? text.capacity() + 1 : 0;
    };
    std::size_t bytes = table.routes.capacity() * sizeof(state::route);
    for (const state::route &row : table.routes) {
        bytes += allocatedBytes(row.name) + allocatedBytes(row.host) + allocatedBytes(row.pathPrefix) + allocatedBytes(row.pool)
                 + row.methods.capacity() * sizeof(std::string);
    }
    return bytes;
}

template<typename matcher>
double nanosecondsPerMatch(const std::vector<request> &requests, std::size_t matches, const matcher &match)
{
    const auto begin = std::chrono::steady_clock::now();
    std::size_t found = 0;
    for (std::size_t i = 0; i < matches; i++) {
        const request &wanted = requests[i % requests.size()];
        found += match(wanted) != nullptr ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> elapsed = std::chrono::steady_clock::now() - begin;
    if (found != matches) {
        std::cerr << "bench_routes: " << matches - found << " requests found no route\n";
    }
    return elapsed.count() / static_cast<double>(matches);
}

void measure(std::size_t size, std::size_t matches)
{
    const std::shared_ptr<const state::route_table> table = makeTable(size);
    const auto begin = std::chrono::steady_clock::now();
    const state::route_index index(table);
    const std::chrono::duration<double, std::milli> built = std::chrono::steady_clock::now() - begin;
    const std::vector<request> requests = makeRequests(*table);
    const double indexed = nanosecondsPerMatch(requests, matches, [&](const request &wanted) { return index.match(wanted.host, wanted.path, "GET"); });
    const std::size_t linearMatches = std::max(RequestCount, matches / IndexedMatchesPerLinear);
    const double linear
        = nanosecondsPerMatch(requests, linearMatches, [&](const request &wanted) { return matchRoute(*table, wanted.host, wanted.path, "GET"); });
    std::cout << fmt::format("{:>7} {:>12.0f} {:>12.0f} {:>10.2f} {:>15.1f} {:>15.1f}\n",
                             size,
                             indexed,
                             linear,
                             built.count(),
                             static_cast<double>(index.memoryBytes()) / static_cast<double>(size),
                             static_cast<double>(tableBytes(*table)) / static_cast<double>(size));
}

} // namespace

int main(int argc, char **argv)
{
    std::size_t matches = 0;
    options::options_description described("Options");
    auto add = described.add_options();
    add("matches", options::value(&matches)->default_value(1'000'000), "number of matches per table size");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, described), values);
    options::notify(values);
    std::cout << " routes  index ns/op  plain ns/op   build ms  index B/route  table B/route\n";
    for (const std::size_t size : TableSizes) {
        measure(size, matches);
    }
    return 0;
}
