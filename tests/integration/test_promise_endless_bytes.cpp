// Promise: bytes that are no answer and never end, from a worker, from the store or in answer to a probe, cost a node little processor time
// and memory; the node closes the connection early, and other requests go on.
//
// Mechanisms: limits of worker_client and platform_client for each part of an answer that is no body of a success.
#include "expect.h"
#include "store_fleet.h"

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace dandelionstall::testing;
using namespace dandelionstall::standins;

namespace {

using clock_type = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t Nodes = store_fleet::Nodes;
constexpr std::size_t FloodedNode = 1;
constexpr milliseconds FloodTime{2500};
constexpr milliseconds RequestPause{10};
constexpr double ProcessorShare = 0.2;                 // of a core: what a node has on the users' smallest VMs
constexpr std::size_t MemoryGrowth = 16 * 1024 * 1024; // of the 260 MB of such a VM
constexpr std::size_t MostBytes = 8 * 1024 * 1024;     // sent before the close, with all buffers of the kernel on the way
constexpr double ServedShare = 0.95;                   // other workers can do the work

struct request_counts {
    std::atomic<std::size_t> sent{0};
    std::atomic<std::size_t> served{0};
};

// One caller for each node, for the whole time.
void sendRequests(const store_fleet &fleet, request_counts &counts, const std::string &method = "GET", const std::string &path = "/read/1")
{
    const auto until = clock_type::now() + FloodTime;
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < Nodes; ++i) {
        callers.emplace_back([&, i] {
            while (clock_type::now() < until) {
                ++counts.sent;
                counts.served += fleet.request(i, method, path, "endless").starts_with("HTTP/1.1 200") ? 1 : 0;
                std::this_thread::sleep_for(RequestPause);
            }
        });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
}

void expectLittleUse(const process_usage &before, const process_usage &after, milliseconds time, const char *part)
{
    const double processor = std::chrono::duration<double>(after.processor - before.processor) / time;
    const std::size_t grown = after.residentBytes - std::min(before.residentBytes, after.residentBytes);
    cr_log_info("%s: %.3f of a core, %zu KB more", part, processor, grown / 1024);
    cr_assert_leq(processor, ProcessorShare, "%s: %.3f of a core", part, processor);
    cr_assert_leq(grown, MemoryGrowth, "%s: memory grew by %zu bytes", part, grown);
}

void expectEarlyClose(const std::vector<std::size_t> &bytes, const char *part)
{
    cr_assert(not bytes.empty(), "%s: no connection with endless bytes was closed", part);
    const std::size_t most = *std::max_element(bytes.begin(), bytes.end());
    cr_log_info("%s: %zu connections, at most %zu KB each", part, bytes.size(), most / 1024);
    cr_assert_leq(most, MostBytes, "%s: %zu bytes before the connection was closed", part, most);
}

void expectBoundedWorkerFlood(const char *part)
{
    store_fleet fleet;
    fleet.start();
    const process_usage before = fleet.node(FloodedNode).usage();
    fleet.setWorkerFault(FloodedNode, fmt::format("endless={}", part));
    request_counts counts;
    sendRequests(fleet, counts);
    expectLittleUse(before, fleet.node(FloodedNode).usage(), FloodTime, part);
    fleet.setWorkerFault(FloodedNode, "");
    cr_assert(waitUntil([&] { return not fleet.endlessBytes().empty(); }, FloodTime), "%s: the worker got no request", part);
    expectEarlyClose(fleet.endlessBytes(), part);
    cr_assert_geq(static_cast<double>(counts.served),
                  ServedShare * static_cast<double>(counts.sent),
                  "%s: %zu of %zu served",
                  part,
                  counts.served.load(),
                  counts.sent.load());
}

} // namespace

Test(endless_bytes, in_a_head_of_a_worker)
{
    expectBoundedWorkerFlood("head");
}

Test(endless_bytes, in_header_after_header_of_a_worker)
{
    expectBoundedWorkerFlood("head_lines");
}

Test(endless_bytes, in_a_chunk_header_of_a_worker)
{
    expectBoundedWorkerFlood("chunk_head");
}

Test(endless_bytes, in_trailers_of_a_worker)
{
    expectBoundedWorkerFlood("trailer");
}

Test(endless_bytes, as_interim_answers_of_a_worker)
{
    expectBoundedWorkerFlood("interim");
}

Test(endless_bytes, as_the_body_of_a_late_answer_of_a_worker)
{
    expectBoundedWorkerFlood("late_answer");
}

Test(endless_bytes, as_the_body_of_an_error_of_a_worker)
{
    expectBoundedWorkerFlood("error_body");
}

// Work that must not run twice gets no second worker: the caller's connection is closed early.
Test(endless_bytes, as_the_body_of_an_error_that_is_passed_on)
{
    store_fleet fleet;
    fleet.start();
    const process_usage before = fleet.node(FloodedNode).usage();
    fleet.setWorkerFault(FloodedNode, "endless=error_body");
    request_counts counts;
    sendRequests(fleet, counts, "POST", "/book/1");
    expectLittleUse(before, fleet.node(FloodedNode).usage(), FloodTime, "error_body");
    fleet.setWorkerFault(FloodedNode, "");
    cr_assert(waitUntil([&] { return not fleet.endlessBytes().empty(); }, FloodTime));
    expectEarlyClose(fleet.endlessBytes(), "error_body");
}

// A caller of HTTP/1.0 gets an answer without a length only once it is whole, so that the node keeps it until then.
Test(endless_bytes, as_the_body_of_a_success_for_a_caller_without_chunked_coding)
{
    store_fleet fleet;
    fleet.start();
    const process_usage before = fleet.node(0).usage();
    for (std::size_t i = 0; i < Nodes; ++i) {
        fleet.setWorkerFault(i, "endless=body");
    }
    std::string answer;
    std::atomic<bool> answered{false};
    std::thread caller([&] {
        answer = fleet.request(0, "GET", "/read/1", "endless", "1.0");
        answered = true;
    });
    std::size_t most = before.residentBytes;
    while (not answered) {
        most = std::max(most, fleet.node(0).usage().residentBytes);
        std::this_thread::sleep_for(milliseconds(20));
    }
    caller.join();
    cr_assert(answer.find(" 50") == 8, "%s", answer.substr(0, 80).c_str());
    cr_assert_leq(most, before.residentBytes + MemoryGrowth, "%zu KB more", (most - before.residentBytes) / 1024);
}

Test(endless_bytes, from_the_store)
{
    for (const char *part : {"head", "head_lines", "chunk_head", "trailer", "interim", "body", "error_body"}) {
        store_fleet fleet;
        fleet.start();
        std::array<process_usage, Nodes> before;
        for (std::size_t i = 0; i < Nodes; ++i) {
            before[i] = fleet.node(i).usage();
        }
        fleet.setStoreFault(fmt::format("endless={}", part));
        request_counts counts;
        sendRequests(fleet, counts);
        for (std::size_t i = 0; i < Nodes; ++i) {
            expectLittleUse(before[i], fleet.node(i).usage(), FloodTime, part);
        }
        expectEarlyClose(fleet.endlessBytes(), part);
        cr_assert_geq(static_cast<double>(counts.served), ServedShare * static_cast<double>(counts.sent), "%s", part);
    }
}

// Probes go to workers of the settings file only, on a fleet without the store.
Test(endless_bytes, in_answers_to_probes)
{
    for (const char *part : {"head", "chunk_head", "trailer", "interim", "body", "error_body"}) {
        fleet fleet(threeDataCentres());
        fleet.start();
        const process_usage before = fleet.node(0).process.usage();
        fleet.setFault("kiambu-0", fmt::format("endless={}\nendless_share=0\nendless_health=yes", part));
        load_job load = fleet.startLoad(mixedLoad(2.5, 60));
        const check_input evidence = fleet.evidence(load.finish());
        expectLittleUse(before, fleet.node(0).process.usage(), FloodTime, part);
        expectUseful(evidence.calls, "lookup", ServedShare);
        expectUseful(evidence.calls, "book", ServedShare);
    }
}
