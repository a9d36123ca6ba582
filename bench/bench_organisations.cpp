// Measures organisations in the route table: time to take a table, time of one lookup by key, and memory, by number of organisations.
//
// Usage: bench_organisations [--lookups N]
#include <dandelionstall/state/organisation_index.h>

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <iostream>

namespace options = boost::program_options;
using namespace dandelionstall;

namespace {

constexpr std::array<std::size_t, 4> Sizes{85, 1'000, 12'000, 75'000};
constexpr std::size_t KeysEach = 2;
constexpr std::size_t LookedUpKeys = 4096;

std::string keyOf(std::size_t organisation, std::size_t key)
{
    return fmt::format("key-{}-{}", organisation, key);
}

std::string makeText(std::size_t organisations)
{
    std::string text = "[table]\nrevision = 1\n[callers]\norganisation_keys = yes\n[route.a]\npool = p\nidempotent = no\n";
    for (std::size_t i = 0; i < organisations; ++i) {
        text += fmt::format("[organisation.outlet-{}]\nkeys = {}, {}\npriority = 1\nrate = 190\nburst = 190\n",
                            i,
                            state::formatKeyDigest(state::digestOfKey(keyOf(i, 0))),
                            state::formatKeyDigest(state::digestOfKey(keyOf(i, 1))));
    }
    return text;
}

double millisSince(std::chrono::steady_clock::time_point from)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - from).count();
}

std::size_t rowBytes(const state::route_table &table)
{
    std::size_t bytes = table.organisations.capacity() * sizeof(state::organisation);
    for (const state::organisation &row : table.organisations) {
        bytes += row.keys.capacity() * sizeof(state::key_digest);
    }
    return bytes;
}

int measure(std::size_t organisations, std::size_t lookups)
{
    const std::string text = makeText(organisations);
    const auto parsedFrom = std::chrono::steady_clock::now();
    auto parsed = state::parseRouteTable(text, "routes");
    const double parseMs = millisSince(parsedFrom);
    if (!parsed.ok()) {
        std::cerr << "bench_organisations: " << parsed.status().message() << "\n";
        return 1;
    }
    const auto indexedFrom = std::chrono::steady_clock::now();
    const state::organisation_index index(std::make_shared<const state::route_table>(*std::move(parsed)));
    const double indexMs = millisSince(indexedFrom);
    std::vector<std::string> keys;
    keys.reserve(LookedUpKeys);
    for (std::size_t i = 0; i < LookedUpKeys; ++i) {
        keys.push_back(keyOf(i * 7919 % organisations, i % KeysEach));
    }
    std::size_t found = 0;
    const auto lookedUpFrom = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < lookups; ++i) {
        found += index.find(state::digestOfKey(keys[i % keys.size()])) != nullptr ? 1 : 0;
    }
    const double lookupNs = millisSince(lookedUpFrom) * 1e6 / static_cast<double>(lookups);
    std::cout << fmt::format("{:>13} {:>11} {:>9.1f} {:>9.2f} {:>10.0f} {:>10} {:>12}\n",
                             organisations,
                             text.size() / 1024,
                             parseMs,
                             indexMs,
                             lookupNs,
                             rowBytes(index.table()) / 1024,
                             index.memoryBytes() / 1024);
    return found == lookups ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    std::size_t lookups = 0;
    options::options_description described("Options");
    described.add_options()("lookups", options::value(&lookups)->default_value(1'000'000), "number of lookups per size");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, described), values);
    options::notify(values);
    std::cout << "organisations  text KiB  parse ms  index ms  lookup ns   rows KiB   index KiB\n";
    int failures = 0;
    for (const std::size_t size : Sizes) {
        failures += measure(size, lookups);
    }
    return failures == 0 ? 0 : 1;
}
