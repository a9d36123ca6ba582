// A fleet on a platform with a key-value store: workers announce themselves there, one document holds the configuration,
// and nodes only read from the store.
//
// Promises: a node is not ready before it can serve; leaving workers receive no new requests after two seconds; a
// configuration is in force on all nodes within two seconds, also when the store is unavailable to some nodes or has
// dropped its history; nodes keep serving without the store; the cause of a failed request can be found in the logs by
// the request's id.
//
// Mechanisms: key_value_source, worker_directory, worker_dissemination, and the sidecar that follows its worker's
// announcement.
#include "expect.h"
#include "store_fleet.h"

#include <criterion/criterion.h>
#include <fmt/format.h>
#include <unistd.h>

using namespace dandelionstall::testing;

namespace {

constexpr std::size_t Nodes = store_fleet::Nodes;
constexpr std::chrono::seconds InForceTime{2}; // limit for a new configuration or a leaving worker, counted from the store's acknowledgement

} // namespace

Test(discovery, applies_the_store_and_keeps_serving_without_it)
{
    store_fleet fleet;
    fleet.start();
    for (std::size_t i = 0; i < Nodes; ++i) {
        const std::string answer = fleet.request(i, "POST", "/book/1", fmt::format("calm-{}", i));
        cr_assert(answer.starts_with("HTTP/1.1 200"), "%s", answer.c_str());
        cr_assert(answer.find(fmt::format("Attempt-Id: calm-{}", i)) != std::string::npos, "%s", answer.c_str());
        cr_assert(fleet.statusOf(i, "/unknown/1") == "HTTP/1.1 404");
    }
    // A new version is in force on all nodes within the limit, also on a node whose requests the store refuses.
    fleet.setStoreFault("refuse=" + fleet.nodeIp(0));
    fleet.configure(5, "lookup");
    for (std::size_t i = 0; i < Nodes; ++i) {
        cr_assert(waitUntil([&] { return fleet.statusOf(i, "/lookup/1") == "HTTP/1.1 200"; }, InForceTime), "node %zu", i);
        cr_assert(fleet.statusOf(i, "/read/1") == "HTTP/1.1 404");
    }
    // The store drops its history before the next version is written.
    fleet.setStoreFault("compact=yes");
    fleet.configure(9, "search");
    for (std::size_t i = 0; i < Nodes; ++i) {
        cr_assert(waitUntil([&] { return fleet.statusOf(i, "/search/1") == "HTTP/1.1 200"; }, 2 * InForceTime), "node %zu", i);
    }
    // Nodes keep serving without the store, and a restarted node receives configuration and workers from its peers.
    fleet.setStoreFault("silent=yes");
    fleet.node(2).kill();
    fleet.startNode(2);
    cr_assert(waitUntil([&] { return fleet.isReady(2); }), "%s", fleet.node(2).output().c_str());
    for (std::size_t i = 0; i < Nodes; ++i) {
        cr_assert(fleet.statusOf(i, "/search/1") == "HTTP/1.1 200");
    }
}

// Guards against valid configurations that all nodes refuse, by bounds that the platform does not have.
Test(discovery, applies_configurations_that_exceed_the_bounds_of_table_lines_and_settings)
{
    constexpr std::size_t BodyBytes = 4 * 1024 * 1024; // the settings allow 1 MiB
    store_fleet fleet;
    fleet.start();
    const std::string prefix = "/" + std::string(300, 'p') + "/";
    std::string services = R"({"name":"orders"})";
    std::string parts = R"({"service":"orders","weight":90000000})";
    for (int i = 0; i < 30; ++i) {
        services += fmt::format(R"(,{{"name":"another service of a long name, number {}"}})", i);
        parts += fmt::format(R"(,{{"service":"another service of a long name, number {}","weight":0}})", i);
    }
    fleet.writeConfiguration(fmt::format(R"({{"version":5,"services":[{}],"limits":{{"maxBodyBytes":104857600,"maxHeaderBytes":4194304}},"virtualHosts":[)"
                                         R"({{"host":"shop.example","paths":[{{"name":"r: 1 [all]; x","prefix":"{}","kind":"non_idempotent",)"
                                         R"("timeoutMs":7200000,"targetLatencyMs":7200000,"priority":5000,"weightedServices":[{}],"maxAttempts":100}}]}}]}})",
                                         services,
                                         prefix,
                                         parts));
    for (std::size_t i = 0; i < Nodes; ++i) {
        cr_assert(waitUntil([&] { return fleet.statusOf(i, prefix + "1") == "HTTP/1.1 200"; }, InForceTime), "node %zu", i);
        for (int upload = 0; upload < 4; ++upload) { // also to workers of other nodes
            const std::string answer = fleet.request(i, "POST", prefix + "2", fmt::format("upload-{}-{}", i, upload), "1.1", std::string(BodyBytes, 'b'));
            cr_assert(answer.starts_with("HTTP/1.1 200"), "node %zu: %s", i, answer.substr(0, 400).c_str());
        }
    }
    cr_assert(fleet.linesWith("name=config_refused").empty());
}

Test(discovery, follows_leaving_and_replaced_workers)
{
    store_fleet fleet;
    fleet.start();
    fleet.announce(1, "w1", "draining");
    usleep(std::chrono::duration_cast<std::chrono::microseconds>(InForceTime).count());
    const std::size_t runsAfterDrain = fleet.runsAt(1);
    for (int i = 0; i < 30; ++i) {
        cr_assert(fleet.statusOf(static_cast<std::size_t>(i) % Nodes, "/read/1") == "HTTP/1.1 200");
    }
    cr_assert(fleet.runsAt(1) == runsAfterDrain, "a leaving worker received %zu requests", fleet.runsAt(1) - runsAfterDrain);
    // Another worker with a different id starts at the same address while the entry of the first one still exists. The
    // other node of its data centre sends it requests.
    fleet.startWorker(1, "w1b");
    fleet.announce(1, "w1b", "ready", 2);
    cr_assert(waitUntil([&] { return fleet.statusOf(3, "/read/1") == "HTTP/1.1 200" && fleet.runsAt(1) > 0; }));
    fleet.removeEntry("w1");
    fleet.removeEntry("w1b");
    usleep(std::chrono::duration_cast<std::chrono::microseconds>(InForceTime).count());
    const std::size_t runsAfterRemoval = fleet.runsAt(1);
    for (int i = 0; i < 20; ++i) {
        cr_assert(fleet.statusOf(static_cast<std::size_t>(i) % Nodes, "/read/1") == "HTTP/1.1 200");
    }
    cr_assert(fleet.runsAt(1) == runsAfterRemoval);
}

Test(discovery, is_not_ready_before_it_can_serve)
{
    store_fleet fleet;
    fleet.startWorker(0, "w0");
    fleet.startNode(0);
    const std::string callers = fleet.callers(0);
    cr_assert(waitUntil([&] { return getHttp(callers, "/read/1").status == 503; }));
    cr_assert(not(fleet.isReady(0)));
    fleet.announce(0, "w0");
    fleet.configure(3, "read");
    cr_assert(waitUntil([&] { return fleet.isReady(0); }));
    cr_assert(fleet.statusOf(0, "/read/1") == "HTTP/1.1 200");
}

// The three procedures of docs/OPERATIONS.md that lead from the id of a failed request to its cause by logs alone.
Test(discovery, logs_lead_from_a_request_id_to_its_cause)
{
    store_fleet fleet;
    fleet.start();
    for (std::size_t i = 0; i < Nodes; ++i) {
        fleet.setWorkerFault(i, "shed=1.0");
    }
    cr_assert(fleet.request(0, "POST", "/book/1", "walk-refused").starts_with("HTTP/1.1 503"));
    for (std::size_t i = 0; i < Nodes; ++i) {
        fleet.setWorkerFault(i, "fail=1.0");
    }
    cr_assert(fleet.request(1, "POST", "/book/1", "walk-failed").starts_with("HTTP/1.1 500"));
    cr_assert(fleet.request(2, "GET", "/nowhere/1", "walk-config").starts_with("HTTP/1.1 404"));

    const auto found = [&](const std::string &id, const std::string &text) {
        return waitUntil([&] { return fleet.linesWith("request=" + id).find(text) != std::string::npos; });
    };
    cr_assert(found("walk-refused", "name=request_refused"));
    cr_assert(found("walk-refused", "refusal=worker_shed run=not_run"));
    cr_assert(found("walk-refused", "name=attempt_broken"));
    cr_assert(found("walk-failed", "name=request_answered"));
    cr_assert(found("walk-failed", "end=answered status=500"));
    cr_assert(waitUntil([&] { return not(fleet.linesWith("name=worker_doubtful").empty()); }));
    cr_assert(found("walk-config", "reason=no_route"));
    cr_assert(found("walk-config", "revision=1"));
    cr_assert(not(fleet.linesWith("name=config_accepted").empty()));
}
