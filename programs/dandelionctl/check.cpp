#include "check.h"

#include <dandelionstall/state/ini.h>
#include <dandelionstall/state/settings.h>
#include <dandelionstall/state/tables.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

namespace dandelionctl {

namespace json = boost::json;

namespace {

// Faults found so far, and the resulting exit code.
struct check_result {
    std::vector<std::string> faults;  // "<file>:<line>: <reason>"
    std::vector<std::string> checked; // files that are valid by themselves
    int exitCode = ExitOk;

    void add(std::string fault, int code = ExitFault)
    {
        faults.push_back(std::move(fault));
        exitCode = std::max(exitCode, code);
    }
};

std::optional<std::string> readFile(const std::string &path, check_result &result)
{
    std::ifstream file(path, std::ios::binary);
    std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    if (!file.is_open() || file.bad()) {
        result.add(fmt::format("{}: cannot be read", path), ExitUnreadable);
        return std::nullopt;
    }
    return text;
}

template<typename parsed>
std::optional<parsed> checkFile(const std::string &path, absl::StatusOr<parsed> (*parse)(std::string_view, std::string_view), check_result &result)
{
    if (path.empty()) {
        return std::nullopt;
    }
    const std::optional<std::string> text = readFile(path, result);
    if (!text) {
        return std::nullopt;
    }
    absl::StatusOr<parsed> value = parse(*text, path);
    if (!value.ok()) {
        result.add(std::string(state::reasonOf(value.status())));
        return std::nullopt;
    }
    result.checked.push_back(path);
    return std::move(*value);
}

// How a worker of the settings contradicts the pool table; empty when it does not.
std::string mismatchOf(const state::settings &node, const state::local_worker &worker, const state::pool_table &pools)
{
    const state::pool *pool = state::findPool(pools, worker.pool);
    if (pool == nullptr) {
        return fmt::format("pool \"{}\" is not in the pool table", worker.pool);
    }
    const auto row = std::find_if(pool->workers.begin(), pool->workers.end(), [&](const state::pool_worker &candidate) { return candidate.id == worker.id; });
    if (row == pool->workers.end()) {
        return fmt::format("the pool table does not list this worker in pool \"{}\"", worker.pool);
    }
    if (row->node != node.advertiseAddress) {
        return fmt::format("the pool table lists it on node {}, but this node is {}", formatNodeAddress(row->node), formatNodeAddress(node.advertiseAddress));
    }
    if (row->dataCentre != node.dataCentre) {
        return fmt::format("the pool table lists it in data centre {}, but this node is in {}", row->dataCentre, node.dataCentre);
    }
    return {};
}

void checkWorkers(const std::string &path, const state::settings &node, const state::pool_table &pools, check_result &result)
{
    for (const state::local_worker &worker : node.workers) {
        const std::string mismatch = mismatchOf(node, worker, pools);
        if (!mismatch.empty()) {
            result.add(fmt::format("{}: [worker.{}]: {}", path, worker.id, mismatch));
        }
    }
}

void printResult(const check_result &result, bool asJson)
{
    if (asJson) {
        std::cout << json::serialize(json::object{{"ok", result.faults.empty()},
                                                  {"faults", json::array(result.faults.begin(), result.faults.end())},
                                                  {"checked", json::array(result.checked.begin(), result.checked.end())}})
                  << '\n';
        return;
    }
    for (const std::string &fault : result.faults) {
        std::cerr << fault << '\n';
    }
    for (const std::string &path : result.checked) {
        std::cout << path << ": ok\n";
    }
}

} // namespace

int runCheck(const command_line &line)
{
    if (line.arguments.empty() && line.routes.empty() && line.pools.empty()) {
        std::cerr << "dandelionctl: check requires settings files, --routes FILE or --pools FILE; see --help\n";
        return ExitUsage;
    }
    check_result result;
    const std::optional<state::route_table> routes = checkFile(line.routes, state::parseRouteTable, result);
    const std::optional<state::pool_table> pools = checkFile(line.pools, state::parsePoolTable, result);
    if (routes && pools) {
        if (const absl::Status references = state::checkPoolReferences(*routes, *pools); !references.ok()) {
            result.add(std::string(state::reasonOf(references)));
        }
    }
    for (const std::string &path : line.arguments) {
        const std::optional<state::settings> node = checkFile(path, state::parseSettings, result);
        if (node && pools) {
            checkWorkers(path, *node, *pools, result);
        }
    }
    printResult(result, line.json);
    return result.exitCode;
}

} // namespace dandelionctl
