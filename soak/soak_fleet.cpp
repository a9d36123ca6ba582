#include "soak_fleet.h"

#include <dandelionstall/state/tables.h>

#include <fmt/format.h>

#include <array>

namespace dandelionstall::soak {

namespace {

using standins::check_input;

constexpr std::array DataCentres{"kiambu", "thika", "ruiru"};
constexpr std::size_t NodesPerGroup = 7; // of two services
constexpr std::size_t OrdersPerGroup = 5;
constexpr std::string_view StockClass = "fetch"; // class of the callers' requests for "stock"

std::map<std::string, std::string> allowanceSettings(const call_options &calls)
{
    return {
        {"retry_share", fmt::to_string(calls.share)}, {"retry_extra", fmt::to_string(calls.extra)}, {"retry_window", fmt::format("{}s", calls.window.count())}};
}

} // namespace

testing::fleet_plan planFleet(const fault_plan &plan, const std::optional<call_options> &calls)
{
    testing::fleet_plan result = testing::threeDataCentres();
    result.proxyCallers = false; // the fault proxy cannot pass on refused connections
    result.seed = plan.seed;
    result.nodes.clear();
    if (calls) {
        const auto settings = allowanceSettings(*calls);
        result.pools = {{"orders", calls->slots, 0.5, settings, {"", "/stock", calls->perRun}}, {"stock", calls->slots, 0.5, settings}};
        result.routes.push_back({"stock", "/stock", "stock", true, 1.0, {}});
        result.nodeSettings = "[headers]\nrequest_id = X-Request-Id\n";
    }
    for (std::size_t i = 0; i < plan.nodes; ++i) {
        const char *dataCentre = DataCentres.at(i % DataCentres.size());
        const char *pool = calls && i % NodesPerGroup >= OrdersPerGroup ? "stock" : "orders";
        result.nodes.push_back({dataCentre, {{fmt::format("{}-{}", dataCentre, i / DataCentres.size()), pool}}});
    }
    return result;
}

std::string loadText(std::chrono::seconds length, double rate, bool hasCalls)
{
    const std::string phase = fmt::format("[phase.all]\nseconds={}\nrate={}\n", length.count(), rate);
    if (hasCalls) {
        return phase
               + "[class.lookup]\nshare=0.22\npath=/lookup\nidempotent=yes\ncost_ms=140\ncost_sigma=0.3\ndeadline_ms=1500\nbytes=700\n"
                 "[class.book]\nshare=0.65\npath=/book\nmethod=POST\nidempotent=no\ncost_ms=190\ndeadline_ms=1500\nworth=2\n"
                 "[class.fetch]\nshare=0.13\npath=/stock\nidempotent=yes\ncost_ms=110\ndeadline_ms=1500\n";
    }
    return phase
           + "[class.lookup]\nshare=0.5\npath=/lookup\nidempotent=yes\ncost_ms=10\ncost_sigma=0.3\ndeadline_ms=2000\nbytes=700\n"
             "[class.book]\nshare=0.3\npath=/book\nmethod=POST\nidempotent=no\ncost_ms=20\ndeadline_ms=2000\nworth=5\n"
             "[class.book_again]\nshare=0.2\npath=/book\nmethod=POST\nidempotent=no\nticket=yes\nretries=2\ncost_ms=20\ndeadline_ms=2000\nworth=5\n";
}

standins::repeat_limit limitOf(const call_options &calls)
{
    return {calls.share, calls.extra, calls.window};
}

standins::retry_traffic trafficOf(const testing::fleet_plan &plan, const check_input &observed)
{
    standins::retry_traffic traffic;
    for (const testing::node_plan &node : plan.nodes) {
        for (const testing::worker_plan &worker : node.workers) {
            traffic.pool[worker.id] = worker.pool;
        }
    }
    for (const standins::call_record &call : observed.calls) {
        const std::string pool = call.requestClass == StockClass ? "stock" : "orders";
        traffic.requests.push_back({call.id, pool, state::route().maxAttempts, false, "", "", call.sent, call.deadline});
    }
    for (const standins::call_of_run &call : observed.workers.calls) {
        traffic.requests.push_back({call.id, "stock", state::route().maxAttempts, false, call.parent, call.worker, call.sent, call.timeLeft});
    }
    traffic.workers = observed.workers;
    return traffic;
}

} // namespace dandelionstall::soak
